package warmup

import (
	"slices"
	"time"
)

// Lease is what a gateway may send to one cold server. The zero value allows nothing.
type Lease struct {
	maxPerSecond int
	expiresAt    time.Time
	sent         []time.Time
}

// Renew applies a lease that has just arrived.
func (l *Lease) Renew(now time.Time, maxPerSecond int, d time.Duration) {
	l.maxPerSecond, l.expiresAt = maxPerSecond, now.Add(min(d, LeaseTTL))
}

// Allows reports whether one more request may be sent now.
func (l *Lease) Allows(now time.Time) bool {
	return now.Before(l.expiresAt) && l.recent(now) < l.maxPerSecond
}

// CountSent counts a request.
func (l *Lease) CountSent(now time.Time) {
	l.recent(now)
	l.sent = append(l.sent, now)
}

// recent returns how many requests were sent in the last second, and drops older ones.
func (l *Lease) recent(now time.Time) int {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return len(l.sent)
}
