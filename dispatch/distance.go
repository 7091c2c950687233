package dispatch

import "time"

// Proximity tells how far apart two availability zones are.
type Proximity int

// The proximities.
const (
	SameZone Proximity = iota
	SameRegion
	OtherRegion
)

// proximity returns how far apart two zones are. Zones whose regions are not known count as those
// of one region.
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

// Near tells whether a server is in this gateway's region.
func (f *Fleet) InRegion(s *Server) bool { return f.proximity(f.Zone, s.Zone) != OtherRegion }

// Constants of distance.
const (
	// crossZone is the time that a move to another zone counts as, in
	// milliseconds, and a stream that comes from another zone: their links are slower
	// and their bytes are dear. For streams it takes a fifth of all bytes between zones
	// away.
	crossZoneCost = 60.0
	// regionMoves is how many times as long a KV cache takes to another region as to another
	// zone, by what engines say of their links.
	crossRegionFactor = 5.0
	// readTrips and runTrips are the round trips that a read and a run cost before the first
	// event, a new connection included: a run also sets room aside.
	prefillTrips = 2.0
	decodeTrips  = 3.0
	// tripWeight is the weight of the newest connection in the time of a round trip.
	tripWeight = 0.2
	// nearTrip and farTrip are the round trips within a region and to another one until
	// connections have shown them.
	sameRegionTrip  = 2 * time.Millisecond
	crossRegionTrip = 40 * time.Millisecond
)

// NoteConnect takes how long a connection to a server took to open, which is a round trip.
func (f *Fleet) NoteConnect(id string, took time.Duration) {
	s := f.servers[id]
	if s == nil {
		return
	}
	old := f.RoundTrip(s.Zone)
	f.roundTrips[s.Zone] = old + time.Duration(tripWeight*float64(took-old))
}

// Trip returns the time of a round trip to a zone.
func (f *Fleet) RoundTrip(zone string) time.Duration {
	if t, ok := f.roundTrips[zone]; ok {
		return t
	}
	if f.proximity(f.Zone, zone) == OtherRegion {
		return crossRegionTrip
	}
	return sameRegionTrip
}

// wayCost is the time in milliseconds that the way from this gateway to a server counts as, for
// work that takes some round trips. Within a region the trips are too short to matter.
func (f *Fleet) tripCost(zone string, trips float64) float64 {
	if f.proximity(f.Zone, zone) != OtherRegion {
		return 0
	}
	return trips * float64(f.RoundTrip(zone)) / float64(time.Millisecond)
}

// streamCost is what the way of a stream from an engine to this gateway counts as.
func (f *Fleet) streamCost(s *Server) float64 {
	if s.Zone == f.Zone {
		return 0
	}
	return crossZoneCost + f.tripCost(s.Zone, decodeTrips)
}

// moveCost is what the way of a KV cache from one zone to another counts as.
func (f *Fleet) transferCost(from, to string) float64 {
	switch f.proximity(from, to) {
	case SameZone:
		return 0
	case OtherRegion:
		return crossZoneCost * crossRegionFactor
	}
	return crossZoneCost
}
