package control

import "github.com/ledgepin/ledgepin/wire"

// setLoads takes what a gateway has reserved.
func (h *hub) setLoads(l *wire.Link, m *wire.Loads) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		h.reserve(g, m.List, !m.Ended)
		h.queue(g, m.Queued)
	}
}

// queue takes how many requests of a gateway wait for room. Callers hold the lock.
func (h *hub) queue(g *gatewayState, queued int) {
	h.queued += queued - g.queued
	g.queued = queued
}

// reserve puts what a gateway has reserved in the place of what it had before.
// Callers hold the lock.
func (h *hub) reserve(g *gatewayState, list []wire.EngineLoad, sharing bool) {
	if g.sharing != sharing {
		h.sharing += map[bool]int{true: 1, false: -1}[sharing]
		g.sharing = sharing
	}
	now := make(map[string]wire.EngineLoad, len(list))
	for _, e := range list {
		now[e.Server] = e
		if e != g.own[e.Server] {
			h.move(e.Server, addLoad(e, g.own[e.Server], -1))
		}
	}
	for id, e := range g.own {
		if _, still := now[id]; !still {
			h.move(id, addLoad(wire.EngineLoad{}, e, -1))
		}
	}
	g.own = now
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

// tellLoads tells each gateway what the others have reserved at the engines that
// it works with, where that has changed. An engine that this replica has not
// heard of is told of to all: while the replicas are cut from each other, it may
// have reported itself to others, and so be in use. Callers hold the lock.
func (h *hub) tellLoads() {
	for l, g := range h.gateways {
		others := h.sharing
		if g.sharing {
			others--
		}
		out := &wire.Loads{Gateways: others, Queued: h.queued - g.queued}
		for id := range h.moved {
			_, works := g.servers[id]
			if _, known := h.servers.Get(id); known && !works {
				continue
			}
			rest := addLoad(h.sum[id], g.own[id], -1)
			rest.Server = id
			if worthTelling(g.others[id], rest) {
				out.List = append(out.List, rest)
				g.note(rest)
			}
		}
		if len(out.List) > 0 || others != g.othersOf || out.Queued != g.othersQueued {
			g.othersOf, g.othersQueued = others, out.Queued
			_ = l.Send(&wire.Message{Loads: out})
		}
	}
	clear(h.moved)
}

// note keeps what a gateway was told of the others' reservations at an engine, if
// there are any.
func (g *gatewayState) note(load wire.EngineLoad) {
	if load == (wire.EngineLoad{Server: load.Server}) {
		delete(g.others, load.Server)
	} else {
		g.others[load.Server] = load
	}
}

// heldStep is the change of the tokens that runs have now from which on a gateway
// is told of it: they grow all the time, and a run makes so many in a second.
const heldStep = 1000

// worthTelling tells whether a gateway has to hear of a load that has changed.
func worthTelling(told, load wire.EngineLoad) bool {
	told.Server = load.Server // nothing was told of an engine without reservations
	grown := load.Held - told.Held
	if grown >= heldStep || grown <= -heldStep {
		return true
	}
	load.Held = told.Held
	return load != told
}

// addLoad adds or subtracts the numbers of a load.
func addLoad(a, b wire.EngineLoad, sign int) wire.EngineLoad {
	a.Tokens += sign * b.Tokens
	a.Prefill += sign * b.Prefill
	a.Runs += sign * b.Runs
	a.Held += sign * b.Held
	return a
}
