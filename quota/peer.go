package quota

import (
	"maps"
	"time"
)

// peer is the ledger's state of one incarnation of another replica.
type peer struct {
	// used is what was used at the gateways of that replica.
	used map[string]int
	// updatedAt is when the last update was received from it. After a silence, delayed updates
	// arrive all at once until catchUpUntil; baseline is the usage that was known when that began.
	updatedAt, catchUpUntil time.Time
	baseline                map[string]float64
}

// Limits of the state of other replicas.
const (
	// maxPeerSilence is the silence after which the next updates count as delayed: two update
	// intervals.
	maxPeerSilence = 2 * maxUpdateInterval
	// maxPeers is the number of known incarnations of other replicas above which all are dropped.
	maxPeers = 32
)

// ApplyPeerUpdate counts the usage in an update from another replica.
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

// applyDelta counts what was used at another replica since its last update. After a silence the
// update holds the usage of several seconds, most of which has leaked away.
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

// applyMissed counts what was used at the gateways of another replica during a partition.
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

// addToTotal adds usage that hasn't leaked away to what is sent to gateways.
func (l *Ledger[K]) addToTotal(used map[string]int) {
	for name, size := range used {
		l.total.used[name] += size
	}
}
