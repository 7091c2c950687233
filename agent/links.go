package agent

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// beatEvery is the time between two heartbeats on a link.
const beatEvery = 2 * time.Second

// rejoinGrace is how long an entry's leases outlive its closed link. A link
// that falls silent without closing is covered by the lease time.
const rejoinGrace = time.Second

// ownerOf names the holder of leases: an entry that restarts is another one.
func ownerOf(h wire.Hello) string { return fmt.Sprintf("%s/%d", h.Name, h.Epoch) }

// serve runs one link until it ends.
func (a *Agent) serve(l *wire.Link) {
	owner := ownerOf(l.Peer)
	if l.Peer.Role == wire.RoleEntry {
		a.join(owner, l)
		defer a.part(owner, l)
	}
	err := l.Run(a.ctx, func(m *wire.Message) { a.handle(owner, l, m) })
	if a.ctx.Err() == nil && l.Peer.Role == wire.RoleEntry {
		event.LinkDown.Log(a.log, "peer", l.Peer.Name, "why", err)
	}
}

func (a *Agent) join(owner string, l *wire.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.links[owner]; old != nil {
		old.Close()
	}
	a.links[owner] = l
	delete(a.parted, owner)
	a.work.Renew(clock.VM.Now(), owner)
	a.sendBeat(owner, l)
	a.tellAssets(l)
}

func (a *Agent) part(owner string, l *wire.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[owner] == l {
		delete(a.links, owner)
		a.parted[owner] = clock.VM.Now()
	}
}

func (a *Agent) beatLoop() {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			a.beat()
		}
	}
}

// beat sends a heartbeat with the load to every entry.
func (a *Agent) beat() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beatLocked()
}

// beatLocked is beat for callers that hold the lock.
func (a *Agent) beatLocked() {
	for owner, l := range a.links {
		a.sendBeat(owner, l)
	}
	a.hashes = nil
	a.beatAt, a.beatUsed = clock.VM.Now(), a.work.Used()
}

const (
	// earlyBeat is the least time between two reports.
	earlyBeat = 500 * time.Millisecond
	// earlyPart is the part of the slots that must have become free since the
	// last report for one to go out early, as after the loss of an entry.
	earlyPart = 4
)

// beatEarly reports a large fall of the load at once. Callers hold the lock.
func (a *Agent) beatEarly(now time.Time) {
	fell := a.beatUsed - a.work.Used()
	if fell > 0 && fell >= a.work.Slots()/earlyPart && now.Sub(a.beatAt) >= earlyBeat {
		a.beatLocked()
	}
}

func (a *Agent) sendBeat(owner string, l *wire.Link) {
	load := a.load(owner)
	load.Cached = a.hashes
	_ = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: a.store.Revision(), Load: &load}})
}

// tellAssets tells an entry what the engine has loaded. Callers hold the lock.
func (a *Agent) tellAssets(l *wire.Link) {
	_ = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{
		Revision: a.store.Revision(), Assets: a.assets, Role: a.role, Told: true,
	}})
}

// load returns what one entry is told. Callers hold the lock.
func (a *Agent) load(owner string) placement.Load {
	out := placement.Load{
		Others: a.work.Used() - a.work.UsedBy(owner), Slots: a.work.Slots(), Leaving: a.leaving(),
		Models: a.models, NoModels: a.engine != nil && len(a.models) == 0,
	}
	var backlog [placement.Priorities]int32
	top := 0
	for _, j := range a.jobs {
		if j.owner == owner {
			continue
		}
		if j.tokens > 0 {
			backlog[j.priority] += int32(j.tokens)
			top = max(top, j.priority+1)
		}
		if j.moving || j.done != nil {
			out.Transfers++ // a result that waits here is about to move
		}
	}
	out.Backlog = backlog[:top:top]
	return out
}

// handle takes one message. The order of a link's messages is kept.
func (a *Agent) handle(owner string, l *wire.Link, m *wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.VM.Now()
	switch {
	case m.Heartbeat != nil:
		a.work.Renew(now, owner)
		a.kv.Renew(now, owner)
		a.pull(now, l, m.Heartbeat.Revision)
	case m.Settings != nil:
		a.takeSettings(now, l, m.Settings)
	case m.Pull != nil:
		if s := a.store.UpdateFor(m.Pull.Have); s != nil {
			_ = l.Send(&wire.Message{Settings: s})
		}
	case m.Reserve != nil:
		a.reserve(now, owner, l, m.Reserve)
	case m.Prefill != nil:
		a.startPrefill(owner, l, m.Prefill)
	case m.Decode != nil:
		a.startDecode(owner, l, m.Decode)
	case m.Cancel != nil:
		a.cancelWork(now, m.Cancel.ID)
	case m.Resume != nil:
		a.resume(now, owner, l, m.Resume)
	case m.Grant != nil:
		a.grant(now, l, m.Grant)
	case m.Record != nil:
		a.record(now, m.Record)
		_ = l.Send(&wire.Message{Recorded: &wire.Recorded{Attempt: m.Record.Attempt}})
	case m.Copy != nil:
		a.copyFor(now, l, m.Copy)
	case m.Call != nil:
		a.call(now, l, m.Call)
	case m.Order != nil:
		a.order(l, m.Order)
	case m.Register != nil:
		a.register(now, owner, m.Register)
		_ = l.Send(&wire.Message{Registered: &wire.Registered{Req: m.Register.Req}})
	}
}

// register notes who has a key, and tells the entry of the request that had it
// before.
func (a *Agent) register(now time.Time, owner string, m *wire.Register) {
	before, replaced := a.registry.put(now, m.Key, m.Req, owner)
	if l := a.links[before.owner]; replaced && l != nil {
		_ = l.Send(&wire.Message{Superseded: &wire.Superseded{Req: before.req}})
	}
}

// pullAgain is how long one pull is waited for before another link is asked.
const pullAgain = 500 * time.Millisecond

// pull asks one of the entries that tell of a newer revision.
func (a *Agent) pull(now time.Time, l *wire.Link, revision uint64) {
	if revision <= a.store.Revision() || now.Sub(a.pulledAt) < pullAgain {
		return
	}
	a.pulledAt = now
	_ = l.Send(&wire.Message{Pull: &wire.Pull{Have: a.store.Revision()}})
}

func (a *Agent) takeSettings(now time.Time, l *wire.Link, m *wire.Settings) {
	before := a.store.Tree()
	switch a.store.Apply(now, m) {
	case spread.NeedFullText:
		_ = l.Send(&wire.Message{Pull: &wire.Pull{}})
	case spread.Invalid:
		event.SettingsBad.Log(a.log, "peer", l.Peer.Name, "revision", m.Revision)
	case spread.Applied:
		a.pulledAt = time.Time{}
		event.SettingsInForce.Log(a.log, "revision", m.Revision)
		a.applySettings(now, before)
	}
}

// applySettings brings the agent in line with new settings; before are those
// that it had, or nil.
func (a *Agent) applySettings(now time.Time, before *settings.Tree) {
	p, ok := a.store.Tree().Server(a.cfg.Name)
	a.unlisted = !ok
	a.work.SetLeaving(a.leaving())
	if !ok {
		event.ServerLeaving.Log(a.log, "why", "not in the settings")
		a.beatLocked()
		return
	}
	a.work.SetSlots(p.Slots)
	a.work.SetTTL(p.LeaseTime)
	a.kv.SetTTL(p.LeaseTime)
	a.joinGroup(now, before)
	// Entries have to know of the slots at once, not with the next heartbeat.
	a.beatLocked()
}
