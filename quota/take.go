package quota

import "time"

// Verdict is the decision on a request and the state it is based on.
type Verdict struct {
	OK bool
	// RetryAfter is when a refused request should be retried, as far as this gateway can tell:
	// requests that were refused earlier go first.
	RetryAfter time.Duration
	// Used is the usage that was counted against Capacity, which is what the limit allows to the
	// share that applies. Disconnected reports whether that is the gateway's own share, since it
	// has received no update for Age.
	Used, Capacity float64
	Disconnected   bool
	Age            time.Duration
	// Unassigned reports whether the gateway has never received an update, and so has no share.
	Unassigned bool
}

// Take charges the size of a request to an organisation if it is within the limit. draw must be
// uniformly distributed in [0, 1).
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

// takeOwnShare charges the size of a request to the gateway's own share. That may be less than one
// request, so that of many gateways some must accept one and most none: a gateway that has used
// nothing draws, and is charged what it could have had whether it wins or not.
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

// Bounds of the times at which refused callers are asked to retry.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Hour
)

// retryAfter returns after how long a refused request should be retried: when the limit has
// capacity for it, over units from now, and for the requests that were refused here before it.
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
