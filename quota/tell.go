package quota

import (
	"math"
	"time"
)

// tight tells whether some organisation has used more than half of its room.
func (l *Limiter) tight(now time.Time) bool {
	for _, a := range l.accounts {
		l.settle(now, a)
		if 2*a.used > l.bounds.room(a.limit)*a.share {
			return true
		}
	}
	return false
}

// Rules for telling.
const (
	// tellPart is the part of the room left, of that of one gateway, from which on what
	// was used is told at once: so much less is known to be left by all together.
	tellPart = 32
	// tellEvery is how long it may wait else.
	tellEvery = 400 * time.Millisecond
)

// worth tells whether a use that others have not heard of for a time has to be told.
func (l *Limiter) worth(now time.Time, name string, untold float64, since time.Time) bool {
	if untold == 0 {
		return false
	}
	a := l.accounts[name]
	if a == nil || now.Sub(since) >= tellEvery {
		return true
	}
	l.settle(now, a)
	left := l.bounds.room(a.limit)*a.share - a.used
	return math.Abs(untold)*tellPart >= left*l.part.Disconnected
}

// TakeUnreported returns what this gateway has used that has to be told now, by organisation;
// nil if nothing has. It counts as told.
func (l *Limiter) TakeUnreported(now time.Time) map[string]int {
	var out map[string]int
	for name, a := range l.accounts {
		if !l.worth(now, name, a.untold, a.toldAt) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		told := math.Trunc(a.untold)
		out[name] = int(told)
		a.untold -= told
		a.toldAt = now
	}
	return out
}
