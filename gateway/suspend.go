package gateway

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/event"
)

// A process that was frozen or suspended holds state from before the suspension. Meanwhile a zone
// may have been evacuated, or a route removed. It therefore reconnects its links, over which a
// replica sends the current state first, and its requests wait briefly for that. After that wait, a
// gateway that can't reach control continues with the state it has.

// suspendedAfter is the time without an iteration of the links' loop after which the process must
// have been suspended: by then the replicas have dropped its links.
const suspendedAfter = linkIdleTimeout

// detectSuspension checks whether the process has been suspended until now. The caller holds l.mu.
func (l *links) detectSuspension(now time.Time) {
	if l.lastTick.IsZero() || now.Sub(l.lastTick) < suspendedAfter {
		return
	}
	event.ProcessSuspended.Log(l.g.log, "ms", now.Sub(l.lastTick).Milliseconds())
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

// confirmCurrent records that a replica has sent the current state over its link.
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

// awaitCurrent waits until a process that was suspended has received the current state, at most as
// long as a newly started process waits for its first table.
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
