package quota

import (
	"math"
	"time"
)

// account is the state of one organisation.
type account struct {
	limit Limit
	// used is what all gateways in the connected share have used and ownUsed what this gateway has
	// used, each without what has leaked away; share is the share that used refers to.
	used, ownUsed float64
	share         float64
	// absentUsed is the usage of gateways that are no longer in the connected share.
	absentUsed float64
	at         time.Time
	// unreported is the usage of this gateway that it hasn't reported.
	unreported float64
	reportedAt time.Time
	// refused is the size of the requests that were refused here with a time to retry, without what
	// has leaked away since at the gateway's own share.
	refused float64
	// disconnected is set while the gateway's own share applies, since it has received no update
	// for some time.
	disconnected bool
	// credit is what could have leaked away while no updates arrived, had the usage been known; it
	// is deducted from the usage that arrives right after that, until catchUpTime after creditAt.
	credit   float64
	creditAt time.Time
}

// Limiter limits the usage of organisations, at one of many gateways or at a replica of control.
//
// Each gateway may use the whole limit: its own usage counts at once, the usage of the others some
// tens of milliseconds later, when updates arrive. What was used beyond the limit in the meantime
// is a debt that has to leak away first. While a gateway receives no updates it may use only its
// own share, so that all shares together stay within the limit however the gateways are
// partitioned.
type Limiter struct {
	bounds   Bounds
	share    Share
	accounts map[string]*account
	// synced is set once this gateway has received the usage of all gateways.
	synced bool
}

// NewLimiter returns a limiter without any usage. Since others may have used much already, its
// accounts start with little capacity.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{bounds: b, accounts: map[string]*account{}}
}

// SetLimits applies the limits of a version of the settings. Use that was counted stays;
// organisations without a limit aren't counted.
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

// SetShare sets the share of the limits that this gateway may use. After a silence, the accounts
// are advanced before the silence counts as over.
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

// rescale changes the share of an account. When gateways leave the group, what was used is divided
// like the limit; when they return, their part of it counts again, since they may have used all
// that has leaked away since. They report themselves what they used beyond that.
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

// advance lets usage leak away up to now. If updates have stopped in the meantime, the fraction of
// its own share that the gateway has used is from then on at least the used fraction of the whole.
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

// Charge counts a size whatever the limit is, as for a request that runs again. A negative size
// refunds a request that did not run.
func (l *Limiter) Charge(now time.Time, name string, size float64) {
	if a := l.accounts[name]; a != nil {
		l.advance(now, a)
		a.charge(size)
	}
}

// catchUpTime is how long delayed updates may keep arriving after a silence. Until then, the usage
// of others is offset by what has leaked away in the meantime.
const catchUpTime = 300 * time.Millisecond

// ChargeRemote counts the usage of others. After a silence, as when this process was frozen,
// updates of several seconds arrive at once, and part of that usage has already leaked away.
// ChargeRemote returns the part that hasn't.
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

// takeCredit returns how much of the usage of others has already leaked away, and deducts it from
// the credit.
func (a *account) takeCredit(now time.Time, size float64) float64 {
	if now.Sub(a.creditAt) > catchUpTime {
		a.credit = 0
	}
	out := min(max(size, 0), a.credit)
	a.credit -= out
	return out
}

// MergeUsage sets the total usage as reported by a process that has counted for longer. Usage known
// here stays if it is higher, unless it was only assumed at the start.
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

// partitionDetection is how long both sides of a partition may use the whole limit before they
// detect it, with a margin.
const partitionDetection = time.Second

// mergeAfterPartition counts the usage of others during a partition and returns what was counted.
// Most of that usage has leaked away: once the partition is detected each side keeps to its share,
// so that the total usage is no higher than at the side that has used more of its own share.
// baseline is that usage; several updates are counted against the same baseline.
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

// connectedUsage returns the usage within the connected share.
func (l *Limiter) connectedUsage(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		l.advance(now, a)
		out[name] = a.used
	}
	return out
}

// scaleToConnected converts total usage to usage within the connected share.
func (l *Limiter) scaleToConnected(usage map[string]int) map[string]float64 {
	out := make(map[string]float64, len(usage))
	for name, used := range usage {
		if a := l.accounts[name]; a != nil {
			out[name] = float64(used) * a.share
		}
	}
	return out
}

// Usage returns the total usage of each limit, in the form that MergeUsage accepts.
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

// minShare keeps usage from growing without bound when scaled up while no share is known.
const minShare = 0.001
