package event

import (
	"sync"
	"time"
)

// Limiter limits how often lines about the same key, such as a server or a peer, are logged, and
// the number of keys that lines are logged about. Without it, the number of lines would depend
// on what peers and servers send.
type Limiter struct {
	// Interval is the minimum time between two lines about one key, MaxKeys the maximum
	// number of keys that lines are logged about in that time.
	Interval time.Duration
	MaxKeys  int

	mu   sync.Mutex
	last map[string]time.Time
}

// Allow reports whether a line about key may be logged now, and counts it if so.
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
