package gateway

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/event"
)

// A process that was frozen or suspended knows what held before. Meanwhile a zone may have
// been evacuated, or a route taken away. So it opens its links anew, over which a replica tells
// the newest first, and its requests wait for that for a moment. A gateway that is cut off
// goes on with what it has after that moment.

// stillFor is the time without a step of the links' loop after which the process must have
// stood still: replicas have given its links up by then.
const suspendedAfter = linkIdleTimeout

// notice finds out whether the process has stood still until now. Callers hold the lock.
func (l *links) detectSuspension(now time.Time) {
	if l.lastTick.IsZero() || now.Sub(l.lastTick) < suspendedAfter {
		return
	}
	event.StoodStill.Log(l.g.log, "ms", now.Sub(l.lastTick).Milliseconds())
	l.lastTick, l.resumedAt = now, now
	if l.current == nil {
		l.current = make(chan struct{})
	}
	for _, p := range l.peers {
		if p.link != nil {
			p.link.Close()
		}
	}
}

// upToDate takes that a replica has told the newest over its link.
func (l *links) confirmCurrent(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	if l.current == nil || p == nil || p.dialedAt.Before(l.resumedAt) {
		return
	}
	close(l.current)
	l.current = nil
}

// awaitCurrent waits until a process that has stood still is told the newest, for as long as
// one that has just started waits for its first table.
func (l *links) awaitCurrent(ctx context.Context) {
	l.mu.Lock()
	l.detectSuspension(l.g.clock.Now())
	current, remaining := l.current, l.g.clock.Until(l.resumedAt.Add(firstTableTimeout))
	l.mu.Unlock()
	if current == nil || remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-current:
	case <-t.C:
	case <-ctx.Done():
	}
}
