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
	l.settle(now, a)
	v := Verdict{Used: a.used, Capacity: l.bounds.room(a.limit) * a.share, Age: now.Sub(l.part.Updated), Unassigned: l.part.Updated.IsZero()}
	v.Disconnected = a.cutOff && (a.used+size > v.Capacity/2 || v.Age >= looseFor)
	if v.Disconnected {
		v.Used, v.Capacity = a.alone, l.bounds.room(a.limit)*l.part.Disconnected
		l.takeAlone(a, &v, size, draw)
		return v
	}
	over := a.used + size - max(v.Capacity, size)
	if v.OK = over <= 0; v.OK {
		a.count(size)
	} else {
		v.RetryAfter = l.comeBack(a, size, over/max(a.share, leastShare))
	}
	return v
}

// takeAlone counts the size of a request against the gateway's own part. That may be less
// than one request, so that of many gateways some take one and most none: one that has
// used nothing draws, and pays what it could have had whether it wins or not.
func (l *Limiter) takeAlone(a *account, v *Verdict, size, draw float64) {
	over := a.alone + min(size, v.Capacity) - v.Capacity
	if over <= 0 && v.Capacity > 0 {
		if size <= v.Capacity || draw*size < v.Capacity {
			v.OK = true
			a.count(size)
			a.alone += min(v.Capacity-size, 0)
			return
		}
		a.alone += v.Capacity
		over = v.Capacity
	}
	v.RetryAfter = l.comeBack(a, size, over/max(l.part.Disconnected, leastShare))
}

// Times that refused callers are told.
const (
	leastWait   = 50 * time.Millisecond
	longestWait = time.Hour
)

// comeBack returns how long a refused request stays away: until the limit has room for
// it, over units from now, and for those that were refused here before it.
func (l *Limiter) comeBack(a *account, size, over float64) time.Duration {
	rate := l.bounds.rate(a.limit)
	wait := over/rate + a.asked/(rate*max(l.part.Disconnected, leastShare))
	a.asked += size
	return max(min(time.Duration(min(wait, longestWait.Seconds())*float64(time.Second)), longestWait), leastWait)
}

func (a *account) count(size float64) {
	a.used = max(a.used+size, 0)
	a.alone = max(a.alone+size, 0)
	a.untold += size
}
