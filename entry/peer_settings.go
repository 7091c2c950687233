package entry

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/wire"
)

// peerSettingsLoop lets an entry start at a site that is partitioned from control:
// after controlTimeout it takes the highest revision among those of a majority of
// the site's peers, and serves with it as degraded.
func (e *Entry) peerSettingsLoop() {
	wait.For(e.ctx, controlTimeout)
	for e.ctx.Err() == nil {
		e.mu.Lock()
		done := e.settingsUsable()
		e.mu.Unlock()
		if done || e.fetchFromPeers() {
			return
		}
		wait.For(e.ctx, time.Second)
	}
}

// fetchFromPeers requests the settings of all peers at the same time and puts the highest
// revision in force. It reports whether a majority answered.
func (e *Entry) fetchFromPeers() bool {
	answers := make(chan *wire.Settings, len(e.cfg.Peers))
	for _, addr := range e.cfg.Peers {
		e.wg.Go(func() { answers <- e.fetchFromPeer(addr) })
	}
	answered := 0
	var best *wire.Settings
	for range e.cfg.Peers {
		m := <-answers
		if m == nil {
			continue
		}
		answered++
		if best == nil || m.Revision > best.Revision {
			best = m
		}
	}
	if answered <= len(e.cfg.Peers)/2 || best == nil {
		return false
	}
	e.activateUnconfirmed(best)
	return true
}

// fetchFromPeer returns the settings of one peer, or nil.
func (e *Entry) fetchFromPeer(addr string) *wire.Settings {
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

// activateUnconfirmed puts the settings of a peer in force without confirmation by control.
func (e *Entry) activateUnconfirmed(m *wire.Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settingsUsable() {
		return
	}
	now := clock.VM.Now()
	e.store.Apply(now, m)
	if e.store.Tree() == nil {
		return
	}
	e.degraded = true
	event.SettingsUnconfirmed.Log(e.log, "revision", e.store.Revision())
	e.activateSettings(now)
}
