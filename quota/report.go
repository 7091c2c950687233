package quota

import (
	"math"
	"time"
)

// nearLimit reports whether an organisation has used more than half of its capacity.
func (l *Limiter) nearLimit(now time.Time) bool {
	for _, a := range l.accounts {
		l.advance(now, a)
		if 2*a.used > l.bounds.capacity(a.limit)*a.share {
			return true
		}
	}
	return false
}

// Rules for reports of usage.
const (
	// reportDivisor: usage above 1/reportDivisor of one gateway's share of the remaining capacity
	// is reported at once. All gateways together leave at most the same fraction of the remaining
	// capacity unreported.
	reportDivisor = 32
	// maxReportDelay is how long smaller usage may stay unreported.
	maxReportDelay = 400 * time.Millisecond
)

// shouldReport reports whether usage has to be reported now, where reportedAt is the time of the
// last report.
func (l *Limiter) shouldReport(now time.Time, name string, unreported float64, reportedAt time.Time) bool {
	if unreported == 0 {
		return false
	}
	a := l.accounts[name]
	if a == nil || now.Sub(reportedAt) >= maxReportDelay {
		return true
	}
	l.advance(now, a)
	remaining := l.bounds.capacity(a.limit)*a.share - a.used
	return math.Abs(unreported)*reportDivisor >= remaining*l.share.Disconnected
}

// TakeUnreported returns the usage of this gateway to report now, by organisation, and marks it as
// reported; nil if there is none.
func (l *Limiter) TakeUnreported(now time.Time) map[string]int {
	var out map[string]int
	for name, a := range l.accounts {
		if !l.shouldReport(now, name, a.unreported, a.reportedAt) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		reported := math.Trunc(a.unreported)
		out[name] = int(reported)
		a.unreported -= reported
		a.reportedAt = now
	}
	return out
}
