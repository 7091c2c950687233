package quota

import (
	"math"
	"time"
)

// A Limiter bounds what organisations use, at one of many gateways or at a replica of
// control. Each gateway may use the whole of a limit: what it uses counts at once, what
// the others use as it is told, some tens of milliseconds later. What was used too much
// meanwhile is a debt that has to run off first. While a gateway is not told, it may use
// only the part that is its own, so that all parts together stay within the limit
// however the gateways are cut from each other.

// account is what is counted of one organisation.
type account struct {
	limit Limit
	// used is what all have used and alone what this gateway has, each less what
	// has run off since; used is for the part share.
	used, ownUsed float64
	share         float64
	// absent is what those had used who are not in the group that has the part.
	absentUsed float64
	at         time.Time
	// untold is what this gateway has used and not told.
	unreported float64
	reportedAt time.Time
	// asked is the size of the requests that were refused here and told when to come
	// back, less what has run off since at the gateway's own part.
	refused float64
	// cutOff tells that the gateway's own part counts, since it was not told for a time.
	disconnected bool
	// credit is what could have run off while it was not told, had it known what was
	// used; it counts against what it is told right after, at creditAt.
	credit   float64
	creditAt time.Time
}

// Limiter counts what organisations use.
type Limiter struct {
	bounds   Bounds
	share    Share
	accounts map[string]*account
	// told tells that this gateway has been told what all have used.
	synced bool
}

// NewLimiter returns a limiter that has counted nothing yet. Since others may have
// used much already, it starts with little left.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{bounds: b, accounts: map[string]*account{}}
}

// SetLimits puts the limits of a version of the settings in force. What was used stays
// so; of an organisation without a limit nothing is counted.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	for name, a := range l.accounts {
		l.advance(now, a)
		if limits[name].Rate <= 0 {
			delete(l.accounts, name)
		}
	}
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		a := l.accounts[name]
		if a == nil {
			a = &account{used: l.bounds.initialUsage(limit) * l.share.Connected, ownUsed: l.bounds.initialUsage(limit) * l.share.Disconnected, share: l.share.Connected, at: now, reportedAt: now}
			l.accounts[name] = a
		}
		a.limit = limit
	}
}

// SetShare takes the part of the limits that this gateway may use. After a silence the
// accounts are settled before it counts as over.
func (l *Limiter) SetShare(now time.Time, s Share) {
	if s.Connected == l.share.Connected && s.Disconnected == l.share.Disconnected && s.Updated.Sub(l.share.Updated) < tightTimeout {
		l.share = s
		return
	}
	first := l.share.Disconnected == 0
	for _, a := range l.accounts {
		l.advance(now, a)
	}
	l.share = s
	for _, a := range l.accounts {
		l.rescale(a, s.Connected)
		if first {
			a.ownUsed = l.bounds.initialUsage(a.limit) * s.Disconnected
		}
	}
}

// rescale moves the account to another part. What was used is divided like the limit when
// others are not in the group any more; when they are back, their share of it counts again,
// since they may have used all that has run off meanwhile. What they used beyond that they
// tell themselves.
func (l *Limiter) rescale(a *account, share float64) {
	switch {
	case a.share <= 0:
		a.used = l.bounds.initialUsage(a.limit) * share
	case share < a.share:
		absent := a.used * (1 - share/a.share)
		a.used -= absent
		a.absentUsed += absent
	case share > a.share && a.share < 1:
		returned := a.absentUsed * min((share-a.share)/(1-a.share), 1)
		a.used += returned
		a.absentUsed -= returned
	}
	a.share = share
}

// settle lets run off what was used. Where the gateway was not told any more meanwhile, as
// much is left of its own part from then on as of the whole.
func (l *Limiter) advance(now time.Time, a *account) {
	staleAt := l.share.Updated.Add(tightTimeout)
	if now.Before(staleAt) {
		a.disconnected = false
	} else if !a.disconnected {
		l.leak(staleAt, a)
		a.disconnected = true
		if capacity := l.bounds.capacity(a.limit) * a.share; capacity > 0 {
			a.ownUsed = max(a.ownUsed, min(a.used/capacity, 1)*l.bounds.capacity(a.limit)*l.share.Disconnected)
		}
	}
	l.leak(now, a)
}

func (l *Limiter) leak(now time.Time, a *account) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	leaked := passed * l.bounds.leakRate(a.limit)
	if a.disconnected {
		a.credit += max(leaked*a.share-a.used, 0)
		a.creditAt = now
	}
	a.used = max(a.used-leaked*a.share, 0)
	ownLeaked := leaked * l.share.Disconnected
	a.ownUsed = max(a.ownUsed-ownLeaked, 0)
	a.refused = max(a.refused-ownLeaked, 0)
}

// Charge counts a size whatever the limit is: of a request that runs once more. A size
// below zero gives back what was counted for a request that did not run.
func (l *Limiter) Charge(now time.Time, name string, size float64) {
	if a := l.accounts[name]; a != nil {
		l.advance(now, a)
		a.charge(size)
	}
}

// heldUp is how long after a silence all that was held up may take to come. Until then what
// others have used is set against what has run off meanwhile.
const catchUpTime = 300 * time.Millisecond

// ChargeRemote counts what others have used. After a silence, as when this process was frozen,
// it is told all of some seconds at once, which has partly run off since. It returns what
// has not.
func (l *Limiter) ChargeRemote(now time.Time, name string, size float64) float64 {
	a := l.accounts[name]
	if a == nil {
		return size
	}
	l.advance(now, a)
	size -= a.takeCredit(now, size)
	a.used = max(a.used+size, 0)
	return size
}

// late returns how much of what others have used has run off already, and takes it from
// the credit.
func (a *account) takeCredit(now time.Time, size float64) float64 {
	if now.Sub(a.creditAt) > catchUpTime {
		a.credit = 0
	}
	out := min(max(size, 0), a.credit)
	a.credit -= out
	return out
}

// MergeUsage takes what all have used together, from somebody who has counted for longer.
// What is known here stays if it is more, but for what was assumed at the start.
func (l *Limiter) MergeUsage(now time.Time, used map[string]int) {
	for name, a := range l.accounts {
		l.advance(now, a)
		total := float64(used[name]) * a.share
		if l.synced {
			total = max(total, a.used)
		}
		a.used = total
	}
	l.synced = true
}

// rejoinFor is for how long two sides of a cut use the whole limit side by side, until
// they notice it, with a margin.
const partitionDetection = time.Second

// rejoin counts what others have used while they were cut from this process. Most of it
// has run off: after a cut was noticed each side has kept to its part, so that together
// not more is used than at the side that has used more of its own. Base is that, and what
// comes in several pieces is held against the same one. It returns what was counted.
func (l *Limiter) mergeAfterPartition(now time.Time, used map[string]int, baseline map[string]float64) map[string]int {
	out := map[string]int{}
	for name, size := range used {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		l.advance(now, a)
		before := a.used
		maxUsed := max(baseline[name]+l.bounds.leakRate(a.limit)*partitionDetection.Seconds(), before)
		a.used = max(min(before+float64(size)-a.takeCredit(now, float64(size)), maxUsed), 0)
		out[name] = int(a.used - before)
	}
	return out
}

// usedNow returns what was used of the part that this process knows of.
func (l *Limiter) connectedUsage(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		l.advance(now, a)
		out[name] = a.used
	}
	return out
}

// inPart returns levels that were told as those of the part that this process knows of.
func (l *Limiter) scaleToConnected(usage map[string]int) map[string]float64 {
	out := make(map[string]float64, len(usage))
	for name, used := range usage {
		if a := l.accounts[name]; a != nil {
			out[name] = float64(used) * a.share
		}
	}
	return out
}

// Usage returns what all have used of each limit, as Levels takes it.
func (l *Limiter) Usage(now time.Time) map[string]int {
	out := map[string]int{}
	for name, a := range l.accounts {
		l.advance(now, a)
		if used := int(math.Round(a.used / max(a.share, minShare))); used > 0 {
			out[name] = used
		}
	}
	return out
}

// leastShare keeps what was used from growing without bound where no part is known.
const minShare = 0.001
