package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// In a burst more requests come than find room, and room comes back as runs end: some
// hundreds a second in a large fleet, a few in a small one. A request that waits is
// served in time if its turn comes before its target, less what it takes from room to
// the first event. One that can't expect that is refused at once: it would only be in
// the way of others. As long as more come than there is room for, waiting serves nobody
// more: it only decides who is served, and who has just come is served soonest.

// RunTimes is how long requests to a service took of late.
type RunTimes struct {
	// Token is the time of one token of an answer, Whole that of a request from its
	// arrival to its end, and First that from room to the first event, with its mean
	// deviation. All are zero until a run has ended.
	Token, Total, First, FirstDeviation time.Duration
}

const (
	// runWeight is the part of the newest run in the averages.
	runWeight = 0.1
	// firstDeviations is the number of mean deviations above the mean that the time
	// from room to the first event is taken to be: nearly all are below that.
	deviationFactor = 4
)

// Note takes how long a request took, how long it took from room to its first event,
// and how long the tokens of its answer.
func (r *RunTimes) Note(total, first, answer time.Duration, tokens int) {
	if tokens <= 0 || answer <= 0 {
		return
	}
	newest := RunTimes{Token: answer / time.Duration(tokens), Total: total, First: first, FirstDeviation: (first - r.First).Abs()}
	if r.Total == 0 {
		newest.FirstDeviation = first / 2
		*r = newest
		return
	}
	blend := func(old, newest time.Duration) time.Duration {
		return old + time.Duration(runWeight*float64(newest-old))
	}
	*r = RunTimes{
		Token: blend(r.Token, newest.Token), Total: blend(r.Total, newest.Total),
		First: blend(r.First, newest.First), FirstDeviation: blend(r.FirstDeviation, newest.FirstDeviation),
	}
}

// waitTurns is how long a request waits while others wait too: some draws for room (see
// turn). That is enough for the room that comes back to be taken at once; who waits for
// longer takes it from a newcomer, who has all of its time left. Waits of what is left of
// the target were worth 0.007 to 0.016 less at three sites.
const contendedTimeout = 5 * slotDrawInterval / 2

// Patience returns how long a request waits for room at most: as long as it can still
// be served within a time if nobody else waits, a few draws for room if others do, and
// not at all if so many wait before it that it is not likely to be served in time. Ahead
// are the requests that wait at this gateway.
func (f *Fleet) QueueTimeout(now time.Time, w Work, within time.Duration, ahead int, r RunTimes) time.Duration {
	first := max(r.First+deviationFactor*r.FirstDeviation, f.minPrefillTime(now, w)+milliseconds(handoverCost))
	limit := max(within-first, 0)
	waiting := f.Others.Queued + ahead
	switch {
	case waiting == 0:
		return limit
	case f.expectedWait(w.Service, waiting, r) > limit:
		return 0
	}
	return min(limit, contendedTimeout)
}

// turnWait is the expected time until as many runs have ended as requests wait here and
// at other gateways, the next one included.
func (f *Fleet) expectedWait(service string, waiting int, r RunTimes) time.Duration {
	if r.Total <= 0 {
		return 0
	}
	decode := group{service, registry.Decode}
	runs := 0
	for _, s := range f.groups[decode] {
		runs += s.Own.Runs + s.Others.Runs
	}
	if runs == 0 {
		return 0
	}
	// Of a large group this gateway knows a part.
	known := len(f.groups[decode]) + f.excluded[decode]
	total := float64(runs) * float64(max(f.groupSizes[decode], known)) / float64(known)
	return time.Duration(float64(waiting+1) / total * float64(r.Total))
}
