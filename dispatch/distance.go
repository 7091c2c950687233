package dispatch

import "time"

// Proximity is the distance class of two availability zones.
type Proximity int

// The proximities, nearest first.
const (
	SameZone Proximity = iota
	SameRegion
	OtherRegion
)

// proximity returns the proximity of two zones. Different zones count as being in one region
// if the region of either is not known.
func (f *Fleet) proximity(a, b string) Proximity {
	one, other := f.regions[a], f.regions[b]
	switch {
	case a == b:
		return SameZone
	case one != "" && other != "" && one != other:
		return OtherRegion
	}
	return SameRegion
}

// InRegion reports whether a server is in this gateway's region.
func (f *Fleet) InRegion(s *Server) bool { return f.proximity(f.Zone, s.Zone) != OtherRegion }

// Constants of distance.
const (
	// crossZoneCost is the cost in milliseconds of a KV cache transfer to another zone, and
	// of a stream from one: links between zones are slower and their bytes expensive. The
	// cost of streams keeps many of these bytes within a zone.
	crossZoneCost = 60.0
	// crossRegionFactor is the ratio of the time of a KV cache transfer to another region to
	// that of one to another zone, by the link rates that engines report.
	crossRegionFactor = 5.0
	// prefillTrips and decodeTrips are the round trips of a prefill and of a run before the
	// first event, including a new connection. A run has one more, which reserves capacity.
	prefillTrips = 2.0
	decodeTrips  = 3.0
	// tripWeight is the weight of the newest connection in the average round-trip time.
	tripWeight = 0.2
	// sameRegionTrip and crossRegionTrip are the assumed round-trip times within a region and
	// to another one until connections have shown them.
	sameRegionTrip  = 2 * time.Millisecond
	crossRegionTrip = 40 * time.Millisecond
)

// NoteConnect records how long a connection to a server took to open, which is one round
// trip.
func (f *Fleet) NoteConnect(id string, took time.Duration) {
	s := f.servers[id]
	if s == nil {
		return
	}
	old := f.RoundTrip(s.Zone)
	f.roundTrips[s.Zone] = old + time.Duration(tripWeight*float64(took-old))
}

// RoundTrip returns the round-trip time to a zone.
func (f *Fleet) RoundTrip(zone string) time.Duration {
	if t, ok := f.roundTrips[zone]; ok {
		return t
	}
	if f.proximity(f.Zone, zone) == OtherRegion {
		return crossRegionTrip
	}
	return sameRegionTrip
}

// tripCost returns the cost in milliseconds of work that takes some round trips between this
// gateway and a zone. Within a region the round trips are too short to matter.
func (f *Fleet) tripCost(zone string, trips float64) float64 {
	if f.proximity(f.Zone, zone) != OtherRegion {
		return 0
	}
	return trips * float64(f.RoundTrip(zone)) / float64(time.Millisecond)
}

// streamCost returns the cost in milliseconds of a stream from an engine to this gateway.
func (f *Fleet) streamCost(s *Server) float64 {
	if s.Zone == f.Zone {
		return 0
	}
	return crossZoneCost + f.tripCost(s.Zone, decodeTrips)
}

// transferCost returns the cost in milliseconds of a KV cache transfer from one zone to
// another.
func (f *Fleet) transferCost(from, to string) float64 {
	switch f.proximity(from, to) {
	case SameZone:
		return 0
	case OtherRegion:
		return crossZoneCost * crossRegionFactor
	}
	return crossZoneCost
}
