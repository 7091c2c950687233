package gateway

import (
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/wire"
)

// shares is what one replica tells of other gateways.
type shares struct {
	// gateways is the number of those that it has heard.
	gateways int
	// queued is how many of their requests wait for room.
	queued int
	// loads are what they have reserved, by engine.
	loads map[string]dispatch.Load
}

// takeLoads takes what a replica tells of other gateways; of their reservations
// those that have changed. Callers hold the lock.
func (l *links) takeLoads(address string, m *wire.Loads) {
	s := l.told[address]
	if s == nil {
		s = &shares{loads: map[string]dispatch.Load{}}
		l.told[address] = s
	}
	s.gateways, s.queued = m.Gateways, m.Queued
	for _, e := range m.List {
		load := dispatch.Load{Tokens: e.Tokens, Prefill: e.Prefill, Runs: e.Runs, Held: e.Held}
		if load == (dispatch.Load{}) {
			delete(s.loads, e.Server)
		} else {
			s.loads[e.Server] = load
		}
	}
}

// share tells the fleet how many gateways there are and what the others have
// reserved. Gateways move from one replica to another, so each of them may be
// known to any. Callers hold the lock.
func (l *links) share() {
	sum := dispatch.Others{Gateways: l.count(time.Now()), Known: 1, Loads: map[string]dispatch.Load{}}
	for _, s := range l.told {
		sum.Known += s.gateways
		sum.Queued += s.queued
		for id, load := range s.loads {
			sum.Loads[id] = sum.Loads[id].Add(load)
		}
	}
	sum.Known = min(sum.Known, sum.Gateways)
	l.g.fleet.share(sum)
}

// Bounds of the number of gateways.
const (
	// leastGateways is assumed of a system whose gateways are not all known yet.
	leastGateways = 3
	peakFor       = 20 * time.Second
)

// count returns the number of gateways, as the highest that any replica has
// seen of late. Callers hold the lock.
func (l *links) count(now time.Time) int {
	seen := leastGateways
	for _, n := range l.gateways {
		seen = max(seen, n)
	}
	if seen >= l.peak || now.Sub(l.peakAt) > peakFor {
		l.peak, l.peakAt = seen, now
	}
	return l.peak
}

// hubLink returns the link over which reservations are shared: the leader's, or
// else that of the replica with the lowest address, so that most gateways use
// the same. Callers hold the lock.
func (l *links) hubLink() *wire.Link {
	best := ""
	for a, p := range l.peers {
		if p.link != nil && (best == "" || a < best) {
			best = a
		}
	}
	if p := l.peers[l.leader]; p != nil && p.link != nil {
		best = l.leader
	}
	if best == "" {
		l.hub = ""
		return nil
	}
	link := l.peers[best].link
	if l.hub != best {
		if old := l.peers[l.hub]; old != nil && old.link != nil {
			_ = old.link.Send(&wire.Message{Loads: &wire.Loads{Ended: true}})
		}
		l.hub = best
		l.g.fleet.touch()
	}
	return link
}
