package quota

import (
	"maps"
	"time"
)

// peer is what a ledger knows of another replica, since that has started.
type peer struct {
	// own is what was used at its gateways.
	used map[string]int
	// heard is when it has told something last. After a silence, what was held up comes all
	// at once until catchUntil; base is what was known to be used when that began.
	updatedAt, catchUpUntil time.Time
	baseline                map[string]float64
}

// Times of a cut between two replicas.
const (
	// silentPeer is the silence after which what comes next was held up: two tellings.
	maxPeerSilence = 2 * maxUpdateInterval
	// mostPeers bounds the starts of other replicas that are known.
	maxPeers = 32
)

// ApplyPeerUpdate takes what another replica tells.
func (l *Ledger[K]) ApplyPeerUpdate(now time.Time, u *UsageUpdate) {
	p := l.peers[u.Start]
	if !u.Whole {
		if p == nil {
			l.chargeRemote(now, u.Used)
			return
		}
		l.applyDelta(now, p, u.Used)
		return
	}
	if p == nil {
		l.limiter.MergeUsage(now, u.Used)
	} else {
		l.applyMissed(now, p, u)
	}
	if len(l.peers) >= maxPeers {
		clear(l.peers)
	}
	l.peers[u.Start] = &peer{used: cloned(u.Own), updatedAt: now}
}

func cloned(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return maps.Clone(m)
}

// hear counts what another replica has used since it told last. After a silence that is
// seconds of use at once, most of which has run off.
func (l *Ledger[K]) applyDelta(now time.Time, p *peer, used map[string]int) {
	if now.Sub(p.updatedAt) > maxPeerSilence {
		p.catchUpUntil, p.baseline = now.Add(catchUpTime), l.limiter.connectedUsage(now)
	}
	p.updatedAt = now
	for name, size := range used {
		p.used[name] += size
	}
	if now.Before(p.catchUpUntil) {
		l.addToTotal(l.limiter.mergeAfterPartition(now, used, p.baseline))
		return
	}
	l.chargeRemote(now, used)
}

// missed counts what was used at the gateways of another replica while it was cut off.
func (l *Ledger[K]) applyMissed(now time.Time, p *peer, u *UsageUpdate) {
	missed := map[string]int{}
	for name, size := range u.Own {
		missed[name] = size - p.used[name]
	}
	baseline := l.limiter.connectedUsage(now)
	for name, used := range l.limiter.scaleToConnected(u.Used) {
		baseline[name] = max(baseline[name], used)
	}
	l.addToTotal(l.limiter.mergeAfterPartition(now, missed, baseline))
}

// countLate adds what has not run off to what gateways are told.
func (l *Ledger[K]) addToTotal(used map[string]int) {
	for name, size := range used {
		l.total.used[name] += size
	}
}
