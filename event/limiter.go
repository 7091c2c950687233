package event

import (
	"sync"
	"time"
)

// Limiter bounds how often lines about the same thing are written, and about how many
// things in a while: what others send decides how many there would be.
type Limiter struct {
	// Every is the least time between two lines about one thing, Most the things of
	// which lines are written in that time.
	Interval time.Duration
	MaxKeys  int

	mu   sync.Mutex
	last map[string]time.Time
}

// Allow tells whether a line about a thing may be written now.
func (l *Limiter) Allow(now time.Time, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, seen := l.last[key]; seen && now.Sub(at) < l.Interval {
		return false
	}
	if len(l.last) >= l.MaxKeys {
		for other, at := range l.last {
			if now.Sub(at) >= l.Interval {
				delete(l.last, other)
			}
		}
		if len(l.last) >= l.MaxKeys {
			return false
		}
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	l.last[key] = now
	return true
}
