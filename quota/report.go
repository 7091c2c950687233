package quota

import (
	"math"
	"time"
)

// tight tells whether some organisation has used more than half of its room.
func (l *Limiter) nearLimit(now time.Time) bool {
	for _, a := range l.accounts {
		l.advance(now, a)
		if 2*a.used > l.bounds.capacity(a.limit)*a.share {
			return true
		}
	}
	return false
}

// Rules for telling.
const (
	// tellPart is the part of the room left, of that of one gateway, from which on what
	// was used is told at once: so much less is known to be left by all together.
	reportFraction = 32
	// tellEvery is how long it may wait else.
	maxReportDelay = 400 * time.Millisecond
)

// worth tells whether a use that others have not heard of for a time has to be told.
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
	return math.Abs(unreported)*reportFraction >= remaining*l.share.Disconnected
}

// TakeUnreported returns what this gateway has used that has to be told now, by organisation;
// nil if nothing has. It counts as told.
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
