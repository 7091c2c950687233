package control

import (
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/roles"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of the hub.
const (
	// serverKeep is how long a server that says nothing stays listed.
	serverKeep = 4500 * time.Millisecond
	// aliveEvery is the time between two tellings of all servers with their
	// ages, which keep those listed that have nothing new to say.
	aliveEvery = time.Second
	loadsEvery = 50 * time.Millisecond
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
}

// awayEngine is an engine that is changing its role.
type awayEngine struct {
	role string
	// back is the soonest that it can be back, and given the latest that it is
	// waited for.
	back, given time.Time
}

// gatewayState is what the hub knows of one gateway.
type gatewayState struct {
	told      uint64
	confirmed bool
	// sharing tells that the gateway tells this replica what it reserves.
	sharing bool
	loads   []wire.EngineLoad
	changed bool
}

func newHub() *hub {
	return &hub{servers: registry.New(serverKeep), gateways: map[*wire.Link]*gatewayState{}, peers: map[*wire.Link]bool{}, away: map[string]awayEngine{}}
}

// addGateway starts telling a gateway.
func (h *hub) addGateway(l *wire.Link, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gateways[l] = &gatewayState{}
	_ = l.Send(&wire.Message{Servers: &wire.Servers{List: h.servers.List(time.Now())}})
	_ = l.Send(&wire.Message{Servers: &wire.Servers{Away: h.awayList(time.Now())}})
	h.tellTable(l, h.gateways[l], fresh)
	h.sendReplicas()
}

func (h *hub) removeGateway(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.gateways, l)
	h.sendReplicas()
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

// report takes a server's own word, and passes it on at once if it is new. The
// other replicas get every report, so that each of them can tell a gateway
// that starts. It returns false if nobody is there to be told.
func (h *hub) report(s registry.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.servers.Report(time.Now(), s)
	m := &wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}}
	for l := range h.peers {
		_ = l.Send(m)
	}
	if changed {
		h.toGateways(m)
	}
	return len(h.peers)+len(h.gateways) > 0
}

// take takes reports that another replica passes on.
func (h *hub) take(list []registry.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var news []registry.Server
	for _, s := range list {
		if h.servers.Report(now, s) {
			news = append(news, s)
		}
	}
	if len(news) > 0 {
		h.toGateways(&wire.Message{Servers: &wire.Servers{List: news}})
	}
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

// setLoads takes what a gateway has reserved.
func (h *hub) setLoads(l *wire.Link, m *wire.Loads) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		g.loads, g.sharing, g.changed = m.List, !m.Ended, true
	}
}

// tick does what is due by time.
func (h *hub) tick(now time.Time, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l, g := range h.gateways {
		h.tellTable(l, g, fresh)
	}
	if now.Sub(h.aliveAt) >= aliveEvery {
		h.aliveAt = now
		h.servers.Expire(now)
		h.toGateways(&wire.Message{Servers: &wire.Servers{List: h.servers.List(now)}})
	}
	if now.Sub(h.loadsAt) >= loadsEvery {
		h.loadsAt = now
		h.tellLoads()
	}
}

// tellLoads tells each gateway what the others have reserved, if anything has
// changed. Callers hold the lock.
func (h *hub) tellLoads() {
	changed, sharing := false, 0
	sum := map[string]wire.EngineLoad{}
	for _, g := range h.gateways {
		changed = changed || g.changed
		g.changed = false
		if g.sharing {
			sharing++
		}
		for _, e := range g.loads {
			sum[e.Server] = addLoad(sum[e.Server], e, 1)
		}
	}
	if !changed {
		return
	}
	for l, g := range h.gateways {
		rest := make(map[string]wire.EngineLoad, len(sum))
		for id, e := range sum {
			rest[id] = e
		}
		for _, e := range g.loads {
			rest[e.Server] = addLoad(rest[e.Server], e, -1)
		}
		out := &wire.Loads{Gateways: sharing}
		if g.sharing {
			out.Gateways--
		}
		for id, e := range rest {
			if e.Server = id; e.Tokens != 0 || e.Prefill != 0 || e.Runs != 0 {
				out.List = append(out.List, e)
			}
		}
		_ = l.Send(&wire.Message{Loads: out})
	}
}

func addLoad(a, b wire.EngineLoad, sign int) wire.EngineLoad {
	a.Tokens += sign * b.Tokens
	a.Prefill += sign * b.Prefill
	a.Runs += sign * b.Runs
	return a
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

// setAway tells all gateways that an engine changes its role.
func (h *hub) setAway(id, role string, least time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.away[id] = awayEngine{role: role, back: now.Add(least), given: now.Add(least + awayLimit)}
	h.toGateways(&wire.Message{Servers: &wire.Servers{Away: h.awayList(now)}})
}

// awayLimit is how long an engine is waited for beyond the least time: its runs
// come to their end first.
const awayLimit = 10 * time.Second

// awayList returns the engines that are away, and forgets those that are back
// or are not waited for any more. Callers hold the lock.
func (h *hub) awayList(now time.Time) []wire.Away {
	var out []wire.Away
	for id, a := range h.away {
		s, known := h.servers.Get(id)
		done := known && s.Role == a.role && now.After(a.back)
		if !known || done || now.After(a.given) {
			delete(h.away, id)
			continue
		}
		out = append(out, wire.Away{Server: id, Role: a.role, For: max(a.back.Sub(now), 0)})
	}
	return out
}

// engines returns the engines of each service for the planner, with what all
// gateways have reserved there.
func (h *hub) engines(now time.Time) map[string][]roles.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awayList(now)
	sum := map[string]wire.EngineLoad{}
	for _, g := range h.gateways {
		for _, e := range g.loads {
			sum[e.Server] = addLoad(sum[e.Server], e, 1)
		}
	}
	out := map[string][]roles.Engine{}
	for _, s := range h.servers.List(now) {
		if s.Role == "" || s.State != registry.Ready {
			continue
		}
		e := roles.Engine{ID: s.ID, Zone: s.Zone, Role: s.Role, Busy: sum[s.ID].Prefill > 0, Used: h.used(s.Service, sum[s.ID])}
		if a, ok := h.away[s.ID]; ok {
			e.Role, e.Away = a.role, true
		}
		out[s.Service] = append(out[s.Service], e)
	}
	return out
}

// used returns the share of an engine that its runs fill, by memory or by
// slots.
func (h *hub) used(service string, l wire.EngineLoad) float64 {
	if h.table == nil {
		return 0
	}
	for i := range h.table.Services {
		s := &h.table.Services[i]
		if s.Name != service || s.Engine == nil {
			continue
		}
		memory := float64(l.Tokens) / (dispatch.MemoryUse * float64(max(s.Engine.KVTokens, 1)))
		slots := float64(l.Runs) / float64(max(s.Engine.Slots, 1))
		return max(memory, slots)
	}
	return 0
}

// engineOf returns what the table says of the engines of a service.
func (h *hub) engineOf(service string) (route.Engine, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return route.Engine{}, false
	}
	for i := range h.table.Services {
		if s := &h.table.Services[i]; s.Name == service && s.Engine != nil {
			return *s.Engine, true
		}
	}
	return route.Engine{}, false
}

// get returns a server by the name of its incarnation.
func (h *hub) get(id string) (registry.Server, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.Get(id)
}
