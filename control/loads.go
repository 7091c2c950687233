package control

import (
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// Each gateway sends its reservations to one replica, that of its own availability zone if
// there is one. Replicas exchange the sums of their own gateways, and send their gateways
// the sums of all others. So the traffic between zones grows with the number of engines and
// replicas, and not with that of gateways.

// loadSummary is what several gateways have reserved together.
type loadSummary struct {
	loads map[string]wire.EngineLoad
	// gateways is the number of gateways, queued that of their requests that wait for
	// capacity.
	gateways, queued int
	// requests is the number of requests of their callers in 1,000 s.
	requests int
	// demand is what their callers request, by service and urgency.
	demand []demand.Class
}

func newLoadSummary() loadSummary { return loadSummary{loads: map[string]wire.EngineLoad{}} }

// set stores the load of an engine, or removes it if it is empty.
func (s *loadSummary) set(load wire.EngineLoad) {
	if load == (wire.EngineLoad{Server: load.Server}) {
		delete(s.loads, load.Server)
	} else {
		s.loads[load.Server] = load
	}
}

// fullMessage returns the message with all loads.
func (s *loadSummary) fullMessage() *wire.Loads {
	out := &wire.Loads{Gateways: s.gateways, Queued: s.queued, Demand: s.demand, Requests: s.requests, Whole: true}
	for _, e := range s.loads {
		out.List = append(out.List, e)
	}
	return out
}

// equivalent reports whether a message differs from what was sent last in nothing but loads of
// engines and small changes of rates.
func (s *loadSummary) equivalent(m *wire.Loads) bool {
	return m.Gateways == s.gateways && m.Queued == s.queued && !demand.RateChanged(s.requests, m.Requests) && demand.Compare(s.demand, m.Demand) == demand.Same
}

// note stores what a message says beside the loads of engines.
func (s *loadSummary) note(m *wire.Loads) {
	s.gateways, s.queued, s.requests, s.demand = m.Gateways, m.Queued, m.Requests, m.Demand
}

// setLoads sets what a gateway has reserved.
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
	h.setRequests(g, m.Requests)
	h.setDemand(g, m.Demand)
	if started {
		// The gateway may have moved here from another replica, whose updates of its
		// servers have ended, so it gets all of them again.
		clear(g.servers)
		h.newGateways = append(h.newGateways, l)
	}
}

// setQueued sets the number of a gateway's requests that wait for capacity. Callers hold
// h.mu.
func (h *hub) setQueued(g *gatewayState, queued int) {
	h.ownLoads.queued += queued - g.queued
	g.queued = queued
}

// setRequests sets the number of requests of a gateway's callers in 1,000 s. Callers hold h.mu.
func (h *hub) setRequests(g *gatewayState, requests int) {
	requests = max(requests, 0)
	h.ownLoads.requests += requests - g.requests
	g.requests = requests
}

// setReserved replaces what a gateway has reserved. Callers hold h.mu.
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

// addOwnLoad adds to the load that the gateways of this replica have on an engine.
func (h *hub) addOwnLoad(id string, change wire.EngineLoad) {
	load := addLoad(h.ownLoads.loads[id], change, 1)
	load.Server = id
	h.ownLoads.set(load)
	h.changedOwnLoads[id] = true
	h.addTotalLoad(id, change)
}

// addTotalLoad adds to the total load of an engine.
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

// setPeerLoads sets what another replica reports about its gateways.
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
	s.gateways, s.queued, s.demand, s.requests = m.Gateways, m.Queued, m.Demand, max(m.Requests, 0)
	for _, e := range m.List {
		h.addTotalLoad(e.Server, addLoad(e, s.loads[e.Server], -1))
		s.set(e)
	}
}

// forgetPeer forgets everything that a replica has reported after its link has ended.
func (h *hub) forgetPeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subtractPeerLoads(l)
	delete(h.rosters, l)
	delete(h.peerUsageAt, l)
}

// subtractPeerLoads removes the loads of a replica from the totals. Callers hold h.mu.
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

// sendLoadsToPeers sends the other replicas what the gateways of this one have reserved,
// where it has changed. Callers hold h.mu.
func (h *hub) sendLoadsToPeers() {
	h.sumDemand()
	out := &wire.Loads{Gateways: h.ownLoads.gateways, Queued: h.ownLoads.queued, Demand: h.ownLoads.demand, Requests: h.ownLoads.requests}
	for id := range h.changedOwnLoads {
		load := h.ownLoads.loads[id]
		load.Server = id
		if needsUpdate(h.sentToPeers.loads[id], load) {
			out.List = append(out.List, load)
			h.sentToPeers.set(load)
		}
	}
	clear(h.changedOwnLoads)
	if len(out.List) == 0 && h.sentToPeers.equivalent(out) {
		return
	}
	h.sentToPeers.note(out)
	frame, err := wire.Marshal(&wire.Message{Loads: out})
	if err != nil {
		return
	}
	for l := range h.peers {
		_ = l.SendFrame(frame)
	}
}

// totals returns the number of all gateways whose loads are known, that of their requests that
// wait for capacity, and that of their callers' requests in 1,000 s. Callers hold h.mu.
func (h *hub) totals() (gateways, queued, requests int) {
	gateways, queued, requests = h.ownLoads.gateways, h.ownLoads.queued, h.ownLoads.requests
	for _, s := range h.peerLoads {
		gateways += s.gateways
		queued += s.queued
		requests += s.requests
	}
	return gateways, queued, requests
}

// sendLoads sends each gateway of this replica what the others have reserved on the engines
// that it works with, where it has changed. The load of an engine that is unknown here goes
// to all gateways: while the replicas are partitioned, it may have reported itself to other
// replicas and be in use. Callers hold h.mu.
func (h *hub) sendLoads() {
	gateways, queued, requests := h.totals()
	shares := h.demandShares()
	for l, g := range h.gateways {
		if !g.reportsLoads {
			continue
		}
		out := &wire.Loads{Gateways: gateways - 1, Queued: queued - g.queued, Requests: requests - g.requests, Demand: shares.others(g), Whole: g.needsAllLoads}
		if g.needsAllLoads {
			for id := range h.totalLoads {
				h.appendLoadUpdate(g, id, out)
			}
		} else {
			for id := range h.changedLoads {
				h.appendLoadUpdate(g, id, out)
			}
		}
		if g.needsAllLoads || len(out.List) > 0 || !g.sentLoads.equivalent(out) {
			g.needsAllLoads = false
			g.sentLoads.note(out)
			_ = l.Send(&wire.Message{Loads: out})
		}
	}
	clear(h.changedLoads)
}

// appendLoadUpdate adds the load of an engine to a gateway's update if the gateway needs
// it. Callers hold h.mu.
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

// heldTokensStep is the minimum change of the tokens held by runs that is sent. The number
// grows constantly, and a run generates about that many in a second.
const heldTokensStep = 1000

// goodDivisor determines which changes of the number of successful requests are sent: those
// above 1/goodDivisor of the number sent last.
const goodDivisor = 4

// needsUpdate reports whether a changed load has to be sent.
func needsUpdate(sent, load wire.EngineLoad) bool {
	sent.Server = load.Server // nothing was sent for an engine without reservations
	grown := load.Held - sent.Held
	if grown >= heldTokensStep || grown <= -heldTokensStep {
		return true
	}
	load.Held = sent.Held
	// The number of successful requests matters only in proportion to failed ones.
	if change := max(load.Good-sent.Good, sent.Good-load.Good); load.Bad == 0 || goodDivisor*change <= sent.Good {
		load.Good = sent.Good
	}
	return load != sent
}

// addLoad adds b to a, or subtracts it if sign is negative.
func addLoad(a, b wire.EngineLoad, sign int) wire.EngineLoad {
	a.Tokens += sign * b.Tokens
	a.Prefill += sign * b.Prefill
	a.Runs += sign * b.Runs
	a.Held += sign * b.Held
	a.Good += sign * b.Good
	a.Bad += sign * b.Bad
	a.Witnesses += sign * b.Witnesses
	a.Lost += sign * b.Lost
	return a
}
