package gateway

import (
	"maps"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/wire"
)

// otherGateways is what a replica reports about the other gateways.
type otherGateways struct {
	// from is the address of the replica.
	from string
	// receivedAt is when its last report was received.
	receivedAt time.Time
	// gateways is the number of gateways that it has received reports from.
	gateways int
	// queued is the number of their requests that wait for capacity.
	queued int
	// requests is the number of requests of their callers in 1,000 s.
	requests int
	// demand is what waits there and what has recently arrived, by service and urgency.
	demand []demand.Class
	// loads are their reservations by engine, and seen the recent outcomes of their requests by
	// server.
	loads map[string]dispatch.Load
	seen  map[string]dispatch.Evidence
}

// updateLoads applies a replica's report on other gateways, which has only the changed reservations
// unless it is complete. The earlier state stays until the current hub has sent a complete report.
// The caller holds l.mu.
func (l *links) updateLoads(address string, m *wire.Loads) {
	if address != l.hub || l.others.from != address && !m.Whole {
		return
	}
	if m.Whole {
		l.others = otherGateways{from: address, loads: map[string]dispatch.Load{}, seen: map[string]dispatch.Evidence{}}
	}
	s := &l.others
	s.receivedAt = l.g.clock.Now()
	s.gateways, s.queued, s.demand, s.requests = m.Gateways, m.Queued, m.Demand, m.Requests
	for _, e := range m.List {
		load := dispatch.Load{Tokens: e.Tokens, Prefill: e.Prefill, Runs: e.Runs, Held: e.Held}
		if load == (dispatch.Load{}) {
			delete(s.loads, e.Server)
		} else {
			s.loads[e.Server] = load
		}
		seen := dispatch.Evidence{Good: e.Good, Bad: e.Bad, Gateways: e.Witnesses, Lost: e.Lost}
		if seen == (dispatch.Evidence{}) {
			delete(s.seen, e.Server)
		} else {
			s.seen[e.Server] = seen
		}
	}
}

// updateOthers passes the number of gateways and the reservations of the others to the fleet. The
// caller holds l.mu.
func (l *links) updateOthers() {
	now := l.g.clock.Now()
	gateways, queued, list := l.countGateways(now), l.others.queued, l.others.demand
	if l.demandExpired = l.expired(now); l.demandExpired {
		queued, list = 0, nil
	}
	l.g.fleet.setOthers(dispatch.OtherGateways{
		Gateways: gateways, Known: min(1+l.others.gateways, gateways), Complete: l.seesAll(now), Queued: queued, Demand: list, Requests: l.others.requests, Loads: maps.Clone(l.others.loads), Evidence: maps.Clone(l.others.seen),
	})
}

// demandValidity is how long what a replica has reported about waiting requests is valid without a
// further message of it. Requests wait for some hundred milliseconds.
const demandValidity = time.Second

// expired reports whether what is known about the requests that wait at other gateways is outdated:
// the replica that has reported it is silent or gone, and no other has reported since. The caller
// holds l.mu.
func (l *links) expired(now time.Time) bool {
	if l.others.from == "" || now.Sub(l.others.receivedAt) <= demandValidity {
		return false
	}
	p := l.peers[l.others.from]
	return p == nil || p.link == nil || now.Sub(p.lastReceived) > demandValidity
}

// Bounds of the number of gateways.
const (
	// minGateways is assumed while not all gateways are known.
	minGateways = 3
	// peakDuration is how long the maximum that was seen remains in use.
	peakDuration = 20 * time.Second
	// gatherTime is how long the hub must have been linked before it is taken to see all gateways: when
	// all of a fleet start, their links open within it.
	gatherTime = 5 * time.Second
)

// seesAll reports whether the hub sees all gateways and has reported the loads of all that it sees. The
// caller holds l.mu.
func (l *links) seesAll(now time.Time) bool {
	p := l.peers[l.hub]
	if p == nil || p.link == nil || now.Sub(p.openedAt) < gatherTime || l.partitioned[l.hub] || l.silent(l.hub) {
		return false
	}
	for _, n := range l.gateways {
		if n > 1+l.others.gateways {
			return false
		}
	}
	return l.gateways[l.hub] > 0
}

// countGateways returns the number of gateways: the maximum that any replica has seen recently. The
// caller holds l.mu.
func (l *links) countGateways(now time.Time) int {
	seen := minGateways
	if l.seesAll(now) {
		seen = 1
	}
	for _, n := range l.gateways {
		seen = max(seen, n)
	}
	if seen >= l.peakGateways || now.Sub(l.peakAt) > peakDuration {
		l.peakGateways, l.peakAt = seen, now
	}
	return l.peakGateways
}

// hubLink returns the link over which reservations are shared. The caller holds l.mu.
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

// setHub makes a replica the hub. It then sends all servers again, and what it has sent before is
// dropped: since then it may have sent no update about servers that are gone. The caller holds
// l.mu.
func (l *links) setHub(address string) {
	l.hub = address
	delete(l.rosters, address)
	l.g.fleet.resendAll()
}

// chooseHub returns the hub, which is the replica with which this gateway shares its state. Among
// the replicas with links to most of the others it prefers one in its own availability zone, then
// the leader, then any; a partitioned replica is chosen only if there is no other. While the
// replicas are partitioned, all gateways thus use a hub on the larger side. Among equals it chooses
// the lowest address, so that the gateways of a zone choose the same replica. A replica in another
// zone is not chosen before hubWait. The caller holds l.mu.
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
	// hubWait is how long a link to a replica in another zone must have been open before that
	// replica can become the hub. After an outage the link to the replica in the gateway's own zone
	// opens within some tens of milliseconds of the others, and each new hub sends all servers (25
	// KB at 3,000 servers).
	hubWait = 150 * time.Millisecond
	// bestRank is the rank of a replica in the gateway's own zone.
	bestRank = 4
)

// silenceTimeout is the silence after which another replica becomes the hub, before the link is
// closed: a replica sends a heartbeat every 0.4 s, and a lost packet is retransmitted after 0.2 s.
const silenceTimeout = 700 * time.Millisecond

func (l *links) silent(address string) bool {
	p := l.peers[address]
	return p != nil && !p.lastReceived.IsZero() && l.g.clock.Since(p.lastReceived) > silenceTimeout
}

// hubRank returns how suitable a connected replica is as the hub; the highest is best.
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
