package quota

import (
	"maps"
	"time"
)

// A Ledger is what a replica of control knows of the use of limits. The gateways that
// share with it tell it what organisations have used. It adds that up, tells the other
// replicas the sums of its own gateways, and its gateways what all others have used. Only
// what was used since is told, so that nothing that was used is forgotten when a gateway
// or a replica ends. What is told grows with the organisations and the replicas, and at
// no place with the square of the gateways.
type Ledger[K comparable] struct {
	limiter *Limiter
	// all is what was used since the replica has started, but for what had run off before
	// it was told; own that at its own gateways.
	total, local usageTotals
	// gateways are those that share with this replica.
	gateways map[K]*gateway
	// start tells this start of the replica from others; peers are the other replicas, by
	// their start.
	incarnation int64
	peers       map[int64]*peer
	// peak is the most gateways that were seen of late, at peakAt.
	peakGateways int
	peakAt       time.Time
	// group is the number of gateways that are told of each other, as it was worked out
	// last, at dividedAt; until holdUntil it does not sink.
	connected            int
	updatedAt, holdUntil time.Time
	// largeAt is when the group was last no larger than the peak.
	withinPeakAt time.Time
	// together and alone are the parts of the limits that gateways may use.
	connectedShare, disconnectedShare float64
	// peersAt is when the other replicas were told.
	peersUpdatedAt time.Time
}

// UsageUpdate is what processes tell each other about the use of limits.
type UsageUpdate struct {
	// Used is what was used since it was told last, by organisation; what is below zero
	// is given back. If Whole, it is all that has not run off.
	Used  map[string]int `cbor:"1,keyasint,omitempty"`
	Whole bool           `cbor:"2,keyasint,omitempty"`
	// Own is all that was used at the gateways of a replica since it has started, which
	// Start tells. Replicas tell it each other when a link opens, so that what was used
	// while they were cut from each other is counted after all.
	Own   map[string]int `cbor:"5,keyasint,omitempty"`
	Start int64          `cbor:"6,keyasint,omitempty"`
	// Together is the part of the limits that all gateways may use which are told of each
	// other, Alone that of one which is not. A replica tells it to gateways.
	Together float64 `cbor:"3,keyasint,omitempty"`
	Alone    float64 `cbor:"4,keyasint,omitempty"`
}

// sums are what was used by organisation, and how much of it was told, and when.
type usageTotals struct {
	used, reported map[string]int
	reportedAt     map[string]time.Time
}

func newUsageTotals() usageTotals {
	return usageTotals{used: map[string]int{}, reported: map[string]int{}, reportedAt: map[string]time.Time{}}
}

// due returns what has to be told now, by organisation, and counts it as told.
func (u *usageTotals) takeDue(now time.Time, l *Limiter) map[string]int {
	var out map[string]int
	for name, used := range u.used {
		unreported := used - u.reported[name]
		if !l.shouldReport(now, name, float64(unreported), u.reportedAt[name]) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[name] = unreported
		u.reported[name], u.reportedAt[name] = used, now
	}
	return out
}

// gateway is what the ledger knows of one gateway.
type gateway struct {
	// used is what it has told, told what it was told that the others have used.
	used, sent map[string]int
	// fresh tells that it was told nothing yet; together and alone are the parts that
	// it was told last, at toldAt.
	unsynced                          bool
	connectedShare, disconnectedShare float64
	updatedAt                         time.Time
}

// NewLedger returns a ledger that has counted nothing yet.
func NewLedger[K comparable](now time.Time, b Bounds) *Ledger[K] {
	out := &Ledger[K]{limiter: NewLimiter(b), total: newUsageTotals(), local: newUsageTotals(), gateways: map[K]*gateway{}, incarnation: now.UnixNano(), peers: map[int64]*peer{}}
	out.limiter.SetShare(now, Share{Connected: 1, Disconnected: 1})
	return out
}

// SetLimits puts the limits of a version of the settings in force.
func (l *Ledger[K]) SetLimits(now time.Time, limits map[string]Limit) {
	l.limiter.SetLimits(now, limits)
	for name := range l.total.used {
		if _, ok := limits[name]; !ok {
			l.forget(name)
		}
	}
}

// forget drops the sums of an organisation that has no limit any more.
func (l *Ledger[K]) forget(name string) {
	for _, s := range []usageTotals{l.total, l.local} {
		delete(s.used, name)
		delete(s.reported, name)
		delete(s.reportedAt, name)
	}
	for _, g := range l.gateways {
		delete(g.used, name)
		delete(g.sent, name)
	}
	for _, p := range l.peers {
		delete(p.used, name)
	}
}

// AddGateway begins to share with a gateway.
func (l *Ledger[K]) AddGateway(k K) {
	l.gateways[k] = &gateway{used: map[string]int{}, sent: map[string]int{}, unsynced: true}
}

// RemoveGateway ends to share with a gateway. What it has used stays counted.
func (l *Ledger[K]) RemoveGateway(k K) { delete(l.gateways, k) }

// AddUsage takes what a gateway that shares with this replica has used.
func (l *Ledger[K]) AddUsage(now time.Time, k K, used map[string]int) {
	for name, size := range used {
		l.local.used[name] += size
		if g := l.gateways[k]; g != nil {
			g.used[name] += size
		}
	}
	l.chargeRemote(now, used)
}

func (l *Ledger[K]) chargeRemote(now time.Time, used map[string]int) {
	for name, size := range used {
		l.total.used[name] += int(l.limiter.ChargeRemote(now, name, float64(size)))
	}
}

// peakFor is how long gateways that are not seen any more count among all: those that are
// cut off go on to use their parts of the limits.
const peakTTL = 60 * time.Second

// UpdateShares works out the parts for a group of gateways that are told of each other, of so
// many that are seen. A replica that is cut off from most of the others does not forget
// those that it does not see. One that was frozen has heard nobody meanwhile: for a moment
// it goes on with the group of before, or what the others have told would count as used by
// a small part of them.
func (l *Ledger[K]) UpdateShares(now time.Time, connected, seen int, partitioned bool) {
	if now.Sub(l.updatedAt) > tightTimeout {
		l.holdUntil = now.Add(catchUpTime)
	}
	l.updatedAt = now
	if now.Before(l.holdUntil) {
		connected = max(connected, l.connected)
	}
	seen = max(seen, l.confirmedGateways(now, connected), 1)
	if seen >= l.peakGateways || !partitioned && now.Sub(l.peakAt) > peakTTL {
		l.peakGateways, l.peakAt = seen, now
	}
	l.connected = min(max(connected, 1), l.peakGateways)
	l.connectedShare, l.disconnectedShare = SplitLimit(l.connected, l.peakGateways)
	l.limiter.SetShare(now, Share{Connected: l.connectedShare, Disconnected: 1, Updated: now})
}

// surely returns a group of more gateways than were seen once it has been there for a
// while: one that goes from one replica to another counts at both for a moment.
func (l *Ledger[K]) confirmedGateways(now time.Time, connected int) int {
	if connected <= l.peakGateways {
		l.withinPeakAt = now
		return 0
	}
	if now.Sub(l.withinPeakAt) < handoverTime {
		return 0
	}
	return connected
}

// changeFor is how long a gateway that has gone to another replica may count at both:
// longer than the silence after which its old link is given up.
const handoverTime = 2 * time.Second

// Snapshot returns what a replica is told that begins to listen to this one.
func (l *Ledger[K]) Snapshot(now time.Time) *UsageUpdate {
	return &UsageUpdate{Whole: true, Used: l.limiter.Usage(now), Own: maps.Clone(l.local.used), Start: l.incarnation}
}

// PeerUpdate returns what the other replicas have to be told now; nil if nothing.
func (l *Ledger[K]) PeerUpdate(now time.Time) *UsageUpdate {
	due := l.local.takeDue(now, l.limiter)
	if due == nil && now.Sub(l.peersUpdatedAt) < maxUpdateInterval && !l.limiter.nearLimit(now) {
		return nil
	}
	l.peersUpdatedAt = now
	return &UsageUpdate{Used: due, Start: l.incarnation}
}

// SendGatewayUpdates calls tell with what each gateway has to be told now.
func (l *Ledger[K]) SendGatewayUpdates(now time.Time, send func(k K, u *UsageUpdate)) {
	due := l.total.takeDue(now, l.limiter)
	nearLimit := l.limiter.nearLimit(now)
	for k, g := range l.gateways {
		if u := l.gatewayUpdate(now, g, due, nearLimit); u != nil {
			send(k, u)
		}
	}
}

// forGateway returns what a gateway has to be told: what the others have used of some
// limits, or of all if it was told nothing yet.
func (l *Ledger[K]) gatewayUpdate(now time.Time, g *gateway, due map[string]int, nearLimit bool) *UsageUpdate {
	out := &UsageUpdate{Together: l.connectedShare, Alone: l.disconnectedShare, Whole: g.unsynced}
	if g.unsynced {
		g.unsynced = false
		out.Used = l.limiter.Usage(now)
		for name, used := range l.total.used {
			g.sent[name] = used - g.used[name]
		}
	} else {
		out.Used = l.takeChanges(g, due)
		if out.Used == nil && g.connectedShare == l.connectedShare && g.disconnectedShare == l.disconnectedShare && now.Sub(g.updatedAt) < maxUpdateInterval && !nearLimit {
			return nil
		}
	}
	g.connectedShare, g.disconnectedShare, g.updatedAt = l.connectedShare, l.disconnectedShare, now
	return out
}

// change returns what the others have used of some limits that a gateway was not told.
func (l *Ledger[K]) takeChanges(g *gateway, due map[string]int) map[string]int {
	var out map[string]int
	for name := range due {
		others := l.total.used[name] - g.used[name]
		change := others - g.sent[name]
		if change == 0 {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[name] = change
		g.sent[name] = others
	}
	return out
}
