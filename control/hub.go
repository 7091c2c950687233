package control

import (
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/subset"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of the hub.
const (
	// serverKeep is how long a server that says nothing stays listed.
	serverKeep = 4500 * time.Millisecond
	// aliveEvery is the time between two tellings of which servers have reported
	// themselves, which keep those listed that have nothing new to say.
	aliveEvery = time.Second
	loadsEvery = 50 * time.Millisecond
	// passEvery is the time between two tellings of reports with nothing new to
	// the other replicas.
	passEvery = 100 * time.Millisecond
)

// hub holds the soft state that replicas give to gateways: which backend
// servers are there, what other gateways have reserved, and the newest routing
// table. It has a lock of its own, so that a disk that stalls holds up neither
// the word of a leaving server nor a table that is committed.
type hub struct {
	mu       sync.Mutex
	servers  *registry.Registry
	gateways map[*wire.Link]*gatewayState
	peers    map[*wire.Link]bool // links that other replicas have opened
	table    *route.Table
	replicas []string
	leader   string
	away     map[string]awayEngine
	aliveAt  time.Time
	loadsAt  time.Time
	passAt   time.Time
	// joined are gateways that have not been told their part of the servers;
	// counted tells that all have been told how many gateways there are.
	joined  []*wire.Link
	counted bool
	// waiting are reports with nothing new that the other replicas get together.
	waiting []registry.Server
	// groups is the number of servers of each service and role that take
	// requests; regroupedAt is when gateways got their parts of them, which was
	// for the sizes in shared and a number of gateways.
	groups         map[group]int
	shared         map[group]int
	sharedGateways int
	regroupedAt    time.Time
	// sum is what all gateways have reserved, by engine; moved are the engines
	// whose sum has changed since the gateways were told.
	sum   map[string]wire.EngineLoad
	moved map[string]bool
	// sharing is the number of gateways that tell this replica what they
	// reserve, queued that of their requests that wait for room.
	sharing, queued int
	// changed tells that servers have changed since they were kept.
	changed bool
}

// gatewayState is what the hub knows of one gateway.
type gatewayState struct {
	key       subset.Key
	told      uint64
	confirmed bool
	// servers are those that the gateway works with, as it was told of them.
	servers map[string]registry.Server
	// sharing tells that the gateway tells this replica what it reserves, which
	// is own; others is what it was told that the others do, for so many of them.
	sharing     bool
	own, others map[string]wire.EngineLoad
	othersOf    int
	// queued are the gateway's requests that wait for room, othersQueued those of
	// the others as it was told.
	queued, othersQueued int
}

func newHub() *hub {
	return &hub{
		servers: registry.New(serverKeep), gateways: map[*wire.Link]*gatewayState{}, peers: map[*wire.Link]bool{}, away: map[string]awayEngine{},
		groups: map[group]int{}, sum: map[string]wire.EngineLoad{}, moved: map[string]bool{},
	}
}

// addGateway starts telling a gateway. Its part of the servers goes out at the
// next tick, together with those of all that have joined until then: they come
// by hundreds after a loss of power.
func (h *hub) addGateway(l *wire.Link, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gateways[l] = &gatewayState{
		key: subset.KeyOf(l.Peer.Name), servers: map[string]registry.Server{}, own: map[string]wire.EngineLoad{}, others: map[string]wire.EngineLoad{},
	}
	h.joined = append(h.joined, l)
	_ = l.Send(&wire.Message{Servers: &wire.Servers{Away: h.awayList(time.Now())}})
	h.tellTable(l, h.gateways[l], fresh)
	h.counted = false
}

// welcome tells the gateways that have joined their parts of the servers.
func (h *hub) welcome(now time.Time) {
	if len(h.joined) == 0 {
		return
	}
	list := h.candidates(now)
	for _, l := range h.joined {
		if g := h.gateways[l]; g != nil {
			h.share(l, g, list)
		}
	}
	h.joined = nil
}

func (h *hub) removeGateway(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		h.reserve(g, nil, false)
		h.queue(g, 0)
	}
	delete(h.gateways, l)
	h.counted = false
}

// addPeer starts telling a replica that has opened a link.
func (h *hub) addPeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[l] = true
	_ = l.Send(&wire.Message{Replicas: &wire.Replicas{Addresses: h.replicas, Gateways: len(h.gateways), Leader: h.leader}})
	_ = l.Send(&wire.Message{Servers: &wire.Servers{List: h.servers.List(time.Now())}})
}

func (h *hub) removePeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, l)
}

func (h *hub) toGateways(m *wire.Message) {
	frame, err := wire.Marshal(m)
	if err != nil {
		return
	}
	for l := range h.gateways {
		_ = l.SendFrame(frame)
	}
}

// setTable takes a committed table.
func (h *hub) setTable(t *route.Table, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t == nil || h.table != nil && t.Version <= h.table.Version {
		return
	}
	lean := *t
	lean.Source = nil
	lean.Index()
	h.table = &lean
	frame, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Table: h.table, Version: lean.Version, Confirmed: fresh}})
	if err != nil {
		return
	}
	for l, g := range h.gateways {
		_ = l.SendFrame(frame)
		g.told, g.confirmed = lean.Version, fresh
	}
}

// tellTable sends the table to a gateway that lacks it, or that has not heard
// yet that it is the newest. Callers hold the lock.
func (h *hub) tellTable(l *wire.Link, g *gatewayState, fresh bool) {
	if h.table == nil || g.told == h.table.Version && (g.confirmed || !fresh) {
		return
	}
	m := &wire.Routes{Version: h.table.Version, Confirmed: fresh}
	if g.told < h.table.Version {
		m.Table = h.table
	}
	g.told, g.confirmed = h.table.Version, fresh
	_ = l.Send(&wire.Message{Routes: m})
}

// tellReplicas tells all gateways and replicas where the replicas are.
func (h *hub) tellReplicas(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas = addresses
	h.sendReplicas()
}

// setLeader takes which replica leads, and tells it on if it is news.
func (h *hub) setLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == "" || address == h.leader {
		return
	}
	h.leader = address
	h.sendReplicas()
}

func (h *hub) sendReplicas() {
	m := &wire.Message{Replicas: &wire.Replicas{Addresses: h.replicas, Gateways: len(h.gateways), Leader: h.leader}}
	h.toGateways(m)
	for l := range h.peers {
		_ = l.Send(m)
	}
}

// tick does what is due by time.
func (h *hub) tick(now time.Time, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l, g := range h.gateways {
		h.tellTable(l, g, fresh)
	}
	h.welcome(now)
	if !h.counted {
		h.counted = true
		h.sendReplicas()
	}
	if now.Sub(h.passAt) >= passEvery {
		h.passAt = now
		h.passOn()
	}
	if now.Sub(h.aliveAt) >= aliveEvery {
		h.tellAlive(now)
		h.aliveAt = now
	}
	if now.Sub(h.loadsAt) >= loadsEvery {
		h.loadsAt = now
		h.tellLoads()
	}
}

// beat shows life on the links of gateways and replicas.
func (h *hub) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := &wire.Message{Heartbeat: &wire.Heartbeat{}}
	h.toGateways(m)
	for l := range h.peers {
		_ = l.Send(m)
	}
}

// list returns the servers for the dump.
func (h *hub) list() []registry.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.List(time.Now())
}
