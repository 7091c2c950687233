package control

import (
	"cmp"
	"slices"

	"github.com/ledgepin/ledgepin/demand"
)

// While requests of the same urgency wait at several gateways, capacity is assigned to them by
// position. The gateways of a replica take turns: one with a new waiting request goes to the
// end, and so does one that had a request placed or rejected. The replicas' gateways alternate.
// If two replicas see different numbers, two requests have the same position, and the engine's
// own reservation decides.

// setDemand sets what the callers of a gateway request. Callers hold h.mu.
func (h *hub) setDemand(g *gatewayState, list []demand.Class) {
	turns := map[demand.Key]int{}
	for _, c := range list {
		if c.Waiting == 0 {
			continue
		}
		k := c.Key()
		turn, waited := g.turns[k]
		if !waited || c.Waiting < demand.Find(g.demand, k).Waiting {
			h.lastTurn++
			turn = h.lastTurn
		}
		turns[k] = turn
	}
	g.demand, g.turns, h.demandChanged = list, turns, true
}

// sumDemand adds up the demand of this replica's gateways if it has changed. Callers hold h.mu.
func (h *hub) sumDemand() {
	if !h.demandChanged {
		return
	}
	h.demandChanged = false
	h.ownLoads.demand = demand.Total(func(yield func([]demand.Class) bool) {
		for _, g := range h.gateways {
			if !yield(g.demand) {
				return
			}
		}
	})
}

// totalDemand returns what the callers of all gateways request. Callers hold h.mu.
func (h *hub) totalDemand() []demand.Class {
	h.sumDemand()
	out := h.ownLoads.demand
	for _, s := range h.peerLoads {
		out = demand.Add(out, s.demand)
	}
	return out
}

// demandTotals returns what the callers of all gateways request, by service and urgency.
func (h *hub) demandTotals() []demand.Class {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totalDemand()
}

// demandShares is what gateways receive about the demand of the others.
type demandShares struct {
	total []demand.Class
	// before is the number of waiting requests of this replica's gateways whose turn comes
	// before that of a gateway, for each class of total; -1 where the gateway has none.
	before map[*gatewayState][]int
	// peers holds the waiting requests at the gateways of each other replica.
	peers []peerDemand
}

// peerDemand is the demand of a replica's gateways; first reports that the replica comes before
// this one.
type peerDemand struct {
	list  []demand.Class
	first bool
}

// demandShares returns what the gateways receive about the demand of the others. Callers hold
// h.mu.
func (h *hub) demandShares() demandShares {
	out := demandShares{total: h.totalDemand(), before: map[*gatewayState][]int{}}
	for l, s := range h.peerLoads {
		out.peers = append(out.peers, peerDemand{list: s.demand, first: baseName(l.Peer.Name) < h.name})
	}
	type waiter struct {
		gateway       *gatewayState
		turn, waiting int
	}
	var list []waiter
	for i, c := range out.total {
		if c.Waiting == 0 {
			continue
		}
		k := c.Key()
		list = list[:0]
		for _, g := range h.gateways {
			if waiting := demand.Find(g.demand, k).Waiting; waiting > 0 {
				list = append(list, waiter{g, g.turns[k], waiting})
			}
		}
		slices.SortFunc(list, func(a, b waiter) int { return cmp.Compare(a.turn, b.turn) })
		before := 0
		for _, w := range list {
			if out.before[w.gateway] == nil {
				out.before[w.gateway] = slices.Repeat([]int{-1}, len(out.total))
			}
			out.before[w.gateway][i] = before
			before += w.waiting
		}
	}
	return out
}

// others returns the demand of all gateways but g. A gateway without a waiting request gets the
// number of those that a new one would be behind.
func (s demandShares) others(g *gatewayState) []demand.Class {
	out := demand.Subtract(s.total, g.demand)
	before, at := s.before[g], 0
	for i := range out {
		c := &out[i]
		if c.Waiting == 0 {
			continue
		}
		for s.total[at].Key() != c.Key() {
			at++
		}
		if before == nil || before[at] < 0 {
			c.Before = c.Waiting
			continue
		}
		c.Before = before[at]
		for _, p := range s.peers {
			// The replicas alternate, so a request at position n of this replica is behind n
			// requests of each other one.
			ahead := before[at]
			if p.first {
				ahead++
			}
			c.Before += min(demand.Find(p.list, c.Key()).Waiting, ahead)
		}
	}
	return out
}
