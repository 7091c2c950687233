package dispatch

import "time"

// Returns tells callers that find no room when to come back. Room comes at about
// the pace at which requests were placed of late, and new callers take their part
// of it. So those that are refused are spread over the time in which there will be
// room for all of them that have not come back yet.
type Returns struct {
	// placed and due are the times at which requests were placed of late, and at
	// which refused callers come back.
	placed, due []time.Time
}

// Bounds of the time after which a caller comes back.
const (
	leastReturn = 500 * time.Millisecond
	// leastSpan and mostSpan bound the time over which callers are spread. Callers
	// heed a third of the time that they have left.
	leastSpan = 2500 * time.Millisecond
	mostSpan  = 4 * time.Second
	// returnShare is the part of the room that callers who come back find.
	returnShare = 0.15
	// paceTime is the time over which the pace of room is counted.
	paceTime = 3 * time.Second
)

// Placed takes that a request has found room.
func (r *Returns) Placed(now time.Time) {
	r.placed = append(since(r.placed, now.Add(-paceTime)), now)
}

// After returns how long a caller that finds no room stays away; draw is evenly
// spread in [0, 1). Read is the least time in which its prompt would be read.
func (r *Returns) After(now time.Time, read time.Duration, draw float64) time.Duration {
	r.placed = since(r.placed, now.Add(-paceTime))
	r.due = since(r.due, now)
	span := mostSpan
	if pace := returnShare * float64(len(r.placed)) / paceTime.Seconds(); pace > 0 {
		all := float64(len(r.due)+1) / pace
		span = time.Duration(min(max(all, leastSpan.Seconds()), mostSpan.Seconds()) * float64(time.Second))
	}
	after := max(leastReturn, min(read, mostSpan)) + time.Duration(draw*float64(span))
	r.due = append(r.due, now.Add(after))
	return after
}

// since drops the times before one.
func since(list []time.Time, from time.Time) []time.Time {
	kept := list[:0]
	for _, t := range list {
		if !t.Before(from) {
			kept = append(kept, t)
		}
	}
	return kept
}
