package replay

import (
	"github.com/ledgepin/ledgepin/demand"
)

// setDemand notes what waits at a gateway and gives it a rank, as a replica of control does: a
// gateway with a new waiting request, or with one that was placed or refused, goes to the end.
func (s *simulation) setDemand(g *gateway) {
	list := s.ownDemand(g)
	turns := map[demand.Key]int{}
	for _, c := range list {
		if c.Waiting == 0 {
			continue
		}
		turn, waited := g.turns[c.Key()]
		if !waited || c.Waiting < demand.Find(g.demand, c.Key()).Waiting {
			s.lastTurn++
			turn = s.lastTurn
		}
		turns[c.Key()] = turn
	}
	g.demand, g.turns = list, turns
}

// othersDemand returns what a gateway receives about the demand of the others.
func (s *simulation) othersDemand(g *gateway, sum []demand.Class) []demand.Class {
	out := demand.Subtract(sum, g.demand)
	for i, c := range out {
		turn, waits := g.turns[c.Key()]
		for _, o := range s.gateways {
			if t, ok := o.turns[c.Key()]; o != g && ok && (!waits || t < turn) {
				out[i].Before += demand.Find(o.demand, c.Key()).Waiting
			}
		}
	}
	return out
}

// ownDemand returns what waits at a gateway, what has arrived there, and the retry times that it
// has stated.
func (s *simulation) ownDemand(g *gateway) []demand.Class {
	return g.promises.Report(s.now, demand.Add(g.arrivals.List(s.now), g.queue.Demand()))
}
