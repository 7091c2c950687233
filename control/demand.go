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
	var sum []demand.Class
	for _, g := range h.gateways {
		sum = demand.Add(sum, g.demand)
	}
	h.ownLoads.demand = sum
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
	// before that of a gateway, by class.
	before map[*gatewayState]map[demand.Key]int
	// peers holds the waiting requests at the gateways of each other replica, and whether that
	// replica comes before this one.
	peers []peerDemand
}

type peerDemand struct {
	list  []demand.Class
	first bool
}

// demandShares returns what the gateways receive about the demand of the others. Callers hold
// h.mu.
func (h *hub) demandShares() demandShares {
	out := demandShares{total: h.totalDemand(), before: map[*gatewayState]map[demand.Key]int{}}
	for l, s := range h.peerLoads {
		out.peers = append(out.peers, peerDemand{list: s.demand, first: baseName(l.Peer.Name) < h.name})
	}
	for _, c := range out.total {
		if c.Waiting == 0 {
			continue
		}
		k := c.Key()
		var waiting []*gatewayState
		for _, g := range h.gateways {
			if _, ok := g.turns[k]; ok {
				waiting = append(waiting, g)
			}
		}
		slices.SortFunc(waiting, func(a, b *gatewayState) int { return cmp.Compare(a.turns[k], b.turns[k]) })
		before := 0
		for _, g := range waiting {
			if out.before[g] == nil {
				out.before[g] = map[demand.Key]int{}
			}
			out.before[g][k] = before
			before += demand.Find(g.demand, k).Waiting
		}
	}
	return out
}

// others returns the demand of all gateways but g. A gateway without a waiting request gets the
// number of those that a new one would be behind.
func (s demandShares) others(g *gatewayState) []demand.Class {
	out := demand.Subtract(s.total, g.demand)
	for i, c := range out {
		k := c.Key()
		turn, waits := s.before[g][k]
		if !waits {
			out[i].Before = c.Waiting
			continue
		}
		out[i].Before = turn
		for _, p := range s.peers {
			// The replicas alternate, so a request at position n of this replica is behind n
			// requests of each other one.
			ahead := turn
			if p.first {
				ahead++
			}
			out[i].Before += min(demand.Find(p.list, k).Waiting, ahead)
		}
	}
	return out
}
