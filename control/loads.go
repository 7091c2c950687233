package control

import (
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// Each gateway tells one replica what it has reserved, that of its own availability
// zone if there is one. Replicas tell each other the sums of their own gateways, and
// their own gateways the sums of all others. So what crosses zones grows with the
// engines and the replicas, and not with the gateways.

// share is what some gateways have reserved together.
type share struct {
	loads map[string]wire.EngineLoad
	// gateways is the number of them, queued that of their requests that wait for
	// room.
	gateways, queued int
}

func newShare() share { return share{loads: map[string]wire.EngineLoad{}} }

// note keeps the load at an engine, if there is any.
func (s *share) note(load wire.EngineLoad) {
	if load == (wire.EngineLoad{Server: load.Server}) {
		delete(s.loads, load.Server)
	} else {
		s.loads[load.Server] = load
	}
}

// message tells all of it.
func (s *share) message() *wire.Loads {
	out := &wire.Loads{Gateways: s.gateways, Queued: s.queued, Whole: true}
	for _, e := range s.loads {
		out.List = append(out.List, e)
	}
	return out
}

// setLoads takes what a gateway has reserved.
func (h *hub) setLoads(l *wire.Link, m *wire.Loads) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil {
		return
	}
	began := !g.sharing && !m.Ended
	h.reserve(g, m.List, !m.Ended)
	h.queue(g, m.Queued)
	if began {
		// It may have left another replica, whose report of the servers ends with that.
		clear(g.servers)
		h.joined = append(h.joined, l)
	}
}

// queue takes how many requests of a gateway wait for room. Callers hold the lock.
func (h *hub) queue(g *gatewayState, queued int) {
	h.own.queued += queued - g.queued
	g.queued = queued
}

// reserve puts what a gateway has reserved in the place of what it had before.
// Callers hold the lock.
func (h *hub) reserve(g *gatewayState, list []wire.EngineLoad, sharing bool) {
	if g.sharing != sharing {
		h.own.gateways += map[bool]int{true: 1, false: -1}[sharing]
		g.sharing, g.fresh, g.others = sharing, sharing, newShare()
		if sharing {
			h.ledger.AddGateway(g.link)
		} else {
			h.ledger.RemoveGateway(g.link)
			h.limits.broker.Forget(ratelimit.Requester{Name: g.id})
			g.limitsTold = false
		}
	}
	now := make(map[string]wire.EngineLoad, len(list))
	for _, e := range list {
		now[e.Server] = e
		if e != g.own[e.Server] {
			h.moveOwn(e.Server, addLoad(e, g.own[e.Server], -1))
		}
	}
	for id, e := range g.own {
		if _, still := now[id]; !still {
			h.moveOwn(id, addLoad(wire.EngineLoad{}, e, -1))
		}
	}
	g.own = now
}

// moveOwn adds to what the gateways of this replica have at an engine.
func (h *hub) moveOwn(id string, change wire.EngineLoad) {
	load := addLoad(h.own.loads[id], change, 1)
	load.Server = id
	h.own.note(load)
	h.movedOwn[id] = true
	h.move(id, change)
}

// move adds to the sum of an engine.
func (h *hub) move(id string, change wire.EngineLoad) {
	sum := addLoad(h.sum[id], change, 1)
	sum.Server = id
	if sum == (wire.EngineLoad{Server: id}) {
		delete(h.sum, id)
	} else {
		h.sum[id] = sum
	}
	h.moved[id] = true
}

// setPeerLoads takes what another replica tells of its gateways.
func (h *hub) setPeerLoads(l *wire.Link, m *wire.Loads) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Whole {
		h.dropPeer(l)
	}
	s := h.others[l]
	if s == nil {
		fresh := newShare()
		s = &fresh
		h.others[l] = s
	}
	s.gateways, s.queued = m.Gateways, m.Queued
	for _, e := range m.List {
		h.move(e.Server, addLoad(e, s.loads[e.Server], -1))
		s.note(e)
	}
}

// losePeer forgets what a replica told whose link has ended.
func (h *hub) losePeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropPeer(l)
	delete(h.rosters, l)
	delete(h.peerHeard, l)
}

// dropPeer takes what a replica has told out of the sums. Callers hold the lock.
func (h *hub) dropPeer(l *wire.Link) {
	s := h.others[l]
	if s == nil {
		return
	}
	delete(h.others, l)
	for id, e := range s.loads {
		h.move(id, addLoad(wire.EngineLoad{}, e, -1))
	}
}

// tellPeers tells the other replicas what the gateways of this one have reserved,
// where that has changed. Callers hold the lock.
func (h *hub) tellPeers() {
	out := &wire.Loads{Gateways: h.own.gateways, Queued: h.own.queued}
	for id := range h.movedOwn {
		load := h.own.loads[id]
		load.Server = id
		if worthTelling(h.toldPeers.loads[id], load) {
			out.List = append(out.List, load)
			h.toldPeers.note(load)
		}
	}
	clear(h.movedOwn)
	if len(out.List) == 0 && out.Gateways == h.toldPeers.gateways && out.Queued == h.toldPeers.queued {
		return
	}
	h.toldPeers.gateways, h.toldPeers.queued = out.Gateways, out.Queued
	frame, err := wire.Marshal(&wire.Message{Loads: out})
	if err != nil {
		return
	}
	for l := range h.peers {
		_ = l.SendFrame(frame)
	}
}

// total returns the number of all gateways whose loads are known, and that of their
// requests that wait for room. Callers hold the lock.
func (h *hub) total() (gateways, queued int) {
	gateways, queued = h.own.gateways, h.own.queued
	for _, s := range h.others {
		gateways += s.gateways
		queued += s.queued
	}
	return gateways, queued
}

// tellLoads tells each gateway of this replica what the others have reserved at the
// engines that it works with, where that has changed. An engine that this replica has
// not heard of is told of to all: while the replicas are cut from each other, it may
// have reported itself to others, and so be in use. Callers hold the lock.
func (h *hub) tellLoads() {
	gateways, queued := h.total()
	for l, g := range h.gateways {
		if !g.sharing {
			continue
		}
		out := &wire.Loads{Gateways: gateways - 1, Queued: queued - g.queued, Whole: g.fresh}
		if g.fresh {
			for id := range h.sum {
				h.tellLoad(g, id, out)
			}
		} else {
			for id := range h.moved {
				h.tellLoad(g, id, out)
			}
		}
		if g.fresh || len(out.List) > 0 || out.Gateways != g.others.gateways || out.Queued != g.others.queued {
			g.fresh, g.others.gateways, g.others.queued = false, out.Gateways, out.Queued
			_ = l.Send(&wire.Message{Loads: out})
		}
	}
	clear(h.moved)
}

// tellLoad adds an engine to what a gateway is told, if it has to hear of it.
// Callers hold the lock.
func (h *hub) tellLoad(g *gatewayState, id string, out *wire.Loads) {
	_, works := g.servers[id]
	if _, known := h.servers.Get(id); known && !works {
		return
	}
	rest := addLoad(h.sum[id], g.own[id], -1)
	rest.Server = id
	if worthTelling(g.others.loads[id], rest) {
		out.List = append(out.List, rest)
		g.others.note(rest)
	}
}

// heldStep is the change of the tokens that runs have now from which on it is told:
// they grow all the time, and a run makes so many in a second.
const heldStep = 1000

// goodStep is the part of the requests that went well whose change is told.
const goodStep = 4

// worthTelling tells whether a load that has changed has to be told.
func worthTelling(told, load wire.EngineLoad) bool {
	told.Server = load.Server // nothing was told of an engine without reservations
	grown := load.Held - told.Held
	if grown >= heldStep || grown <= -heldStep {
		return true
	}
	load.Held = told.Held
	// What went well counts only against what failed, and as a share.
	if change := max(load.Good-told.Good, told.Good-load.Good); load.Bad == 0 || goodStep*change <= told.Good {
		load.Good = told.Good
	}
	return load != told
}

// addLoad adds or subtracts the numbers of a load.
func addLoad(a, b wire.EngineLoad, sign int) wire.EngineLoad {
	a.Tokens += sign * b.Tokens
	a.Prefill += sign * b.Prefill
	a.Runs += sign * b.Runs
	a.Held += sign * b.Held
	a.Good += sign * b.Good
	a.Bad += sign * b.Bad
	a.Witnesses += sign * b.Witnesses
	return a
}
