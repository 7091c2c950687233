package quota

import (
	"maps"
	"time"
)

// Ledger tracks the usage of limits at a replica of control. The gateways connected to the replica
// report to it what organisations have used. It adds that up, sends the sums of its own gateways to
// the other replicas, and sends to each gateway what all others have used. Only changes are sent,
// so that no usage is forgotten when a gateway or a replica ends. The volume of updates grows with
// the number of organisations and of replicas, and nowhere with the square of the number of
// gateways.
type Ledger[K comparable] struct {
	limiter *Limiter
	// total is what was used since the start of the replica, without what had leaked away before it
	// was reported; local is the part used at its own gateways.
	total, local usageTotals
	// gateways are the gateways connected to this replica.
	gateways map[K]*gateway
	// incarnation distinguishes this run of the replica from earlier ones; peers holds the other
	// replicas by their incarnation.
	incarnation int64
	peers       map[int64]*peer
	// peakGateways is the largest number of gateways that was seen recently, at peakAt.
	peakGateways int
	peakAt       time.Time
	// connected is the number of gateways that receive each other's usage, as computed last, at
	// updatedAt; it doesn't decrease before holdUntil.
	connected            int
	updatedAt, holdUntil time.Time
	// withinPeakAt is when connected was last at most peakGateways.
	withinPeakAt time.Time
	// connectedShare and disconnectedShare are the shares of the limits that gateways may use.
	connectedShare, disconnectedShare float64
	// peersUpdatedAt is when the last update was sent to the other replicas.
	peersUpdatedAt time.Time
}

// UsageUpdate is an update on the usage of limits, sent between processes.
type UsageUpdate struct {
	// Used is what was used since the last update, by organisation; a negative value is a refund.
	// If Whole is set, it is all usage that hasn't leaked away.
	Used  map[string]int `cbor:"1,keyasint,omitempty"`
	Whole bool           `cbor:"2,keyasint,omitempty"`
	// Own is all that was used at the gateways of a replica during its incarnation, which Start
	// identifies. Replicas send it to each other when a link opens, so that usage during a partition
	// is counted.
	Own   map[string]int `cbor:"5,keyasint,omitempty"`
	Start int64          `cbor:"6,keyasint,omitempty"`
	// Together is the share of the limits for all gateways that receive each other's usage, Alone
	// that of one gateway which receives no updates. Replicas send both to gateways.
	Together float64 `cbor:"3,keyasint,omitempty"`
	Alone    float64 `cbor:"4,keyasint,omitempty"`
}

// usageTotals holds usage by organisation, how much of it was reported, and when.
type usageTotals struct {
	used, reported map[string]int
	reportedAt     map[string]time.Time
}

func newUsageTotals() usageTotals {
	return usageTotals{used: map[string]int{}, reported: map[string]int{}, reportedAt: map[string]time.Time{}}
}

// takeDue returns the usage to report now, by organisation, and marks it as reported.
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

// gateway is the ledger's state of one gateway.
type gateway struct {
	// used is what the gateway has reported, sent the usage of the others that was sent to it.
	used, sent map[string]int
	// unsynced is set until the first update is sent; connectedShare and disconnectedShare are the
	// shares sent last, at updatedAt.
	unsynced                          bool
	connectedShare, disconnectedShare float64
	updatedAt                         time.Time
}

// NewLedger returns a ledger without any usage.
func NewLedger[K comparable](now time.Time, b Bounds) *Ledger[K] {
	out := &Ledger[K]{limiter: NewLimiter(b), total: newUsageTotals(), local: newUsageTotals(), gateways: map[K]*gateway{}, incarnation: now.UnixNano(), peers: map[int64]*peer{}}
	out.limiter.SetShare(now, Share{Connected: 1, Disconnected: 1})
	return out
}

// SetLimits applies the limits of a version of the settings.
func (l *Ledger[K]) SetLimits(now time.Time, limits map[string]Limit) {
	l.limiter.SetLimits(now, limits)
	for name := range l.total.used {
		if _, ok := limits[name]; !ok {
			l.forget(name)
		}
	}
}

// forget removes all totals of an organisation that has no limit any more.
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

// AddGateway adds a gateway that has connected to this replica.
func (l *Ledger[K]) AddGateway(k K) {
	l.gateways[k] = &gateway{used: map[string]int{}, sent: map[string]int{}, unsynced: true}
}

// RemoveGateway removes a gateway that has disconnected. Its usage stays counted.
func (l *Ledger[K]) RemoveGateway(k K) { delete(l.gateways, k) }

// AddUsage counts the usage that a connected gateway reports.
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

// peakTTL is how long disconnected gateways still count: partitioned gateways continue to use their
// shares of the limits.
const peakTTL = 60 * time.Second

// UpdateShares computes the shares from the number of connected gateways, which receive each
// other's usage, and the number of gateways seen by any replica. A replica that is partitioned from
// most of the others doesn't forget the gateways that it can't see. A replica that was frozen has
// received nothing in the meantime: it keeps the previous number for a moment, or usage reported by
// the others would count as usage of a small share of them.
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

// confirmedGateways returns the number of connected gateways if it has exceeded the peak for
// handoverTime, and zero otherwise: a gateway that moves between replicas counts at both for a
// moment.
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

// handoverTime is how long a gateway that has moved to another replica may count at both: longer
// than the silence after which its old link is closed.
const handoverTime = 2 * time.Second

// Snapshot returns the update for a replica that starts to receive updates from this one.
func (l *Ledger[K]) Snapshot(now time.Time) *UsageUpdate {
	return &UsageUpdate{Whole: true, Used: l.limiter.Usage(now), Own: maps.Clone(l.local.used), Start: l.incarnation}
}

// PeerUpdate returns the update to send to the other replicas now; nil if there is none.
func (l *Ledger[K]) PeerUpdate(now time.Time) *UsageUpdate {
	due := l.local.takeDue(now, l.limiter)
	if due == nil && now.Sub(l.peersUpdatedAt) < maxUpdateInterval && !l.limiter.nearLimit(now) {
		return nil
	}
	l.peersUpdatedAt = now
	return &UsageUpdate{Used: due, Start: l.incarnation}
}

// SendGatewayUpdates calls send with the update for each gateway that has to get one now.
func (l *Ledger[K]) SendGatewayUpdates(now time.Time, send func(k K, u *UsageUpdate)) {
	due := l.total.takeDue(now, l.limiter)
	nearLimit := l.limiter.nearLimit(now)
	for k, g := range l.gateways {
		if u := l.gatewayUpdate(now, g, due, nearLimit); u != nil {
			send(k, u)
		}
	}
}

// gatewayUpdate returns the update for a gateway: what the others have used of the due limits, or
// of all limits in its first update. It returns nil if there is nothing to send.
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

// takeChanges returns what the others have used of the due limits that wasn't sent to the gateway,
// and marks it as sent.
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
