package retryslots

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
)

const (
	// trendTime is the time over which the change of rates is measured.
	trendTime = 250 * time.Millisecond
	// meterTime is the time over which rates are averages.
	meterTime = 2 * time.Second
)

// Trend estimates the current rates of arrivals. The rates that gateways share are averages over
// two seconds, so in the first second of a burst they show less than half of it, and callers
// would be promised capacity that new requests take. The zero value is ready for use.
type Trend struct {
	// before and after are the rates at beforeAt and afterAt, the newest ones that are at least
	// trendTime apart.
	before, after     []demand.Class
	beforeAt, afterAt time.Time
}

// Add records the demand of all gateways at a time.
func (t *Trend) Add(now time.Time, all []demand.Class) {
	switch {
	case now.Sub(t.afterAt) > meterTime:
		t.before, t.beforeAt = all, now // nothing is known about the change
	case now.Sub(t.afterAt) < trendTime:
		return
	default:
		t.before, t.beforeAt = t.after, t.afterAt
	}
	t.after, t.afterAt = all, now
}

// Increase returns the number of requests per second of a class that are expected beyond the
// measured rate: if a load begins, the average rises by it within meterTime. A load that ends is
// not extrapolated, since it may begin again.
func (t *Trend) Increase(k demand.Key) float64 {
	elapsed := t.afterAt.Sub(t.beforeAt)
	if elapsed <= 0 {
		return 0
	}
	change := float64(demand.Find(t.after, k).Rate-demand.Find(t.before, k).Rate) / 1000
	return max(change, 0) * (float64(meterTime)/float64(elapsed) - 1)
}
