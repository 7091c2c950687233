package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of links to control.
const (
	redialInterval    = 60 * time.Millisecond
	linkIdleTimeout   = 1500 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	// loadsInterval is the minimum time between two updates of this gateway's reservations.
	loadsInterval = 40 * time.Millisecond
)

// links keeps a link to every control replica, so that a report received by any of them reaches
// this gateway.
type links struct {
	g      *Gateway
	mu     sync.Mutex
	dialer wire.Dialer
	// peers are the replicas by link address.
	peers map[string]*peer
	// seeds and members are the addresses to connect to.
	seeds, members []string
	// gateways is the number of gateways that each replica sees, and peakGateways the recent
	// maximum: a partitioned gateway must not take over the shares of those that it no longer sees.
	gateways     map[string]int
	peakGateways int
	peakAt       time.Time
	// partitioned are the replicas without a link to most of the others.
	partitioned map[string]bool
	// rosters are the servers that each replica has reported as ready.
	rosters map[string]*registry.Roster
	// hub is the replica with which this gateway shares its state, others what was last received
	// about the other gateways.
	hub    string
	others otherGateways
	// demandExpired is set while what others reports about waiting requests is outdated.
	demandExpired bool
	leader        string
	// limitShares are the shares of the limits received from the replica limitSharesFrom.
	limitShares     quota.Share
	limitSharesFrom string
	// usageReceived is closed when a replica has first reported the usage of limits.
	usageReceived chan struct{}
	// pendingTable is a table that no replica has confirmed yet.
	pendingTable *route.Table
	// lastTick is when loop last ran, resumedAt when a suspension of this process was detected.
	// current is closed once a replica has sent the current state since then; nil if no suspension
	// is being handled.
	lastTick, resumedAt time.Time
	current             chan struct{}
	// startedAt is when the gateway started, missingTableLoggedAt when it last logged that it has
	// no table.
	startedAt, missingTableLoggedAt time.Time
}

type peer struct {
	stop context.CancelFunc
	link *wire.Link
	// dialedAt is when the link was dialed, openedAt when it opened, and lastReceived when the
	// replica last sent a message.
	dialedAt, openedAt, lastReceived time.Time
	// failures is the number of failed attempts to open the link since it was last open, and
	// dialError the last of them.
	failures  int
	dialError error
	// announced is what the replica has sent about the table over the link.
	announced tableAnnouncement
}

func newLinks(g *Gateway) *links {
	l := &links{g: g, peers: map[string]*peer{}, gateways: map[string]int{}, partitioned: map[string]bool{}, rosters: map[string]*registry.Roster{}, usageReceived: make(chan struct{}), startedAt: g.clock.Now()}
	l.missingTableLoggedAt = l.startedAt
	l.dialer.Log = g.log
	g.wg.Go(l.loop)
	return l
}

// setSeeds sets the seeds from the settings.
func (l *links) setSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
	l.syncPeers()
}

// syncPeers keeps a peer for each address to connect to. The caller holds l.mu.
func (l *links) syncPeers() {
	for _, a := range append(slices.Clone(l.seeds), l.members...) {
		if l.peers[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.g.ctx)
		p := &peer{stop: cancel}
		l.peers[a] = p
		l.g.wg.Go(func() { l.run(ctx, a, p) })
	}
	for a, p := range l.peers {
		if p.link == nil && !slices.Contains(l.seeds, a) && !slices.Contains(l.members, a) {
			p.stop()
			delete(l.peers, a)
		}
	}
}

func (l *links) options() wire.Options {
	return wire.Options{Token: l.g.cfg.Token, Idle: linkIdleTimeout, Hello: func() wire.Hello {
		return wire.Hello{Name: l.g.cfg.Name, Role: wire.RoleGateway, Zone: l.g.cfg.Zone}
	}}
}

// run keeps the link to one replica.
func (l *links) run(ctx context.Context, address string, p *peer) {
	for ctx.Err() == nil {
		dialedAt := l.noteDial(p)
		link, err := l.dialer.Dial(ctx, address, l.options())
		if err == nil {
			l.setLink(address, p, link, dialedAt)
			event.LinkUp.Log(l.g.log, "peer", link.Peer.Name, "build", link.Peer.Build, "speaks", link.Version())
			err = link.Run(ctx, func(m *wire.Message) { l.handle(address, m) })
			l.setLink(address, p, nil, dialedAt)
			if ctx.Err() == nil {
				event.LinkDown.Log(l.g.log, "peer", link.Peer.Name, "why", err)
			}
		} else {
			l.noteDialError(p, err)
		}
		wait.For(ctx, redialInterval)
	}
}

// noteDial records that a link is being opened, and returns the time.
func (l *links) noteDial(p *peer) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.dialedAt = l.g.clock.Now()
	return p.dialedAt
}

// noteDialError records that a link could not be opened.
func (l *links) noteDialError(p *peer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.failures++
	p.dialError = err
}

// setLink records that the link to a replica, dialed at dialedAt, has opened; or that it has
// closed, if link is nil.
func (l *links) setLink(address string, p *peer, link *wire.Link, dialedAt time.Time) {
	l.mu.Lock()
	p.link, p.openedAt = link, l.g.clock.Now()
	p.dialedAt, p.lastReceived = dialedAt, p.openedAt
	p.failures, p.dialError, p.announced = 0, nil, tableAnnouncement{}
	if link != nil && l.current != nil && dialedAt.Before(l.resumedAt) {
		link.Close() // what it carried may predate the suspension
	}
	if link == nil {
		delete(l.gateways, address)
		delete(l.rosters, address)
		delete(l.partitioned, address)
	}
	l.updateOthers()
	l.mu.Unlock()
	if link == nil {
		l.g.origins.noteLinkDown(address)
	}
}

func (l *links) handle(address string, m *wire.Message) {
	l.noteReceived(address)
	if m.Routes != nil {
		l.noteAnnouncement(address, m.Routes)
		defer l.confirmCurrent(address)
	}
	switch {
	case m.Servers != nil:
		for _, s := range l.g.fleet.update(m.Servers, l.aliveServers(address, m.Servers)) {
			l.g.noteRestart(s)
		}
		l.g.fleet.beginRoleChanges(m.Servers.Away)
	case m.Cold != nil:
		l.g.fleet.renewLeases(m.Cold)
	case m.Evacuated != nil:
		l.g.updateEvacuated(m.Evacuated)
	case m.Routes != nil:
		l.updateRoutes(address, m.Routes)
	case m.Replicas != nil:
		l.mu.Lock()
		l.gateways[address] = m.Replicas.Gateways
		l.partitioned[address] = m.Replicas.Cut
		if len(m.Replicas.Addresses) > 0 {
			l.members = m.Replicas.Addresses
		}
		if m.Replicas.Leader != "" {
			l.leader = m.Replicas.Leader
		}
		l.syncPeers()
		l.updateOthers()
		l.mu.Unlock()
	case m.Use != nil:
		l.updateUsage(address, m.Use)
	case m.Contents != nil:
		l.g.contents.merge(m.Contents)
	case m.Survivals != nil:
		l.g.contents.mergeSurvivals(m.Survivals)
	case m.Limits != nil:
		l.updateLimits(address, m.Limits)
	case m.Origins != nil:
		l.handleOrigins(address, m.Origins)
	case m.Loads != nil:
		l.mu.Lock()
		l.updateLoads(address, m.Loads)
		l.updateOthers()
		l.mu.Unlock()
	}
}

func (l *links) noteReceived(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.lastReceived = l.g.clock.Now()
	}
}

// usageKnown reports whether a replica has reported the usage of limits.
func (l *links) usageKnown() bool {
	select {
	case <-l.usageReceived:
		return true
	default:
		return false
	}
}

// updateUsage applies a report on the usage of limits, if it is from the hub. No other message sets
// usageReceived: a replica that has just started sends others before it has a table and limits to
// report.
func (l *links) updateUsage(address string, u *quota.UsageUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != l.hub {
		return
	}
	if l.limitSharesFrom == "" {
		close(l.usageReceived)
	}
	l.limitSharesFrom = address
	l.limitShares = quota.Share{Connected: u.Together, Disconnected: u.Alone, Updated: l.g.clock.Now()}
	l.g.limits.setShare(l.limitShares)
	l.g.limits.update(u)
}

// connected reports whether the hub of this gateway has recently sent a message and has links to
// most of the other replicas.
func (l *links) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[l.hub]
	return p != nil && p.link != nil && !l.partitioned[l.hub] && !l.silent(l.hub)
}

// aliveServers returns the servers that have recently reported themselves according to a replica:
// all that it has reported as ready, except for those that it lists as silent.
func (l *links) aliveServers(address string, m *wire.Servers) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	roster := l.rosters[address]
	if roster == nil {
		roster = &registry.Roster{}
		l.rosters[address] = roster
	}
	roster.Update(m.List, m.Dropped)
	if !m.Alive {
		return nil
	}
	return roster.Except(m.Silent)
}

// updateRoutes applies a table. The first one must be confirmed as the newest; after that any
// committed table with a higher version is applied.
func (l *links) updateRoutes(address string, m *wire.Routes) {
	if m.Table != nil {
		m.Table.Index() // before another link's goroutine can use it
	}
	l.mu.Lock()
	if m.Table != nil && (l.pendingTable == nil || l.pendingTable.Version < m.Table.Version) {
		l.pendingTable = m.Table
	}
	t := l.pendingTable
	if m.Table == nil && (t == nil || t.Version < m.Version) {
		l.g.wg.Go(func() { l.fetchTable(address, m.Version) })
	}
	l.mu.Unlock()
	if t == nil {
		return
	}
	if l.g.table.Load() != nil || m.Confirmed && t.Version >= m.Version {
		l.g.setTable(t)
	}
}

// tableFetchDelay is how long to wait for a table that a replica has announced to arrive by itself,
// from a replica in the gateway's availability zone: a few one-way trips within the site.
const tableFetchDelay = 60 * time.Millisecond

// fetchTable requests an announced table from the replica at an address, unless it has arrived from
// elsewhere meanwhile and can be used.
func (l *links) fetchTable(address string, version uint64) {
	wait.For(l.g.ctx, tableFetchDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	have := uint64(0)
	if l.pendingTable != nil {
		have = l.pendingTable.Version
	}
	p := l.peers[address]
	if p != nil && p.announced.confirmed && l.g.table.Load() == nil {
		have = 0 // what has arrived is not confirmed, and this replica confirms its table only with it
	}
	if have >= version || p == nil || p.link == nil {
		return
	}
	_ = p.link.Send(&wire.Message{Routes: &wire.Routes{Version: have}})
}

// loop sends heartbeats and reservations.
func (l *links) loop() {
	var heartbeatAt time.Time
	wait.Every(l.g.ctx, l.g.clock, loadsInterval, func(now time.Time) {
		l.mu.Lock()
		l.detectSuspension(now)
		l.lastTick = now
		l.logMissingTable(now)
		if now.Sub(heartbeatAt) >= heartbeatInterval {
			heartbeatAt = now
			l.sendHeartbeats()
			if l.hub != "" {
				l.updateOthers()
			}
		}
		hub := l.hubLink(now)
		if l.demandExpired != l.expired(now) {
			l.updateOthers()
		}
		l.mu.Unlock()
		l.g.fleet.updateUrgency(now)
		l.g.fleet.updateTrend(now)
		l.sendLimits(now, hub)
		if hub == nil {
			return
		}
		l.sendLeaving(hub)
		if m := l.g.fleet.pendingUpdate(now); m != nil {
			_ = hub.Send(&wire.Message{Loads: m})
		}
		l.sendContents(hub)
		l.sendOrigins(hub)
		if used := l.g.limits.takeUnreported(now); used != nil {
			_ = hub.Send(&wire.Message{Use: &quota.UsageUpdate{Used: used}})
		}
	})
}

// sendContents reports the contents and parts of prompts under which servers have crashed to the hub.
func (l *links) sendContents(hub *wire.Link) {
	list, survivals := l.g.contents.unsent(hub)
	if hub.Version() < wire.PartsVersion {
		list, survivals = poison.WithoutParts(list), nil
	}
	if len(survivals) > 0 {
		_ = hub.Send(&wire.Message{Survivals: survivals})
	}
	if len(list) > 0 {
		_ = hub.Send(&wire.Message{Contents: list})
	}
}

// sendHeartbeats sends a heartbeat on all links. The caller holds l.mu.
func (l *links) sendHeartbeats() {
	for _, p := range l.peers {
		if p.link != nil {
			_ = p.link.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}})
		}
	}
}

// openPeers returns the addresses of the replicas with an open link.
func (l *links) openPeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for a, p := range l.peers {
		if p.link != nil {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.stop()
		if p.link != nil {
			p.link.Close()
		}
	}
}
