package gateway

import (
	"maps"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/wire"
)

// shares is what a replica tells of the other gateways.
type otherGateways struct {
	// from is the replica's address.
	from string
	// gateways is the number of those that it has heard.
	gateways int
	// queued is how many of their requests wait for room.
	queued int
	// loads are what they have reserved, by engine, and seen how their requests went
	// of late, by server.
	loads map[string]dispatch.Load
	seen  map[string]dispatch.Evidence
}

// takeLoads takes what a replica tells of other gateways; of their reservations
// those that have changed. What was told last stays until the replica that this
// gateway shares with now has told all. Callers hold the lock.
func (l *links) updateLoads(address string, m *wire.Loads) {
	if address != l.hub || l.others.from != address && !m.Whole {
		return
	}
	if m.Whole {
		l.others = otherGateways{from: address, loads: map[string]dispatch.Load{}, seen: map[string]dispatch.Evidence{}}
	}
	s := &l.others
	s.gateways, s.queued = m.Gateways, m.Queued
	for _, e := range m.List {
		load := dispatch.Load{Tokens: e.Tokens, Prefill: e.Prefill, Runs: e.Runs, Held: e.Held}
		if load == (dispatch.Load{}) {
			delete(s.loads, e.Server)
		} else {
			s.loads[e.Server] = load
		}
		seen := dispatch.Evidence{Good: e.Good, Bad: e.Bad, Gateways: e.Witnesses}
		if seen == (dispatch.Evidence{}) {
			delete(s.seen, e.Server)
		} else {
			s.seen[e.Server] = seen
		}
	}
}

// share tells the fleet how many gateways there are and what the others have
// reserved. Callers hold the lock.
func (l *links) updateOthers() {
	gateways := l.countGateways(l.g.clock.Now())
	l.g.fleet.setOthers(dispatch.OtherGateways{
		Gateways: gateways, Known: min(1+l.others.gateways, gateways), Queued: l.others.queued, Loads: maps.Clone(l.others.loads), Evidence: maps.Clone(l.others.seen),
	})
}

// Bounds of the number of gateways.
const (
	// leastGateways is assumed of a system whose gateways are not all known yet.
	minGateways  = 3
	peakDuration = 20 * time.Second
)

// count returns the number of gateways, as the highest that any replica has
// seen of late. Callers hold the lock.
func (l *links) countGateways(now time.Time) int {
	seen := minGateways
	for _, n := range l.gateways {
		seen = max(seen, n)
	}
	if seen >= l.peakGateways || now.Sub(l.peakAt) > peakDuration {
		l.peakGateways, l.peakAt = seen, now
	}
	return l.peakGateways
}

// hubLink returns the link over which reservations are shared. Callers hold the
// lock.
func (l *links) hubLink(now time.Time) *wire.Link {
	best := l.chooseHub(now)
	if best == "" {
		l.hub = ""
		return nil
	}
	if l.hub != best {
		if old := l.peers[l.hub]; old != nil && old.link != nil {
			_ = old.link.Send(&wire.Message{Loads: &wire.Loads{Ended: true}})
		}
		l.setHub(best)
	}
	return l.peers[best].link
}

// follow begins to share with a replica, which tells all servers anew. What it has told
// before does not count any more: it may have told nothing since of servers that are
// gone. Callers hold the lock.
func (l *links) setHub(address string) {
	l.hub = address
	delete(l.rosters, address)
	l.g.fleet.resendAll()
}

// chooseHub returns the replica that this gateway shares with: of those that have links
// to most of the others one of its own availability zone, or else the leader, or else
// any; one that is cut off only if there is no other. While the replicas are cut in two
// all gateways come together at the greater part that way. Of several it is that with
// the lowest address, so that gateways of a zone choose the same one. A replica of
// another zone is not chosen before hubWait. Callers hold the lock.
func (l *links) chooseHub(now time.Time) string {
	best, rank := "", -1
	for a, p := range l.peers {
		if p.link == nil {
			continue
		}
		r := l.hubRank(a, p.link.Peer.Zone)
		if r < bestRank && now.Sub(p.openedAt) < hubWait {
			continue
		}
		if r > rank || r == rank && a < best {
			best, rank = a, r
		}
	}
	return best
}

const (
	// hubWait is how long a link to a replica of another zone must have been open before
	// a gateway shares with it. After an outage the link to that of its own zone comes
	// within some tens of milliseconds of the others, and each replica that a gateway
	// begins to share with tells it all servers (25 KB at 3,000 servers).
	hubWait = 150 * time.Millisecond
	// bestRank is that of a replica of the gateway's own zone.
	bestRank = 4
)

// silentFor is the silence after which a replica is left for another one, before its link
// is given up: it shows life every 0.4 s, and a packet that is lost is sent again after 0.2 s.
const silenceTimeout = 700 * time.Millisecond

func (l *links) silent(address string) bool {
	p := l.peers[address]
	return p != nil && !p.lastReceived.IsZero() && l.g.clock.Since(p.lastReceived) > silenceTimeout
}

// hubRank tells how well a linked replica serves to share with; the highest is best.
func (l *links) hubRank(address, zone string) int {
	switch {
	case l.silent(address):
		return 0
	case l.partitioned[address]:
		return 1
	case zone == l.g.cfg.Zone:
		return bestRank
	case address == l.leader:
		return 3
	}
	return 2
}
