package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/retryslots"
)

// RetryChoice is how the retry time of a rejected caller was chosen.
type RetryChoice string

// The choices.
const (
	// RetryInTime: capacity is expected within the caller's objective.
	RetryInTime RetryChoice = "in_time"
	// RetryFree: capacity is expected later.
	RetryFree RetryChoice = "free"
	// RetryFull: no capacity is expected.
	RetryFull RetryChoice = "full"
	// RetryUsual: the time was chosen without regard to other callers.
	RetryUsual RetryChoice = "usual"
)

// Rejected is a request that found no capacity.
type Rejected struct {
	Work Work
	// Prefill is the shortest time in which its prompt would be prefilled.
	Prefill time.Duration
	// Within is the time that remains to its first event within the objective.
	Within time.Duration
}

// RetryTime returns the time after which the caller of a rejected request should retry, by the
// capacity that callers of equal or higher urgency leave free. own is the demand of this gateway,
// trend the change of the demand of all; draw is uniform in [0, 1).
func (f *Fleet) RetryTime(now time.Time, q Rejected, r RunTimes, own []demand.Class, trend *retryslots.Trend, draw float64) (time.Duration, RetryChoice) {
	ends := f.EndRate(now, q.Work.Service, r)
	if ends <= 0 {
		return RetryAfter(r.Total, q.Prefill, draw), RetryUsual
	}
	k := demand.Key{Service: q.Work.Service, Urgency: q.Work.Urgency}
	state := retryslots.NewState(k, ends, own, f.Others.Demand, f.Others.Gateways, trend)
	caller := retryslots.Caller{
		NotBefore: min(q.Prefill, maxRetryAfter-minRetrySpread), Within: q.Within - r.firstEvent(q.Prefill),
		UsualFrom: RetryAfter(r.Total, q.Prefill, 0), UsualTo: RetryAfter(r.Total, q.Prefill, 1),
	}
	after, free := retryslots.Choose(state, caller, draw)
	switch {
	case free && after <= caller.Within:
		return after, RetryInTime
	case free:
		return after, RetryFree
	}
	return after, RetryFull
}
