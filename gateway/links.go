package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
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
	// loadsEvery is the least time between two tellings of this gateway's
	// reservations.
	loadsInterval = 40 * time.Millisecond
)

// links keeps a link to every control replica, so that a report that any of them
// has taken reaches this gateway.
type links struct {
	g      *Gateway
	mu     sync.Mutex
	dialer wire.Dialer
	// peers are the replicas by link address.
	peers map[string]*peer
	// seeds and members are the addresses that are wanted.
	seeds, members []string
	// gateways is the number of gateways that each replica sees, and peak the
	// highest of late: a gateway that is cut off must not take the parts of
	// those that it does not see any more.
	gateways     map[string]int
	peakGateways int
	peakAt       time.Time
	// cut are the replicas that have no link to most of the others.
	partitioned map[string]bool
	// told are the servers that each replica has told of as ready.
	rosters map[string]*registry.Roster
	// hub is the replica that this gateway shares with, others what was told last
	// of the other gateways.
	hub    string
	others otherGateways
	leader string
	// parts are those of the limits that partsFrom, a replica, has told.
	limitShares     quota.Share
	limitSharesFrom string
	// toldUse is closed when a replica has told of the use of limits for the first time.
	usageReceived chan struct{}
	// waiting is a table that no replica has vouched for yet.
	pendingTable *route.Table
	// tickedAt is when this process did its part for the links last, wokeAt when it was
	// found to have stood still, and current is closed once a replica has told the newest
	// since then; nil if it did not stand still.
	lastTick, resumedAt time.Time
	current             chan struct{}
}

type peer struct {
	stop context.CancelFunc
	link *wire.Link
	// began is when the link began to open, since when it was open, and heard when the replica
	// last said something.
	dialedAt, openedAt, lastReceived time.Time
}

func newLinks(g *Gateway) *links {
	l := &links{g: g, peers: map[string]*peer{}, gateways: map[string]int{}, partitioned: map[string]bool{}, rosters: map[string]*registry.Roster{}, usageReceived: make(chan struct{})}
	l.dialer.Log = g.log
	g.wg.Go(l.loop)
	return l
}

// meet takes the seeds that the settings name.
func (l *links) setSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
	l.syncPeers()
}

// sync keeps a peer for each wanted address. Callers hold the lock.
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
		dialedAt := l.g.clock.Now()
		link, err := l.dialer.Dial(ctx, address, l.options())
		if err == nil {
			l.setLink(address, p, link, dialedAt)
			event.LinkUp.Log(l.g.log, "peer", link.Peer.Name, "build", link.Peer.Build, "speaks", link.Speaks())
			err = link.Run(ctx, func(m *wire.Message) { l.handle(address, m) })
			l.setLink(address, p, nil, dialedAt)
			if ctx.Err() == nil {
				event.LinkDown.Log(l.g.log, "peer", link.Peer.Name, "why", err)
			}
		}
		wait.For(ctx, redialInterval)
	}
}

// set takes that the link to a replica, which began to open at a time, is open, or has ended.
func (l *links) setLink(address string, p *peer, link *wire.Link, dialedAt time.Time) {
	l.mu.Lock()
	p.link, p.openedAt = link, l.g.clock.Now()
	p.dialedAt, p.lastReceived = dialedAt, p.openedAt
	if link != nil && l.current != nil && dialedAt.Before(l.resumedAt) {
		link.Close() // what came over it may be older than the stop
	}
	if link == nil {
		delete(l.gateways, address)
		delete(l.rosters, address)
		delete(l.partitioned, address)
	}
	l.updateOthers()
	l.mu.Unlock()
}

func (l *links) handle(address string, m *wire.Message) {
	l.noteReceived(address)
	if m.Routes != nil {
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
	case m.Limits != nil:
		l.updateLimits(address, m.Limits)
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

// hasToldUse tells whether a replica has told of the use of limits.
func (l *links) usageKnown() bool {
	select {
	case <-l.usageReceived:
		return true
	default:
		return false
	}
}

// use takes what the replica that this gateway shares with tells of the use of limits. Only
// that counts as being told: a replica that has just started says other things before it
// has a table and limits to tell of.
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

// inTouch tells whether this gateway shares with a replica that it has just heard and
// that has links to most of the others.
func (l *links) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[l.hub]
	return p != nil && p.link != nil && !l.partitioned[l.hub] && !l.silent(l.hub)
}

// alive returns the servers that a replica says have reported themselves of late: all
// that it has told of as ready, but for the exceptions that it names.
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

// routes takes a table. The first one must be vouched for as the newest; after
// that any that is committed and higher is taken.
func (l *links) updateRoutes(address string, m *wire.Routes) {
	if m.Table != nil {
		m.Table.Index() // before any other link can take it
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

// tableWait is how long a table that a replica has told of may take to come by itself,
// from a replica of the gateway's availability zone: some ways through the site.
const tableFetchDelay = 60 * time.Millisecond

// fetch asks the replica at an address for a table that it has told of, if the table
// has not come from elsewhere meanwhile.
func (l *links) fetchTable(address string, version uint64) {
	wait.For(l.g.ctx, tableFetchDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	have := uint64(0)
	if l.pendingTable != nil {
		have = l.pendingTable.Version
	}
	p := l.peers[address]
	if have >= version || p == nil || p.link == nil {
		return
	}
	_ = p.link.Send(&wire.Message{Routes: &wire.Routes{Version: have}})
}

// loop sends heartbeats and reservations.
func (l *links) loop() {
	var heartbeatAt time.Time
	wait.Each(l.g.ctx, l.g.clock, loadsInterval, func(now time.Time) {
		l.mu.Lock()
		l.detectSuspension(now)
		l.lastTick = now
		if now.Sub(heartbeatAt) >= heartbeatInterval {
			heartbeatAt = now
			l.sendHeartbeats()
		}
		hub := l.hubLink(now)
		l.mu.Unlock()
		l.sendLimits(now, hub)
		if hub == nil {
			return
		}
		l.sendLeaving(hub)
		if m := l.g.fleet.pendingUpdate(now); m != nil {
			_ = hub.Send(&wire.Message{Loads: m})
		}
		if list := l.g.contents.unsent(hub); list != nil {
			_ = hub.Send(&wire.Message{Contents: list})
		}
		if used := l.g.limits.takeUnreported(now); used != nil {
			_ = hub.Send(&wire.Message{Use: &quota.UsageUpdate{Used: used}})
		}
	})
}

// beat shows life on all links. Callers hold the lock.
func (l *links) sendHeartbeats() {
	for _, p := range l.peers {
		if p.link != nil {
			_ = p.link.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}})
		}
	}
}

// open returns the addresses of the replicas that are linked.
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
