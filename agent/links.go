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

// heartbeatInterval is the time between two heartbeats on a link.
const heartbeatInterval = 2 * time.Second

// reconnectTimeout is how long an entry's leases are kept after its link has closed. If
// a link fails without being closed, the leases expire after the lease time.
const reconnectTimeout = time.Second

// ownerOf returns the name of an owner of leases. It contains the epoch: after a restart,
// an entry is another owner.
func ownerOf(h wire.Hello) string { return fmt.Sprintf("%s/%d", h.Name, h.Epoch) }

// serve runs one link until it ends.
func (a *Agent) serve(l *wire.Link) {
	owner := ownerOf(l.Peer)
	if l.Peer.Role == wire.RoleEntry {
		a.addLink(owner, l)
		defer a.removeLink(owner, l)
	}
	err := l.Run(a.ctx, func(m *wire.Message) { a.handle(owner, l, m) })
	if a.ctx.Err() == nil && l.Peer.Role == wire.RoleEntry {
		event.LinkDown.Log(a.log, "peer", l.Peer.Name, "why", err)
	}
}

func (a *Agent) addLink(owner string, l *wire.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.links[owner]; old != nil {
		old.Close()
	}
	a.links[owner] = l
	delete(a.disconnectedAt, owner)
	a.work.Renew(clock.VM.Now(), owner)
	a.sendHeartbeat(owner, l)
	a.sendAssets(l)
}

func (a *Agent) removeLink(owner string, l *wire.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[owner] == l {
		delete(a.links, owner)
		a.disconnectedAt[owner] = clock.VM.Now()
	}
}

func (a *Agent) heartbeatLoop() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			a.sendHeartbeats()
		}
	}
}

// sendHeartbeats sends a heartbeat with the load to every entry.
func (a *Agent) sendHeartbeats() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendHeartbeatsLocked()
}

// sendHeartbeatsLocked is sendHeartbeats for callers that hold the lock.
func (a *Agent) sendHeartbeatsLocked() {
	for owner, l := range a.links {
		a.sendHeartbeat(owner, l)
	}
	a.cacheHints = nil
	a.heartbeatAt, a.heartbeatUsed = clock.VM.Now(), a.work.Used()
}

const (
	// minHeartbeatInterval is the minimum time between an early heartbeat and the one before.
	minHeartbeatInterval = 500 * time.Millisecond
	// earlySlotDivisor determines when an early heartbeat is sent: if 1/earlySlotDivisor of
	// the slots has become free since the last heartbeat, as after the loss of an entry.
	earlySlotDivisor = 4
)

// sendHeartbeatsEarly sends heartbeats if many slots have become free. Callers hold the lock.
func (a *Agent) sendHeartbeatsEarly(now time.Time) {
	freed := a.heartbeatUsed - a.work.Used()
	if freed > 0 && freed >= a.work.Slots()/earlySlotDivisor && now.Sub(a.heartbeatAt) >= minHeartbeatInterval {
		a.sendHeartbeatsLocked()
	}
}

func (a *Agent) sendHeartbeat(owner string, l *wire.Link) {
	load := a.loadFor(owner)
	load.Cached = a.cacheHints
	_ = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: a.store.Revision(), Load: &load}})
}

// sendAssets reports the assets that the engine has loaded to an entry. Callers hold the lock.
func (a *Agent) sendAssets(l *wire.Link) {
	_ = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{
		Revision: a.store.Revision(), Assets: a.assets, Role: a.role, Told: true, Software: a.software,
	}})
}

// loadFor returns the load of the server that is reported to one entry, which knows its own
// share of it. Callers hold the lock.
func (a *Agent) loadFor(owner string) placement.Load {
	out := placement.Load{
		Others: a.work.Used() - a.work.UsedBy(owner), Slots: a.work.Slots(), Leaving: a.leaving(),
		Models: a.models, NoModels: a.engine != nil && len(a.models) == 0,
	}
	var backlog [placement.Priorities]int32
	levels := 0
	for _, j := range a.jobs {
		if j.owner == owner {
			continue
		}
		if j.tokens > 0 {
			backlog[j.priority] += int32(j.tokens)
			levels = max(levels, j.priority+1)
		}
		if j.importing || j.result != nil {
			out.Transfers++ // a result that waits here will be transferred soon
		}
	}
	out.Backlog = backlog[:levels:levels]
	return out
}

// handle handles one message. The messages of a link are handled in their order.
func (a *Agent) handle(owner string, l *wire.Link, m *wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.VM.Now()
	switch {
	case m.Heartbeat != nil:
		a.work.Renew(now, owner)
		a.kv.Renew(now, owner)
		a.pullSettings(now, l, m.Heartbeat.Revision)
	case m.Settings != nil:
		a.applyUpdate(now, l, m.Settings)
	case m.Pull != nil:
		if s := a.store.UpdateFor(m.Pull.Have); s != nil {
			_ = l.Send(&wire.Message{Settings: s})
		}
	case m.Reserve != nil:
		a.handleReserve(now, owner, l, m.Reserve)
	case m.Prefill != nil:
		a.startPrefill(owner, l, m.Prefill)
	case m.Decode != nil:
		a.startDecode(owner, l, m.Decode)
	case m.Cancel != nil:
		a.cancelWork(now, m.Cancel.ID)
	case m.Resume != nil:
		a.handleResume(now, owner, l, m.Resume)
	case m.Grant != nil:
		a.handleClaim(now, l, m.Grant)
	case m.Record != nil:
		a.handleRecord(now, m.Record)
		_ = l.Send(&wire.Message{Recorded: &wire.Recorded{Attempt: m.Record.Attempt}})
	case m.Copy != nil:
		a.handleCopy(now, l, m.Copy)
	case m.Call != nil:
		a.handleCall(now, l, m.Call)
	case m.Order != nil:
		a.handleOrder(l, m.Order)
	case m.Register != nil:
		a.register(now, owner, m.Register)
		_ = l.Send(&wire.Message{Registered: &wire.Registered{Req: m.Register.Req}})
	}
}

// register registers the request that has a key, and notifies the entry of the request that
// had the key before.
func (a *Agent) register(now time.Time, owner string, m *wire.Register) {
	before, replaced := a.registry.put(now, m.Key, m.Req, owner)
	if l := a.links[before.owner]; replaced && l != nil {
		_ = l.Send(&wire.Message{Superseded: &wire.Superseded{Req: before.req}})
	}
}

// pullTimeout is how long a pull may take before the settings are requested from another entry.
const pullTimeout = 500 * time.Millisecond

// pullSettings requests the settings from an entry that announced a newer revision, unless
// another pull is still open.
func (a *Agent) pullSettings(now time.Time, l *wire.Link, revision uint64) {
	if revision <= a.store.Revision() || now.Sub(a.pulledAt) < pullTimeout {
		return
	}
	a.pulledAt = now
	_ = l.Send(&wire.Message{Pull: &wire.Pull{Have: a.store.Revision()}})
}

func (a *Agent) applyUpdate(now time.Time, l *wire.Link, m *wire.Settings) {
	before := a.store.Tree()
	switch a.store.Apply(now, m) {
	case spread.NeedFullText:
		_ = l.Send(&wire.Message{Pull: &wire.Pull{}})
	case spread.Invalid:
		event.InvalidSettings.Log(a.log, "peer", l.Peer.Name, "revision", m.Revision)
	case spread.Applied:
		a.pulledAt = time.Time{}
		event.SettingsInForce.Log(a.log, "revision", m.Revision)
		a.applySettings(now, before)
	}
}

// applySettings applies new settings; before are those that the agent had, or nil.
func (a *Agent) applySettings(now time.Time, before *settings.Tree) {
	p, ok := a.store.Tree().Server(a.cfg.Name)
	a.unlisted = !ok
	a.work.SetLeaving(a.leaving())
	if !ok {
		event.ServerLeaving.Log(a.log, "why", "the server is not in the settings")
		a.sendHeartbeatsLocked()
		return
	}
	a.work.SetSlots(p.Slots)
	a.work.SetTTL(p.LeaseTime)
	a.kv.SetTTL(p.LeaseTime)
	a.joinClaimGroup(now, before)
	// Entries need the number of slots at once, not with the next periodic heartbeat.
	a.sendHeartbeatsLocked()
}
