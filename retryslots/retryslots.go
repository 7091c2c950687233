// Package retryslots assigns retry times to rejected callers.
//
// In a burst of 1.7 to 2.4 times the usual load, tens of callers are rejected per second. If all
// are told to retry after 1.2 to 1.6 durations of a run, they return at the rate at which they
// were rejected, whatever the engines can serve by then, and an urgent caller returns no sooner
// than others. So a caller is told the first time at which capacity is expected that is not
// promised to others of equal or higher urgency and that new requests of these urgencies leave
// free. Gateways share the number of promises by urgency and time (demand.Class.Returns).
//
// The package keeps plain state: the time and randomness are arguments.
package retryslots

import (
	"math"
	"time"
)

// Constants of retry times.
const (
	// Interval is the length of the intervals in which promises are counted.
	Interval = 250 * time.Millisecond
	// Intervals is the number of intervals up to Latest.
	Intervals = int(Latest / Interval)
	// Earliest and Latest bound the time until a retry. Callers honour a Retry-After of up to a
	// third of their remaining time, which is 4.6 s of the usual 14.
	Earliest = 500 * time.Millisecond
	Latest   = 4500 * time.Millisecond
	// viewAge is the age of the promises of other gateways.
	viewAge = 100 * time.Millisecond
)

// State is the expected use of the capacity of a service, as a caller of a certain urgency sees
// it: it counts only requests and promises of equal or higher urgency.
type State struct {
	// Ends is the number of runs that end per second, Arrivals the number of new requests per
	// second.
	Ends, Arrivals float64
	// MoreUrgent is the part of Arrivals that is more urgent than the caller.
	MoreUrgent float64
	// Waiting is the number of requests that wait for capacity now.
	Waiting float64
	// Promised is the number of callers that were told to retry in each interval from now.
	Promised [Intervals]float64
	// Unseen is the number of callers that other gateways are expected to have told a time that
	// is not in Promised yet.
	Unseen float64
}

// Caller is a rejected caller.
type Caller struct {
	// NotBefore is the earliest time at which a retry makes sense, as until a prompt can be
	// prefilled; zero if there is none.
	NotBefore time.Duration
	// Within is the time within which a retry can still be served within the objective; zero or
	// less if it can't.
	Within time.Duration
	// UsualFrom and UsualTo are the times between which callers retry if they are late.
	UsualFrom, UsualTo time.Duration
}

// slots is the free capacity of one interval, from which a time can be told.
type slots struct {
	from, to time.Duration
	count    float64
}

// Choose returns the time after which a caller should retry, and whether capacity is expected
// then. draw is uniform in [0, 1).
func Choose(s State, c Caller, draw float64) (after time.Duration, free bool) {
	from := min(max(c.NotBefore, Earliest), Latest)
	list := until(s.free(from, Latest), c.Within)
	if len(list) == 0 {
		// The caller is late however soon it retries, and would take capacity from less urgent
		// ones that can be served in time.
		list = s.free(min(max(from, c.UsualFrom), Latest), Latest)
	}
	total := 0.0
	for _, x := range list {
		total += x.count
	}
	if total == 0 {
		return s.spread(c, draw), false
	}
	// Other gateways choose at the same time and see the same free capacity. So the caller gets
	// one of the first slots at random, as many as there are such callers.
	return timeIn(list, draw*min(s.Unseen+1, total)), true
}

// timeIn returns a time in the interval of the slot at a position. The capacity of an interval gets
// free in all of it, so the callers who are told one after the other must not all return at its
// beginning.
func timeIn(list []slots, position float64) time.Duration {
	part := position - math.Floor(position)
	for _, x := range list {
		if position < x.count {
			return x.from + time.Duration(part*float64(x.to-x.from))
		}
		position -= x.count
	}
	return list[len(list)-1].to
}

// free returns the intervals between two times in which capacity for at least one caller is
// expected.
func (s State) free(from, to time.Duration) []slots {
	var out []slots
	net := max(s.Ends-s.Arrivals, 0) * Interval.Seconds()
	credit := -s.Waiting
	for i, promised := range s.Promised {
		// Requests that wait and promises that exceed the capacity of an interval take that of
		// the next ones. Unused capacity is taken by other requests. Only the part of a slot is
		// carried over, since in a small fleet a run ends in every few intervals only.
		credit += net - promised
		if credit < 1 {
			continue
		}
		count := float64(int(credit))
		credit -= count
		x := slots{max(time.Duration(i)*Interval, from), min(time.Duration(i+1)*Interval, to), count}
		if x.from < x.to {
			out = append(out, x)
		}
	}
	return out
}

// until returns the slots before a time.
func until(list []slots, within time.Duration) []slots {
	var out []slots
	for _, x := range list {
		if x.from < within {
			x.to = min(x.to, within)
			out = append(out, x)
		}
	}
	return out
}

// spread returns a time for a caller for whom no capacity is expected as long as as many requests
// arrive as now. It is between the usual times, since a burst lasts for 4 to 5 s, unless more
// callers were promised these than can be served after it, then earlier. If all times are full,
// the caller is told the one with the fewest promises.
func (s State) spread(c Caller, draw float64) time.Duration {
	earliest := min(max(c.NotBefore, Earliest), Latest)
	from := min(max(c.UsualFrom, earliest), Latest)
	to := min(max(c.UsualTo, from), Latest)
	// After a burst of about twice the usual load at least half of the capacity is free for
	// callers who return.
	perInterval := max(s.Ends-s.MoreUrgent, s.Ends/2) * Interval.Seconds()
	if x := s.unpromised(from, to, perInterval); len(x) > 0 {
		return pick(x, draw)
	}
	best := Intervals - 1
	for i := Intervals - 1; time.Duration(i)*Interval >= earliest && s.Promised[best] >= perInterval; i-- {
		if s.Promised[i] < s.Promised[best] {
			best = i
		}
	}
	x := max(time.Duration(best)*Interval, earliest)
	return x + time.Duration(draw*float64(time.Duration(best+1)*Interval-x))
}

// unpromised returns the capacity between two times that is not promised, if an interval has the
// given capacity.
func (s State) unpromised(from, to time.Duration, perInterval float64) []slots {
	var out []slots
	for i, promised := range s.Promised {
		x := slots{from: max(time.Duration(i)*Interval, from), to: min(time.Duration(i+1)*Interval, to)}
		x.count = (perInterval - promised) * float64(x.to-x.from) / float64(Interval)
		if x.from < x.to && x.count > 0 {
			out = append(out, x)
		}
	}
	return out
}

// pick returns a time in one of the intervals, by their capacity.
func pick(list []slots, draw float64) time.Duration {
	total := 0.0
	for _, x := range list {
		total += x.count
	}
	return at(list, draw*total)
}

// at returns the time of the slot at a position.
func at(list []slots, position float64) time.Duration {
	for _, x := range list {
		if position < x.count {
			return x.from + time.Duration(position/x.count*float64(x.to-x.from))
		}
		position -= x.count
	}
	return list[len(list)-1].to
}
