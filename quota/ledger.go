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
	all, own sums
	// gateways are those that share with this replica.
	gateways map[K]*gateway
	// start tells this start of the replica from others; peers are the other replicas, by
	// their start.
	start int64
	peers map[int64]*peer
	// peak is the most gateways that were seen of late, at peakAt.
	peak   int
	peakAt time.Time
	// group is the number of gateways that are told of each other, as it was worked out
	// last, at dividedAt; until holdUntil it does not sink.
	group                int
	dividedAt, holdUntil time.Time
	// largeAt is when the group was last no larger than the peak.
	largeAt time.Time
	// together and alone are the parts of the limits that gateways may use.
	together, alone float64
	// peersAt is when the other replicas were told.
	peersAt time.Time
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
type sums struct {
	used, told map[string]int
	toldAt     map[string]time.Time
}

func newSums() sums {
	return sums{used: map[string]int{}, told: map[string]int{}, toldAt: map[string]time.Time{}}
}

// due returns what has to be told now, by organisation, and counts it as told.
func (s *sums) due(now time.Time, l *Limiter) map[string]int {
	var out map[string]int
	for name, used := range s.used {
		untold := used - s.told[name]
		if !l.worth(now, name, float64(untold), s.toldAt[name]) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[name] = untold
		s.told[name], s.toldAt[name] = used, now
	}
	return out
}

// gateway is what the ledger knows of one gateway.
type gateway struct {
	// used is what it has told, told what it was told that the others have used.
	used, told map[string]int
	// fresh tells that it was told nothing yet; together and alone are the parts that
	// it was told last, at toldAt.
	fresh           bool
	together, alone float64
	toldAt          time.Time
}

// NewLedger returns a ledger that has counted nothing yet.
func NewLedger[K comparable](now time.Time, b Bounds) *Ledger[K] {
	out := &Ledger[K]{limiter: NewLimiter(b), all: newSums(), own: newSums(), gateways: map[K]*gateway{}, start: now.UnixNano(), peers: map[int64]*peer{}}
	out.limiter.SetShare(now, Share{Connected: 1, Disconnected: 1})
	return out
}

// SetLimits puts the limits of a version of the settings in force.
func (l *Ledger[K]) SetLimits(now time.Time, limits map[string]Limit) {
	l.limiter.SetLimits(now, limits)
	for name := range l.all.used {
		if _, ok := limits[name]; !ok {
			l.forget(name)
		}
	}
}

// forget drops the sums of an organisation that has no limit any more.
func (l *Ledger[K]) forget(name string) {
	for _, s := range []sums{l.all, l.own} {
		delete(s.used, name)
		delete(s.told, name)
		delete(s.toldAt, name)
	}
	for _, g := range l.gateways {
		delete(g.used, name)
		delete(g.told, name)
	}
	for _, p := range l.peers {
		delete(p.own, name)
	}
}

// AddGateway begins to share with a gateway.
func (l *Ledger[K]) AddGateway(k K) {
	l.gateways[k] = &gateway{used: map[string]int{}, told: map[string]int{}, fresh: true}
}

// RemoveGateway ends to share with a gateway. What it has used stays counted.
func (l *Ledger[K]) RemoveGateway(k K) { delete(l.gateways, k) }

// AddUsage takes what a gateway that shares with this replica has used.
func (l *Ledger[K]) AddUsage(now time.Time, k K, used map[string]int) {
	for name, size := range used {
		l.own.used[name] += size
		if g := l.gateways[k]; g != nil {
			g.used[name] += size
		}
	}
	l.count(now, used)
}

func (l *Ledger[K]) count(now time.Time, used map[string]int) {
	for name, size := range used {
		l.all.used[name] += int(l.limiter.ChargeRemote(now, name, float64(size)))
	}
}

// peakFor is how long gateways that are not seen any more count among all: those that are
// cut off go on to use their parts of the limits.
const peakFor = 60 * time.Second

// UpdateShares works out the parts for a group of gateways that are told of each other, of so
// many that are seen. A replica that is cut off from most of the others does not forget
// those that it does not see. One that was frozen has heard nobody meanwhile: for a moment
// it goes on with the group of before, or what the others have told would count as used by
// a small part of them.
func (l *Ledger[K]) UpdateShares(now time.Time, group, seen int, cut bool) {
	if now.Sub(l.dividedAt) > tightFor {
		l.holdUntil = now.Add(heldUp)
	}
	l.dividedAt = now
	if now.Before(l.holdUntil) {
		group = max(group, l.group)
	}
	seen = max(seen, l.surely(now, group), 1)
	if seen >= l.peak || !cut && now.Sub(l.peakAt) > peakFor {
		l.peak, l.peakAt = seen, now
	}
	l.group = min(max(group, 1), l.peak)
	l.together, l.alone = SplitLimit(l.group, l.peak)
	l.limiter.SetShare(now, Share{Connected: l.together, Disconnected: 1, Updated: now})
}

// surely returns a group of more gateways than were seen once it has been there for a
// while: one that goes from one replica to another counts at both for a moment.
func (l *Ledger[K]) surely(now time.Time, group int) int {
	if group <= l.peak {
		l.largeAt = now
		return 0
	}
	if now.Sub(l.largeAt) < changeFor {
		return 0
	}
	return group
}

// changeFor is how long a gateway that has gone to another replica may count at both:
// longer than the silence after which its old link is given up.
const changeFor = 2 * time.Second

// Snapshot returns what a replica is told that begins to listen to this one.
func (l *Ledger[K]) Snapshot(now time.Time) *UsageUpdate {
	return &UsageUpdate{Whole: true, Used: l.limiter.Usage(now), Own: maps.Clone(l.own.used), Start: l.start}
}

// PeerUpdate returns what the other replicas have to be told now; nil if nothing.
func (l *Ledger[K]) PeerUpdate(now time.Time) *UsageUpdate {
	due := l.own.due(now, l.limiter)
	if due == nil && now.Sub(l.peersAt) < tellWithin && !l.limiter.tight(now) {
		return nil
	}
	l.peersAt = now
	return &UsageUpdate{Used: due, Start: l.start}
}

// SendGatewayUpdates calls tell with what each gateway has to be told now.
func (l *Ledger[K]) SendGatewayUpdates(now time.Time, tell func(k K, u *UsageUpdate)) {
	due := l.all.due(now, l.limiter)
	tight := l.limiter.tight(now)
	for k, g := range l.gateways {
		if u := l.forGateway(now, g, due, tight); u != nil {
			tell(k, u)
		}
	}
}

// forGateway returns what a gateway has to be told: what the others have used of some
// limits, or of all if it was told nothing yet.
func (l *Ledger[K]) forGateway(now time.Time, g *gateway, due map[string]int, tight bool) *UsageUpdate {
	out := &UsageUpdate{Together: l.together, Alone: l.alone, Whole: g.fresh}
	if g.fresh {
		g.fresh = false
		out.Used = l.limiter.Usage(now)
		for name, used := range l.all.used {
			g.told[name] = used - g.used[name]
		}
	} else {
		out.Used = l.change(g, due)
		if out.Used == nil && g.together == l.together && g.alone == l.alone && now.Sub(g.toldAt) < tellWithin && !tight {
			return nil
		}
	}
	g.together, g.alone, g.toldAt = l.together, l.alone, now
	return out
}

// change returns what the others have used of some limits that a gateway was not told.
func (l *Ledger[K]) change(g *gateway, due map[string]int) map[string]int {
	var out map[string]int
	for name := range due {
		others := l.all.used[name] - g.used[name]
		change := others - g.told[name]
		if change == 0 {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[name] = change
		g.told[name] = others
	}
	return out
}
