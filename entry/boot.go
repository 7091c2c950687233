package entry

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/wire"
)

// bootLoop lets an entry start at a site that is cut off: if control stays out
// of reach, it takes the highest revision that a majority of the site's peers
// can tell of, and serves on it as degraded.
func (e *Entry) bootLoop() {
	wait.For(e.ctx, bootWait)
	for e.ctx.Err() == nil {
		e.mu.Lock()
		done := e.mayAct()
		e.mu.Unlock()
		if done || e.askPeers() {
			return
		}
		wait.For(e.ctx, time.Second)
	}
}

// askPeers asks all peers at once; it reports whether a majority answered.
func (e *Entry) askPeers() bool {
	answers := make(chan *wire.Settings, len(e.cfg.Peers))
	for _, addr := range e.cfg.Peers {
		e.wg.Go(func() { answers <- e.askPeer(addr) })
	}
	heard := 0
	var best *wire.Settings
	for range e.cfg.Peers {
		m := <-answers
		if m == nil {
			continue
		}
		heard++
		if best == nil || m.Revision > best.Revision {
			best = m
		}
	}
	if heard <= len(e.cfg.Peers)/2 || best == nil {
		return false
	}
	e.adopt(best)
	return true
}

// askPeer returns the settings of one peer, or nil.
func (e *Entry) askPeer(addr string) *wire.Settings {
	ctx, cancel := context.WithTimeout(e.ctx, time.Second)
	defer cancel()
	o := e.options()
	o.Hello = func() wire.Hello {
		h := e.hello()
		h.Role = wire.RoleAsker
		return h
	}
	l, err := e.dialer.Dial(ctx, addr, o)
	if err != nil {
		return nil
	}
	var out *wire.Settings
	_ = l.Send(&wire.Message{Pull: &wire.Pull{}})
	_ = l.Run(ctx, func(m *wire.Message) {
		if m.Settings != nil && m.Settings.Whole != nil {
			out = m.Settings
			l.Close()
		}
	})
	return out
}

// adopt puts the site's settings in force without control's confirmation.
func (e *Entry) adopt(m *wire.Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mayAct() {
		return
	}
	now := clock.VM.Now()
	e.store.Apply(now, m)
	if e.store.Tree() == nil {
		return
	}
	e.degraded = true
	event.SettingsUnconfirmed.Log(e.log, "revision", e.store.Revision())
	e.inForceNow(now)
}
