package dispatch

import "time"

// A gateway doesn't know the reservations of all others: some are cut off from control, and some have
// failed. What those have reserved is estimated by what their callers request. A gateway that gets nearly
// all requests itself may use nearly all of the engines.

// totalTTL is how long the rate of all requests counts once not all gateways are known any more: as long as
// a gateway that isn't seen still counts.
const totalTTL = 20 * time.Second

// recentMax is the maximum of a quantity over the last totalTTL to twice that.
type recentMax struct {
	since             time.Time
	current, previous int
}

func (m *recentMax) note(now time.Time, n int) {
	switch elapsed := now.Sub(m.since); {
	case elapsed >= 2*totalTTL:
		m.since, m.previous, m.current = now, 0, n
	case elapsed >= totalTTL:
		m.since, m.previous, m.current = now, m.current, n
	default:
		m.current = max(m.current, n)
	}
}

func (m *recentMax) read(now time.Time) int {
	switch elapsed := now.Sub(m.since); {
	case elapsed >= 2*totalTTL:
		return 0
	case elapsed >= totalTTL:
		return m.current
	}
	return max(m.current, m.previous)
}

// unknownRequests returns the rate of requests of the gateways that are not known, in 1,000 s: as much as
// the known ones have on average, and no more than is missing from the rate of all gateways.
func (o *OtherGateways) unknownRequests() float64 {
	known := o.Own + o.Requests
	average := float64(known) * float64(max(o.Gateways-o.Known, 0)) / float64(max(o.Known, 1))
	if o.total > 0 {
		return min(average, float64(max(o.total-known, 0)))
	}
	return average
}

// unknownRatio returns the ratio of the load of the gateways that are not known to that of the known ones.
func (o *OtherGateways) unknownRatio() float64 {
	if known := o.Own + o.Requests; known > 0 {
		return o.unknownRequests() / float64(known)
	}
	return float64(max(o.Gateways-o.Known, 0)) / float64(max(o.Known, 1))
}
