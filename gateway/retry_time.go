package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/metric"
)

// retryAfter returns how long a caller whose request found no capacity should wait before a retry,
// at least for a pause that servers have requested, and how that was chosen.
func (f *fleet) retryAfter(q dispatch.Rejected, pause time.Duration) (time.Duration, dispatch.RetryChoice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	service, now := q.Work.Service, f.clock.Now()
	times := f.runTimes[service]
	if after, ok := f.view.PinnedRetryAfter(now, q.Work, f.queue.CountAhead(q.Work), times, rand.Float64()); ok {
		return max(after, pause), dispatch.RetryUsual
	}
	after, choice := dispatch.RetryAfter(times.Total, q.Prefill, rand.Float64()), dispatch.RetryUsual
	if f.ranked[service] {
		after, choice = f.view.RetryTime(now, q, times, f.demand(now), &f.trend, rand.Float64())
	}
	if pause > after {
		after, choice = pause, dispatch.RetryUsual
	}
	if f.ranked[service] {
		f.promises.Add(now, demand.Key{Service: service, Urgency: q.Work.Urgency}, after)
	}
	metric.RetryTimes.WithLabelValues(service, string(choice)).Inc()
	return after, choice
}

// updateTrend records the demand of all gateways.
func (f *fleet) updateTrend(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ranked) > 0 {
		f.trend.Add(now, demand.Add(f.demand(now), f.view.Others.Demand))
	}
}
