package quota

import (
	"maps"
	"time"
)

// peer is what a ledger knows of another replica, since that has started.
type peer struct {
	// own is what was used at its gateways.
	own map[string]int
	// heard is when it has told something last. After a silence, what was held up comes all
	// at once until catchUntil; base is what was known to be used when that began.
	heard, catchUntil time.Time
	base              map[string]float64
}

// Times of a cut between two replicas.
const (
	// silentPeer is the silence after which what comes next was held up: two tellings.
	silentPeer = 2 * tellWithin
	// mostPeers bounds the starts of other replicas that are known.
	mostPeers = 32
)

// ApplyPeerUpdate takes what another replica tells.
func (l *Ledger[K]) ApplyPeerUpdate(now time.Time, u *UsageUpdate) {
	p := l.peers[u.Start]
	if !u.Whole {
		if p == nil {
			l.count(now, u.Used)
			return
		}
		l.hear(now, p, u.Used)
		return
	}
	if p == nil {
		l.limiter.MergeUsage(now, u.Used)
	} else {
		l.missed(now, p, u)
	}
	if len(l.peers) >= mostPeers {
		clear(l.peers)
	}
	l.peers[u.Start] = &peer{own: cloned(u.Own), heard: now}
}

func cloned(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return maps.Clone(m)
}

// hear counts what another replica has used since it told last. After a silence that is
// seconds of use at once, most of which has run off.
func (l *Ledger[K]) hear(now time.Time, p *peer, used map[string]int) {
	if now.Sub(p.heard) > silentPeer {
		p.catchUntil, p.base = now.Add(heldUp), l.limiter.usedNow(now)
	}
	p.heard = now
	for name, size := range used {
		p.own[name] += size
	}
	if now.Before(p.catchUntil) {
		l.countLate(l.limiter.rejoin(now, used, p.base))
		return
	}
	l.count(now, used)
}

// missed counts what was used at the gateways of another replica while it was cut off.
func (l *Ledger[K]) missed(now time.Time, p *peer, u *UsageUpdate) {
	missed := map[string]int{}
	for name, size := range u.Own {
		missed[name] = size - p.own[name]
	}
	base := l.limiter.usedNow(now)
	for name, level := range l.limiter.inPart(u.Used) {
		base[name] = max(base[name], level)
	}
	l.countLate(l.limiter.rejoin(now, missed, base))
}

// countLate adds what has not run off to what gateways are told.
func (l *Ledger[K]) countLate(used map[string]int) {
	for name, size := range used {
		l.all.used[name] += size
	}
}
