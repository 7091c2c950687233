package dispatch

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// In a burst more requests arrive than find capacity, and capacity becomes free as runs end:
// some hundred times a second in a large fleet, a few times in a small one. A waiting request
// is served in time if it is placed early enough to get its first event within its target. A
// request that can't expect that is refused at once, since it would only delay others. As
// long as more requests arrive than there is capacity for, waiting doesn't raise the number
// of requests that are served: it only decides which ones are, and the newest ones are served
// soonest.

// RunTimes holds the durations of recent requests to a service.
type RunTimes struct {
	// Token is the average time of one token of an answer, Total that of a request from
	// arrival to end, and First that from placement to the first event, with its mean
	// deviation. All are zero until a run has ended.
	Token, Total, First, FirstDeviation time.Duration
}

const (
	// runWeight is the weight of the newest run in the averages.
	runWeight = 0.1
	// deviationFactor is the number of mean deviations above the mean at which the time from
	// placement to the first event is estimated; nearly all requests are faster.
	deviationFactor = 4
)

// Note records the total time of a request, the time from its placement to its first event,
// and the time and number of the tokens of its answer.
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

// firstEvent returns the time from placement in which a request whose prompt is prefilled in a
// given time gets its first event, in nearly all cases.
func (r RunTimes) firstEvent(prefill time.Duration) time.Duration {
	return max(r.First+deviationFactor*r.FirstDeviation, prefill+milliseconds(handoverCost))
}

// contendedTimeout is the queue timeout while requests of unknown urgency wait too: a few draws for free
// slots (see winsDraw), enough for free capacity to be used at once. A request that waited
// for as long as its target allows would take that capacity from a new one, which has all of
// its time left.
const contendedTimeout = 5 * slotDrawInterval / 2

// QueueTimeout returns how long a request waits for capacity at most: as long as it can still
// be served within the given time if no request waits before it or if its position among those of
// all gateways is known, a few draws for free slots if it is not, and zero if so many wait before
// it that it is unlikely to be served in time. ahead is the number of requests at this gateway
// that are as urgent or more.
func (f *Fleet) QueueTimeout(now time.Time, w Work, within time.Duration, ahead int, r RunTimes) time.Duration {
	first := r.firstEvent(f.minPrefillTime(now, w))
	limit := max(within-first, 0)
	if f.restricted(w) {
		return f.pinnedQueueTimeout(now, w, limit, ahead, r)
	}
	p := f.Position(w)
	waiting := p.Ahead + ahead
	switch {
	case waiting == 0:
		return limit
	case f.expectedWait(w.Service, waiting, r) > limit:
		return 0
	case !p.draws() && len(f.Others.Demand) > 0:
		return limit
	}
	return min(limit, contendedTimeout)
}

// RejectLate removes the queued requests that no longer expect to be placed in time, because more
// urgent ones have arrived at any gateway, and calls rejected for each. The least urgent are the
// first ones. times returns the durations of the requests to a service.
func (f *Fleet) RejectLate(now time.Time, q *Queue, times func(service string) RunTimes, rejected func(r *QueuedRequest)) {
	if f.Others.Queued <= 0 || len(f.Others.Demand) == 0 {
		return
	}
	for at := len(q.list) - 1; at >= 0; at-- {
		r := q.list[at]
		p := f.Position(r.Work)
		if r.Until.IsZero() || p.draws() || p.Ahead == 0 {
			continue
		}
		before := 0
		for _, o := range q.list[:at] {
			if o.Work.Service == r.Work.Service {
				before++
			}
		}
		if f.expectedWait(r.Work.Service, p.Ahead+before, times(r.Work.Service)) > r.Until.Sub(now) {
			q.list = slices.Delete(q.list, at, at+1)
			rejected(r)
		}
	}
}

// expectedWait returns the expected time until as many runs have ended as requests wait here
// and at other gateways, including the next one.
func (f *Fleet) expectedWait(service string, waiting int, r RunTimes) time.Duration {
	rate := f.endRate(service, r)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(waiting+1) / rate * float64(time.Second))
}

// EndRate returns the expected number of runs of a service that end per second at all gateways;
// zero if no run has ended yet.
func (f *Fleet) EndRate(now time.Time, service string, r RunTimes) float64 {
	f.group(now, service, registry.Decode) // rebuilds outdated groups
	return f.endRate(service, r)
}

func (f *Fleet) endRate(service string, r RunTimes) float64 {
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
	// Of a large group this gateway knows a subset.
	known := len(f.groups[decode]) + f.excluded[decode]
	total := float64(runs) * float64(f.groupSize(service, registry.Decode)) / float64(known)
	return total / r.Total.Seconds()
}

// groupSize returns the number of servers of a service and role, including servers that this
// gateway does not work with.
func (f *Fleet) groupSize(service, role string) int {
	g := group{service, role}
	return max(f.groupSizes[g], len(f.groups[g])+f.excluded[g])
}
