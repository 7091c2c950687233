package entry

import (
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// settingsUsable reports whether the entry may act on the settings in its store.
// Callers hold the lock.
func (e *Entry) settingsUsable() bool { return e.store.Confirmed() || e.degraded }

// revisionInForce returns the revision that the entry acts on, or zero if there is none.
func (e *Entry) revisionInForce() uint64 {
	if !e.settingsUsable() {
		return 0
	}
	return e.store.Revision()
}

// loadPersisted reads the settings that the entry stored on its disk. It does not act
// on them before they are confirmed.
func (e *Entry) loadPersisted() {
	rev, text, err := e.cfg.SettingsFile.Read()
	if err == nil && rev > 0 {
		err = e.store.Load(rev, text)
	}
	if err != nil {
		event.InvalidSettings.Log(e.log, "error", err)
	}
}

// applyUpdate applies an update of the settings from upstream or from a peer. Callers
// hold the lock.
func (e *Entry) applyUpdate(now time.Time, l *wire.Link, m *wire.Settings) {
	wasUsable := e.settingsUsable()
	switch e.store.Apply(now, m) {
	case spread.NeedFullText:
		_ = l.Send(&wire.Message{Pull: &wire.Pull{}})
	case spread.Invalid:
		event.InvalidSettings.Log(e.log, "peer", l.Peer.Name, "revision", m.Revision)
	case spread.Applied:
		e.activateSettings(now)
	case spread.Stale:
		if !wasUsable && e.settingsUsable() {
			e.activateSettings(now)
		}
	}
	if m.Confirmed && e.store.Confirmed() {
		e.degraded = false
	}
}

// activateSettings puts the revision in the store in force and forwards it.
func (e *Entry) activateSettings(now time.Time) {
	if !e.settingsUsable() {
		return
	}
	e.signalPersist()
	event.SettingsInForce.Log(e.log, "revision", e.store.Revision())
	e.applySettings(now)
	// An agent has links from every entry of its zone. All of them announce the new
	// revision, and the agent pulls it from one.
	heartbeat := &wire.Message{Heartbeat: &wire.Heartbeat{Revision: e.revisionInForce()}}
	for _, a := range e.agents {
		if a.link != nil {
			_ = a.link.Send(heartbeat)
		}
	}
	for l := range e.downstream {
		e.sendUpdate(l)
	}
}

// signalPersist wakes the loop that writes the settings to the disk.
func (e *Entry) signalPersist() {
	select {
	case e.persistSignal <- struct{}{}:
	default:
	}
}

// persistLoop writes the newest settings to the disk without holding the lock. The
// file only speeds up the next start, so nothing waits for it.
func (e *Entry) persistLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.persistSignal:
		}
		e.mu.Lock()
		rev, text := e.store.Revision(), e.store.Text()
		e.mu.Unlock()
		if err := e.cfg.SettingsFile.Write(rev, text); err != nil {
			event.JournalFailed.Log(e.log, "error", fault.From(err))
		}
	}
}

// sendUpdate sends the settings in force as a delta to the previous revision. A peer
// that does not have that revision pulls the full text.
func (e *Entry) sendUpdate(l *wire.Link) {
	if m := e.store.UpdateFor(e.store.Revision() - 1); m != nil && e.settingsUsable() {
		_ = l.Send(&wire.Message{Settings: m})
	}
}

// answerPull sends a peer the update that it requested.
func (e *Entry) answerPull(l *wire.Link, p *wire.Pull) {
	if m := e.store.UpdateFor(p.Have); m != nil && e.settingsUsable() {
		_ = l.Send(&wire.Message{Settings: m})
	}
}

// applySettings updates the limits, servers and links according to the settings in force.
func (e *Entry) applySettings(now time.Time) {
	tree := e.store.Tree()
	e.grants = tree.Grants()
	e.fleetLimits = tree.EffectiveAt("", "", "")
	e.core.SetLimits(e.fleetLimits.QueueLimit, e.fleetLimits.RetryPercent, e.fleetLimits.StallAfter)
	listed := map[string]bool{}
	servers := tree.Servers()
	e.limitsByModel = e.modelLimits(tree, servers)
	for _, p := range servers {
		if p.Zone != e.cfg.Zone && len(servers) > smallFleet && !e.keepsLink(p) {
			continue
		}
		listed[p.Name] = true
		e.applyServer(p)
	}
	e.removalPending = false
	for name, a := range e.agents {
		if !listed[name] {
			e.removeServer(now, name, a)
		}
	}
}

// removeServer removes a server that is no longer in the settings, once this entry has
// no work in progress there. Until then the server is marked as leaving.
func (e *Entry) removeServer(now time.Time, name string, a *agentLink) {
	if s := e.core.View().Server(name); s != nil && s.OwnSlots() > 0 {
		e.core.View().SetLeaving(name, true)
		e.removalPending = true
		return
	}
	a.stop()
	delete(e.agents, name)
	e.perform(now, e.core.ServerDown(now, name))
	e.core.View().Remove(name)
}

func (e *Entry) modelLimits(tree *settings.Tree, servers []settings.PlacedServer) map[string]settings.Effective {
	out := map[string]settings.Effective{}
	for _, p := range servers {
		if p.Role != settings.RolePrefill || p.Zone != e.cfg.Zone {
			continue
		}
		for _, m := range p.Models {
			if _, ok := out[m]; !ok {
				out[m] = tree.EffectiveAt(p.Site, p.Pool, m)
			}
		}
	}
	return out
}

func (e *Entry) applyServer(p settings.PlacedServer) {
	info := placement.ServerConfig{
		Name: p.Name, Zone: p.Zone, Role: p.Role, Slots: p.Slots, LinkRate: float64(p.LinkRate),
	}
	if p.Role != settings.RoleService {
		e.core.View().Set(info)
	}
	a := e.agents[p.Name]
	if a != nil && a.addr == p.Agent {
		a.placed = p
		return
	}
	if a != nil {
		a.stop()
	}
	e.startAgentLink(p)
}

// upstreamLoop keeps a link to one control replica or relay open.
func (e *Entry) upstreamLoop() {
	delay := minRedialDelay
	for i := 0; e.ctx.Err() == nil && len(e.cfg.Upstream) > 0; i++ {
		addr := e.cfg.Upstream[i%len(e.cfg.Upstream)]
		l, err := e.dialer.Dial(e.ctx, addr, e.options())
		if err != nil {
			wait.For(e.ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		e.runUpstream(l)
	}
}

func (e *Entry) runUpstream(l *wire.Link) {
	event.LinkUp.Log(e.log, "peer", l.Peer.Name, "build", l.Peer.Build, "speaks", l.Version())
	e.mu.Lock()
	e.upstream = l
	_ = l.Send(&wire.Message{Pull: &wire.Pull{Have: e.store.Revision()}})
	e.mu.Unlock()
	err := l.Run(e.ctx, func(m *wire.Message) { e.handleUpstream(l, m) })
	e.mu.Lock()
	e.upstream = nil
	e.mu.Unlock()
	if e.ctx.Err() == nil {
		event.LinkDown.Log(e.log, "peer", l.Peer.Name, "why", fault.From(err))
		wait.For(e.ctx, minRedialDelay)
	}
}

func (e *Entry) handleUpstream(l *wire.Link, m *wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case m.Settings != nil:
		e.applyUpdate(clock.VM.Now(), l, m.Settings)
	case m.Heartbeat != nil:
		if m.Heartbeat.Revision > e.store.Revision() {
			_ = l.Send(&wire.Message{Pull: &wire.Pull{Have: e.store.Revision()}})
		}
	case m.Order != nil:
		e.forwardOrder(m)
	case m.Leaving != nil:
		e.setLeaving(m.Leaving.Servers)
	case m.Zones != nil:
		e.handleZones(m)
	case m.Lent != nil:
		e.applyGrants(m.Lent)
	}
}

// serveDownstream runs the link of an entry that uses this one as its relay.
func (e *Entry) serveDownstream(l *wire.Link) {
	e.mu.Lock()
	e.downstream[l] = true
	_ = l.Send(e.leavingMessage())
	e.mu.Unlock()
	_ = l.Run(e.ctx, func(m *wire.Message) { e.handleDownstream(l, m) })
	e.mu.Lock()
	delete(e.downstream, l)
	e.mu.Unlock()
}

func (e *Entry) handleDownstream(l *wire.Link, m *wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case m.Pull != nil:
		e.answerPull(l, m.Pull)
	case m.Heartbeat != nil && m.Heartbeat.Revision < e.revisionInForce():
		e.answerPull(l, &wire.Pull{Have: m.Heartbeat.Revision})
	case m.Ordered != nil && e.upstream != nil:
		_ = e.upstream.Send(m)
	case m.Shares != nil:
		e.grantShares(clock.VM.Now(), l, m.Shares)
	}
}
