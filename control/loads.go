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
type loadSummary struct {
	loads map[string]wire.EngineLoad
	// gateways is the number of them, queued that of their requests that wait for
	// room.
	gateways, queued int
}

func newLoadSummary() loadSummary { return loadSummary{loads: map[string]wire.EngineLoad{}} }

// note keeps the load at an engine, if there is any.
func (s *loadSummary) set(load wire.EngineLoad) {
	if load == (wire.EngineLoad{Server: load.Server}) {
		delete(s.loads, load.Server)
	} else {
		s.loads[load.Server] = load
	}
}

// message tells all of it.
func (s *loadSummary) fullMessage() *wire.Loads {
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
	started := !g.reportsLoads && !m.Ended
	h.setReserved(g, m.List, !m.Ended)
	h.setQueued(g, m.Queued)
	if started {
		// It may have left another replica, whose report of the servers ends with that.
		clear(g.servers)
		h.newGateways = append(h.newGateways, l)
	}
}

// queue takes how many requests of a gateway wait for room. Callers hold the lock.
func (h *hub) setQueued(g *gatewayState, queued int) {
	h.ownLoads.queued += queued - g.queued
	g.queued = queued
}

// reserve puts what a gateway has reserved in the place of what it had before.
// Callers hold the lock.
func (h *hub) setReserved(g *gatewayState, list []wire.EngineLoad, reportsLoads bool) {
	if g.reportsLoads != reportsLoads {
		h.ownLoads.gateways += map[bool]int{true: 1, false: -1}[reportsLoads]
		g.reportsLoads, g.needsAllLoads, g.sentLoads = reportsLoads, reportsLoads, newLoadSummary()
		if reportsLoads {
			h.ledger.AddGateway(g.link)
		} else {
			h.ledger.RemoveGateway(g.link)
			h.limits.broker.Forget(ratelimit.Requester{Name: g.id})
			g.limitsSent = false
		}
	}
	reserved := make(map[string]wire.EngineLoad, len(list))
	for _, e := range list {
		reserved[e.Server] = e
		if e != g.reserved[e.Server] {
			h.addOwnLoad(e.Server, addLoad(e, g.reserved[e.Server], -1))
		}
	}
	for id, e := range g.reserved {
		if _, kept := reserved[id]; !kept {
			h.addOwnLoad(id, addLoad(wire.EngineLoad{}, e, -1))
		}
	}
	g.reserved = reserved
}

// moveOwn adds to what the gateways of this replica have at an engine.
func (h *hub) addOwnLoad(id string, change wire.EngineLoad) {
	load := addLoad(h.ownLoads.loads[id], change, 1)
	load.Server = id
	h.ownLoads.set(load)
	h.changedOwnLoads[id] = true
	h.addTotalLoad(id, change)
}

// move adds to the sum of an engine.
func (h *hub) addTotalLoad(id string, change wire.EngineLoad) {
	sum := addLoad(h.totalLoads[id], change, 1)
	sum.Server = id
	if sum == (wire.EngineLoad{Server: id}) {
		delete(h.totalLoads, id)
	} else {
		h.totalLoads[id] = sum
	}
	h.changedLoads[id] = true
}

// setPeerLoads takes what another replica tells of its gateways.
func (h *hub) setPeerLoads(l *wire.Link, m *wire.Loads) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Whole {
		h.subtractPeerLoads(l)
	}
	s := h.peerLoads[l]
	if s == nil {
		fresh := newLoadSummary()
		s = &fresh
		h.peerLoads[l] = s
	}
	s.gateways, s.queued = m.Gateways, m.Queued
	for _, e := range m.List {
		h.addTotalLoad(e.Server, addLoad(e, s.loads[e.Server], -1))
		s.set(e)
	}
}

// losePeer forgets what a replica told whose link has ended.
func (h *hub) forgetPeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subtractPeerLoads(l)
	delete(h.rosters, l)
	delete(h.peerUsageAt, l)
}

// dropPeer takes what a replica has told out of the sums. Callers hold the lock.
func (h *hub) subtractPeerLoads(l *wire.Link) {
	s := h.peerLoads[l]
	if s == nil {
		return
	}
	delete(h.peerLoads, l)
	for id, e := range s.loads {
		h.addTotalLoad(id, addLoad(wire.EngineLoad{}, e, -1))
	}
}

// tellPeers tells the other replicas what the gateways of this one have reserved,
// where that has changed. Callers hold the lock.
func (h *hub) sendLoadsToPeers() {
	out := &wire.Loads{Gateways: h.ownLoads.gateways, Queued: h.ownLoads.queued}
	for id := range h.changedOwnLoads {
		load := h.ownLoads.loads[id]
		load.Server = id
		if needsUpdate(h.sentToPeers.loads[id], load) {
			out.List = append(out.List, load)
			h.sentToPeers.set(load)
		}
	}
	clear(h.changedOwnLoads)
	if len(out.List) == 0 && out.Gateways == h.sentToPeers.gateways && out.Queued == h.sentToPeers.queued {
		return
	}
	h.sentToPeers.gateways, h.sentToPeers.queued = out.Gateways, out.Queued
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
func (h *hub) totals() (gateways, queued int) {
	gateways, queued = h.ownLoads.gateways, h.ownLoads.queued
	for _, s := range h.peerLoads {
		gateways += s.gateways
		queued += s.queued
	}
	return gateways, queued
}

// tellLoads tells each gateway of this replica what the others have reserved at the
// engines that it works with, where that has changed. An engine that this replica has
// not heard of is told of to all: while the replicas are cut from each other, it may
// have reported itself to others, and so be in use. Callers hold the lock.
func (h *hub) sendLoads() {
	gateways, queued := h.totals()
	for l, g := range h.gateways {
		if !g.reportsLoads {
			continue
		}
		out := &wire.Loads{Gateways: gateways - 1, Queued: queued - g.queued, Whole: g.needsAllLoads}
		if g.needsAllLoads {
			for id := range h.totalLoads {
				h.appendLoadUpdate(g, id, out)
			}
		} else {
			for id := range h.changedLoads {
				h.appendLoadUpdate(g, id, out)
			}
		}
		if g.needsAllLoads || len(out.List) > 0 || out.Gateways != g.sentLoads.gateways || out.Queued != g.sentLoads.queued {
			g.needsAllLoads, g.sentLoads.gateways, g.sentLoads.queued = false, out.Gateways, out.Queued
			_ = l.Send(&wire.Message{Loads: out})
		}
	}
	clear(h.changedLoads)
}

// tellLoad adds an engine to what a gateway is told, if it has to hear of it.
// Callers hold the lock.
func (h *hub) appendLoadUpdate(g *gatewayState, id string, out *wire.Loads) {
	_, works := g.servers[id]
	if _, known := h.servers.Get(id); known && !works {
		return
	}
	others := addLoad(h.totalLoads[id], g.reserved[id], -1)
	others.Server = id
	if needsUpdate(g.sentLoads.loads[id], others) {
		out.List = append(out.List, others)
		g.sentLoads.set(others)
	}
}

// heldStep is the change of the tokens that runs have now from which on it is told:
// they grow all the time, and a run makes so many in a second.
const heldTokensStep = 1000

// goodStep is the part of the requests that went well whose change is told.
const goodDivisor = 4

// worthTelling tells whether a load that has changed has to be told.
func needsUpdate(sent, load wire.EngineLoad) bool {
	sent.Server = load.Server // nothing was told of an engine without reservations
	grown := load.Held - sent.Held
	if grown >= heldTokensStep || grown <= -heldTokensStep {
		return true
	}
	load.Held = sent.Held
	// What went well counts only against what failed, and as a share.
	if change := max(load.Good-sent.Good, sent.Good-load.Good); load.Bad == 0 || goodDivisor*change <= sent.Good {
		load.Good = sent.Good
	}
	return load != sent
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
