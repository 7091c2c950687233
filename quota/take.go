package quota

import "time"

// Verdict is the answer to a request, and what it rests on.
type Verdict struct {
	OK bool
	// RetryAfter is after which time a refused request should come back, as far as is known
	// here: those that were refused before come back first.
	RetryAfter time.Duration
	// Used was counted, of the Capacity that the limit gives to a part; CutOff tells that
	// this is the gateway's own part, since it was not told for Age.
	Used, Capacity float64
	Disconnected   bool
	Age            time.Duration
	// Unassigned tells that it was never told, and so has no part.
	Unassigned bool
}

// Take counts the size of a request of an organisation if that lies within its limit.
// Draw is evenly spread in [0, 1).
func (l *Limiter) Take(now time.Time, name string, size, draw float64) Verdict {
	a := l.accounts[name]
	if a == nil {
		return Verdict{OK: true}
	}
	l.advance(now, a)
	v := Verdict{Used: a.used, Capacity: l.bounds.capacity(a.limit) * a.share, Age: now.Sub(l.share.Updated), Unassigned: l.share.Updated.IsZero()}
	v.Disconnected = a.disconnected && (a.used+size > v.Capacity/2 || v.Age >= looseTimeout)
	if v.Disconnected {
		v.Used, v.Capacity = a.ownUsed, l.bounds.capacity(a.limit)*l.share.Disconnected
		l.takeOwnShare(a, &v, size, draw)
		return v
	}
	over := a.used + size - max(v.Capacity, size)
	if v.OK = over <= 0; v.OK {
		a.charge(size)
	} else {
		v.RetryAfter = l.retryAfter(a, size, over/max(a.share, minShare))
	}
	return v
}

// takeAlone counts the size of a request against the gateway's own part. That may be less
// than one request, so that of many gateways some take one and most none: one that has
// used nothing draws, and pays what it could have had whether it wins or not.
func (l *Limiter) takeOwnShare(a *account, v *Verdict, size, draw float64) {
	over := a.ownUsed + min(size, v.Capacity) - v.Capacity
	if over <= 0 && v.Capacity > 0 {
		if size <= v.Capacity || draw*size < v.Capacity {
			v.OK = true
			a.charge(size)
			a.ownUsed += min(v.Capacity-size, 0)
			return
		}
		a.ownUsed += v.Capacity
		over = v.Capacity
	}
	v.RetryAfter = l.retryAfter(a, size, over/max(l.share.Disconnected, minShare))
}

// Times that refused callers are told.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Hour
)

// comeBack returns how long a refused request stays away: until the limit has room for
// it, over units from now, and for those that were refused here before it.
func (l *Limiter) retryAfter(a *account, size, over float64) time.Duration {
	rate := l.bounds.leakRate(a.limit)
	wait := over/rate + a.refused/(rate*max(l.share.Disconnected, minShare))
	a.refused += size
	return max(min(time.Duration(min(wait, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter), minRetryAfter)
}

func (a *account) charge(size float64) {
	a.used = max(a.used+size, 0)
	a.ownUsed = max(a.ownUsed+size, 0)
	a.unreported += size
}
