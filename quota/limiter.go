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

// Limit is what an organisation may use: Rate units a second, and Burst units on top.
// There is none if Rate is zero.
type Limit struct{ Rate, Burst float64 }

// Bounds tell how use is judged: in no Window may it be above what the limit gives by
// more than the share Overshoot and Slack units.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Parts of the bounds that are kept for what is counted late, or lost when processes end.
const (
	// reserveShare is the part of the slack.
	reserveShare = 1.0 / 2
	// reserveFor is the time for which all may use a limit without being told of each
	// other, at some times the rate: until news have passed two replicas or a cut is noticed.
	reserveFor = time.Second
)

func (b Bounds) reserve(l Limit) float64 {
	return reserveShare*b.Slack + l.Rate*reserveFor.Seconds()
}

// most returns what may be used in a window, but for the reserve.
func (b Bounds) most(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack - b.reserve(l)
}

// rate returns what runs off in a second: as much as lets somebody who always asks for
// more have in each window what the limit gives in one, burst and all, if the bounds
// allow that. At the bare rate it would be less, though nothing may be refused that lies
// within the limit of the window.
func (b Bounds) rate(l Limit) float64 {
	w := b.Window.Seconds()
	if w <= 0 {
		return l.Rate
	}
	return max(min(l.Rate+l.Burst/w, (b.most(l)-l.Burst)/w), l.Rate)
}

// room returns what a limit gives at once to somebody who has used nothing.
func (b Bounds) room(l Limit) float64 {
	return max(b.most(l)-b.rate(l)*b.Window.Seconds(), l.Burst)
}

// start returns what is taken as used by somebody who knows nothing: an eighth of the reserve
// is free.
func (b Bounds) start(l Limit) float64 { return max(b.room(l)-b.reserve(l)/8, 0) }

// Part is the part of the limits that a gateway may use.
type Part struct {
	// Together is that of all gateways that are told of each other, Alone what the
	// gateway may use by itself while it is not told.
	Together, Alone float64
	// Heard is when it was told last, even that there is nothing new.
	Heard time.Time
}

// How long it counts that a gateway was told.
const (
	// tightFor is for organisations that have used more than half of their room: all
	// gateways of a fleet that is cut up take what is left of the limit each until then.
	// It is three of the steps in which a replica tells them.
	tightFor = 150 * time.Millisecond
	// looseFor is for the others. A packet that is lost is sent again after 200 ms.
	looseFor = 500 * time.Millisecond
	// tellWithin is the longest time between two tellings if no organisation has used
	// more than half of its room; else all are told at each step.
	tellWithin = 150 * time.Millisecond
)

// PartsOf returns the parts of a limit for a group of gateways that are told of each
// other, of so many in all. The parts of all groups together are the whole.
func PartsOf(group, all int) (together, alone float64) {
	n := float64(max(all, group, 1))
	return float64(group) / n, 1 / n
}

// account is what is counted of one organisation.
type account struct {
	limit Limit
	// used is what all have used and alone what this gateway has, each less what
	// has run off since; used is for the part share.
	used, alone float64
	share       float64
	at          time.Time
	// untold is what this gateway has used and not told.
	untold float64
	toldAt time.Time
	// asked is the size of the requests that were refused here and told when to come
	// back, less what has run off since at the gateway's own part.
	asked float64
	// cutOff tells that the gateway's own part counts, since it was not told for a time.
	cutOff bool
	// credit is what could have run off while it was not told, had it known what was
	// used; it counts against what it is told right after, at creditAt.
	credit   float64
	creditAt time.Time
}

// Limiter counts what organisations use.
type Limiter struct {
	bounds   Bounds
	part     Part
	accounts map[string]*account
	// told tells that this gateway has been told what all have used.
	told bool
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
		l.settle(now, a)
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
			a = &account{used: l.bounds.start(limit) * l.part.Together, alone: l.bounds.start(limit) * l.part.Alone, share: l.part.Together, at: now, toldAt: now}
			l.accounts[name] = a
		}
		a.limit = limit
	}
}

// SetPart takes the part of the limits that this gateway may use.
func (l *Limiter) SetPart(now time.Time, p Part) {
	if p.Together == l.part.Together && p.Alone == l.part.Alone && p.Heard.Sub(l.part.Heard) < tightFor {
		l.part = p
		return
	}
	// After a silence the accounts are settled before it counts as over.
	first := l.part.Alone == 0
	for _, a := range l.accounts {
		l.settle(now, a)
	}
	l.part = p
	for _, a := range l.accounts {
		l.rescale(a, p.Together)
		if first {
			a.alone = l.bounds.start(a.limit) * p.Alone
		}
	}
}

// rescale moves the account to another part: what is left of one is left of the other,
// each in its size.
func (l *Limiter) rescale(a *account, share float64) {
	if a.share > 0 {
		a.used *= share / a.share
	} else {
		a.used = l.bounds.start(a.limit) * share
	}
	a.share = share
}

// settle lets run off what was used. Where the gateway was not told any more meanwhile, as
// much is left of its own part from then on as of the whole.
func (l *Limiter) settle(now time.Time, a *account) {
	lost := l.part.Heard.Add(tightFor)
	if now.Before(lost) {
		a.cutOff = false
	} else if !a.cutOff {
		l.runOff(lost, a)
		a.cutOff = true
		if room := l.bounds.room(a.limit) * a.share; room > 0 {
			a.alone = max(a.alone, min(a.used/room, 1)*l.bounds.room(a.limit)*l.part.Alone)
		}
	}
	l.runOff(now, a)
}

func (l *Limiter) runOff(now time.Time, a *account) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	gone := passed * l.bounds.rate(a.limit)
	if a.cutOff {
		a.credit += max(gone*a.share-a.used, 0)
		a.creditAt = now
	}
	a.used = max(a.used-gone*a.share, 0)
	own := gone * l.part.Alone
	a.alone = max(a.alone-own, 0)
	a.asked = max(a.asked-own, 0)
}

// Verdict is the answer to a request, and what it rests on.
type Verdict struct {
	OK bool
	// Wait is after which time a refused request should come back, as far as is known
	// here: those that were refused before come back first.
	Wait time.Duration
	// Used was counted, of the Room that the limit gives to a part; CutOff tells that
	// this is the gateway's own part, since it was not told for Age.
	Used, Room float64
	CutOff     bool
	Age        time.Duration
	// Untold tells that it was never told, and so has no part.
	Untold bool
}

// Take counts the size of a request of an organisation if that lies within its limit.
// Draw is evenly spread in [0, 1).
func (l *Limiter) Take(now time.Time, name string, size, draw float64) Verdict {
	a := l.accounts[name]
	if a == nil {
		return Verdict{OK: true}
	}
	l.settle(now, a)
	v := Verdict{Used: a.used, Room: l.bounds.room(a.limit) * a.share, Age: now.Sub(l.part.Heard), Untold: l.part.Heard.IsZero()}
	v.CutOff = a.cutOff && (a.used+size > v.Room/2 || v.Age >= looseFor)
	if v.CutOff {
		v.Used, v.Room = a.alone, l.bounds.room(a.limit)*l.part.Alone
		l.takeAlone(a, &v, size, draw)
		return v
	}
	over := a.used + size - max(v.Room, size)
	if v.OK = over <= 0; v.OK {
		a.count(size)
	} else {
		v.Wait = l.comeBack(a, size, over/max(a.share, leastShare))
	}
	return v
}

// takeAlone counts the size of a request against the gateway's own part. That may be less
// than one request, so that of many gateways some take one and most none: one that has
// used nothing draws, and pays what it could have had whether it wins or not.
func (l *Limiter) takeAlone(a *account, v *Verdict, size, draw float64) {
	over := a.alone + min(size, v.Room) - v.Room
	if over <= 0 && v.Room > 0 {
		if size <= v.Room || draw*size < v.Room {
			v.OK = true
			a.count(size)
			a.alone += min(v.Room-size, 0)
			return
		}
		a.alone += v.Room
		over = v.Room
	}
	v.Wait = l.comeBack(a, size, over/max(l.part.Alone, leastShare))
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
	wait := over/rate + a.asked/(rate*max(l.part.Alone, leastShare))
	a.asked += size
	return max(min(time.Duration(min(wait, longestWait.Seconds())*float64(time.Second)), longestWait), leastWait)
}

func (a *account) count(size float64) {
	a.used = max(a.used+size, 0)
	a.alone = max(a.alone+size, 0)
	a.untold += size
}

// Count counts a size whatever the limit is: of a request that runs once more. A size
// below zero gives back what was counted for a request that did not run.
func (l *Limiter) Count(now time.Time, name string, size float64) {
	if a := l.accounts[name]; a != nil {
		l.settle(now, a)
		a.count(size)
	}
}

// creditFor is how long after a silence what others have used is set against what has
// run off meanwhile: all that was held up comes at once.
const creditFor = 300 * time.Millisecond

// Others counts what others have used. After a silence, as when this process was frozen,
// it is told all of some seconds at once, which has partly run off since. It returns what
// has not.
func (l *Limiter) Others(now time.Time, name string, size float64) float64 {
	a := l.accounts[name]
	if a == nil {
		return size
	}
	l.settle(now, a)
	size -= a.late(now, size)
	a.used = max(a.used+size, 0)
	return size
}

// late returns how much of what others have used has run off already, and takes it from
// the credit.
func (a *account) late(now time.Time, size float64) float64 {
	if now.Sub(a.creditAt) > creditFor {
		a.credit = 0
	}
	out := min(max(size, 0), a.credit)
	a.credit -= out
	return out
}

// Levels takes what all have used together, from somebody who has counted for longer.
// What is known here stays if it is more, but for what was assumed at the start.
func (l *Limiter) Levels(now time.Time, used map[string]int) {
	for name, a := range l.accounts {
		l.settle(now, a)
		told := float64(used[name]) * a.share
		if l.told {
			told = max(told, a.used)
		}
		a.used = told
	}
	l.told = true
}

// rejoinFor is for how long two sides of a cut use the whole limit side by side, until
// they notice it, with a margin.
const rejoinFor = 500 * time.Millisecond

// rejoin counts what others have used while they were cut from this process. Most of it
// has run off: after a cut was noticed each side has kept to its part, so that together
// not more is used than at the side that has used more of its own, told being that of the
// others. All of it would be seconds of use counted at once. It returns what was counted.
func (l *Limiter) rejoin(now time.Time, missed, told map[string]int) map[string]int {
	out := map[string]int{}
	for name, size := range missed {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		l.settle(now, a)
		before := a.used
		most := max(before, float64(told[name])*a.share) + l.bounds.rate(a.limit)*rejoinFor.Seconds()
		a.used = max(min(before+float64(size)-a.late(now, float64(size)), most), 0)
		out[name] = int(a.used - before)
	}
	return out
}

// Used returns what all have used of each limit, as Levels takes it.
func (l *Limiter) Used(now time.Time) map[string]int {
	out := map[string]int{}
	for name, a := range l.accounts {
		l.settle(now, a)
		if used := int(math.Round(a.used / max(a.share, leastShare))); used > 0 {
			out[name] = used
		}
	}
	return out
}

// leastShare keeps what was used from growing without bound where no part is known.
const leastShare = 0.001

// tight tells whether some organisation has used more than half of its room.
func (l *Limiter) tight(now time.Time) bool {
	for _, a := range l.accounts {
		l.settle(now, a)
		if 2*a.used > l.bounds.room(a.limit)*a.share {
			return true
		}
	}
	return false
}

// Rules for telling.
const (
	// tellPart is the part of the room left, of that of one gateway, from which on what
	// was used is told at once: so much less is known to be left by all together.
	tellPart = 32
	// tellEvery is how long it may wait else.
	tellEvery = 400 * time.Millisecond
)

// worth tells whether a use that others have not heard of for a time has to be told.
func (l *Limiter) worth(now time.Time, name string, untold float64, since time.Time) bool {
	if untold == 0 {
		return false
	}
	a := l.accounts[name]
	if a == nil || now.Sub(since) >= tellEvery {
		return true
	}
	l.settle(now, a)
	left := l.bounds.room(a.limit)*a.share - a.used
	return math.Abs(untold)*tellPart >= left*l.part.Alone
}

// Untold returns what this gateway has used that has to be told now, by organisation;
// nil if nothing has. It counts as told.
func (l *Limiter) Untold(now time.Time) map[string]int {
	var out map[string]int
	for name, a := range l.accounts {
		if !l.worth(now, name, a.untold, a.toldAt) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		told := math.Trunc(a.untold)
		out[name] = int(told)
		a.untold -= told
		a.toldAt = now
	}
	return out
}
