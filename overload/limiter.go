package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A gateway that gets more than it can carry has to refuse some requests, or it serves almost none in time:
// all wait, callers give up while servers still work for them, and their next attempts keep the gateway
// full. What it can carry is not known in advance. The limiter learns it from what the gateway carries while
// work waits in it, and then admits as much as fits, before the delay grows again.

const (
	// highDelay is the own delay from which a gateway carries as much as it can, lowDelay the one below
	// which it could carry more.
	highDelay = 20 * time.Millisecond
	lowDelay  = 5 * time.Millisecond
	// minCapacity is the least capacity in bytes a second, less than any VM's link carries.
	minCapacity = 128 << 10
	// loadedShare is the share of the most that was carried without a delay, in calmTime, from which a
	// delay is taken for an effect of the load. A VM may be slow for other reasons, and refusals don't help.
	loadedShare = 0.7
	calmTime    = time.Minute
	// headroom is the share of the capacity that is used, so that queues empty.
	headroom = 0.95
	// What may be used falls with the delay, to nothing at drainTime, so that queues shorten; minDrain
	// bounds that.
	drainTime = 500 * time.Millisecond
	minDrain  = 0.4
	// cutInterval is the minimum time between two reductions of the capacity, since one takes effect
	// only when queues empty. Each multiplies it by stepDown or less, but not by less than maxCut.
	cutInterval = 300 * time.Millisecond
	stepDown    = 0.93
	// shrinking is the ratio of the delay to that at the last reduction below which there is no other.
	shrinking = 0.9
	maxCut    = 0.7
	// minGrowth and maxGrowth bound the growth of the capacity a second while requests are refused and
	// nothing waits; it speeds up by growthFactor a second.
	minGrowth, maxGrowth = 0.2, 1.0
	growthFactor         = 2.0
	// maxUnused bounds the ratio of the capacity to what is carried while it grows.
	maxUnused = 1.3
	// forgetTime is how long after the last refusal there is no limit any more.
	forgetTime = time.Minute
	// carriedTime and arrivalTime are the times over which rates of bytes and of requests are averaged.
	carriedTime = 250 * time.Millisecond
	arrivalTime = 500 * time.Millisecond
	// longTime is the duration from which a request counts as a constant load for as long as it lasts.
	longTime = 250 * time.Millisecond
	// longSlack is the factor by which the share of less urgent long requests is raised, since what is in
	// progress bounds them too.
	longSlack = 1.25
	// smallCost is the cost in bytes up to which a request is served before others: to refuse it would
	// cost a good part of that too.
	smallCost = 12 << 10
	// fairShare is the share of an equal part that each class gets at least.
	fairShare = 0.5
	// costWeight is the weight of the newest request in the averages of a class.
	costWeight = 0.1
	// ReceiveCost is the cost in bytes of receiving a request without its body and of refusing it: heads,
	// connections and packets. SendCost is that of sending it on and of its answer.
	ReceiveCost = 1 << 10
	SendCost    = 1 << 10
)

// Class is a class of requests that are treated alike. Lower ranks are more urgent.
type Class struct {
	Route string
	Rank  int
}

// classState is what the limiter knows about a class.
type classState struct {
	// arrived and admitted are the rates of requests a second.
	arrived, admitted rate
	// cost is the mean cost of a request in bytes, and duration how long it takes, in seconds.
	cost, duration float64
	// known is set once a request has shown both; until then they are an estimate.
	known bool
	// active is the number of requests in progress.
	active int
	// share is the share of the requests that is admitted.
	share float64
}

func (c *classState) small() bool { return c.cost <= smallCost }

func (c *classState) long() bool { return !c.small() && c.duration >= longTime.Seconds() }

// load returns the bytes a second that the requests in progress cost.
func (c *classState) load(now time.Time) float64 {
	if c.long() {
		return float64(c.active) * c.cost / c.duration
	}
	return c.admitted.read(now) * c.cost
}

// Limiter decides which requests a gateway admits. Its load: up to some thousand requests a second in some
// tens of classes, at a gateway that usually gets a few of them.
type Limiter struct {
	classes map[Class]*classState
	// carried are all bytes, refused those of requests that were refused.
	carried, refused rate
	// calm is the recent maximum of what was carried without a limit.
	calm recentMax
	// capacity is what the gateway can carry for the requests that it admits, in bytes a second; zero if
	// it isn't known.
	capacity float64
	growth   float64
	// usable is the part of the capacity that may be used now.
	usable float64
	// longLimit is what long requests in progress may cost, in bytes a second.
	longLimit                   float64
	updatedAt, cutAt, refusedAt time.Time
	// cutDelay is the delay at the last reduction of the capacity.
	cutDelay time.Duration
}

// NewLimiter returns a limiter that admits everything until work waits in the gateway.
func NewLimiter() *Limiter {
	return &Limiter{classes: map[Class]*classState{}, carried: rate{over: carriedTime}, refused: rate{over: arrivalTime}}
}

// Capacity returns what the gateway can carry, in bytes a second; zero if there is no limit.
func (l *Limiter) Capacity() float64 { return l.capacity }

// NoteCarried records bytes that the gateway has received or sent.
func (l *Limiter) NoteCarried(now time.Time, bytes int) { l.carried.add(now, float64(bytes)) }

// Estimate is what a request of a class that nothing is known of may cost in bytes, and how long it may take.
type Estimate struct {
	Cost     int
	Duration time.Duration
}

func (l *Limiter) class(c Class, e Estimate) *classState {
	s := l.classes[c]
	if s == nil {
		s = &classState{cost: float64(max(e.Cost, ReceiveCost+SendCost)), duration: e.Duration.Seconds(), share: 1, arrived: rate{over: arrivalTime}, admitted: rate{over: arrivalTime}}
		l.classes[c] = s
	}
	return s
}

// Admit reports whether a request of which some bytes have been received is admitted, given a random number in
// [0, 1). Done has to be called at the end of one that is.
func (l *Limiter) Admit(now time.Time, c Class, e Estimate, received int, draw float64) bool {
	s := l.class(c, e)
	s.arrived.add(now, 1)
	if l.capacity > 0 && (draw >= s.share || s.long() && l.longLoad(now)+s.cost/s.duration > l.longLimit) {
		l.refused.add(now, float64(received))
		l.refusedAt = now
		return false
	}
	s.admitted.add(now, 1)
	s.active++
	return true
}

// Done records the end of a request that was admitted. Only one that was served in full shows what its class
// costs.
func (l *Limiter) Done(c Class, served bool, cost int, took time.Duration) {
	s := l.class(c, Estimate{})
	s.active--
	if !served {
		return
	}
	weight := costWeight
	if !s.known {
		s.known, weight = true, 1
	}
	s.cost += weight * (float64(cost) - s.cost)
	s.duration += weight * (max(took.Seconds(), 0.001) - s.duration)
}

// Share returns the recent share of the requests of a class that were admitted.
func (l *Limiter) Share(now time.Time, c Class) float64 {
	s := l.class(c, Estimate{})
	if arrived := s.arrived.read(now); l.capacity > 0 && arrived > 0 {
		return min(s.admitted.read(now)/arrived, 1)
	}
	return 1
}

// longLoad returns the bytes a second of the long requests in progress.
func (l *Limiter) longLoad(now time.Time) float64 {
	sum := 0.0
	for _, s := range l.classes {
		if s.long() {
			sum += s.load(now)
		}
	}
	return sum
}

// Update adapts the capacity to the gateway's own delay, and the shares to what arrives. It is called some
// tens of times a second.
func (l *Limiter) Update(now time.Time, delay time.Duration) {
	elapsed := now.Sub(l.updatedAt).Seconds()
	l.updatedAt = now
	l.forgetClasses(now)
	switch {
	case delay >= highDelay:
		l.cut(now, delay)
	case l.capacity == 0:
		l.calm.note(now, l.carried.read(now))
		return
	case now.Sub(l.refusedAt) > forgetTime && now.Sub(l.cutAt) > forgetTime:
		l.capacity = 0
		return
	case delay <= lowDelay && now.Sub(l.refusedAt) < time.Second && l.capacity < maxUnused*l.carried.read(now):
		l.growth = min(l.growth*math.Pow(growthFactor, elapsed), maxGrowth)
		l.capacity *= 1 + l.growth*min(elapsed, 1)
	}
	drain := 1 - float64(max(delay-lowDelay, 0))/float64(drainTime)
	l.usable = headroom * l.capacity * max(drain, minDrain)
	l.allocate(now)
}

// forgetClasses forgets classes without recent requests, such as those of routes that are gone.
func (l *Limiter) forgetClasses(now time.Time) {
	for c, s := range l.classes {
		if s.active == 0 && now.Sub(s.arrived.at) > forgetTime {
			delete(l.classes, c)
		}
	}
}

// cut takes what the gateway carries while work waits in it for its capacity, and again less for as long as the
// delay doesn't shrink.
func (l *Limiter) cut(now time.Time, delay time.Duration) {
	carried := max(l.carried.read(now)-l.refused.read(now), ReceiveCost)
	switch {
	case l.capacity == 0 && carried < loadedShare*l.calm.read(now):
		return // it is slow for another reason than its load
	case l.capacity == 0:
		l.capacity = max(carried, minCapacity)
	case now.Sub(l.cutAt) < cutInterval:
		return
	case float64(delay) >= shrinking*float64(l.cutDelay):
		l.capacity = max(min(stepDown*l.capacity, carried), maxCut*l.capacity, minCapacity)
	}
	l.growth, l.cutAt, l.cutDelay = minGrowth, now, delay
}

// allocate divides the usable capacity: small requests first, since to refuse one saves little and it comes
// again, and then the others by urgency. Each class gets fairShare of an equal part at least.
func (l *Limiter) allocate(now time.Time) {
	var others []*allocation
	small, total := 0.0, 0.0
	for c, s := range l.classes {
		demand := s.arrived.read(now) * s.cost
		total += demand
		if s.small() {
			small += demand
		} else {
			others = append(others, &allocation{state: s, rank: c.Rank, demand: demand})
		}
	}
	fair := fairShare * min(l.usable/max(total, 1), 1)
	l.longLimit = max(l.usable-small, fair*(total-small))
	share := min(max(l.usable-l.longLimit, fair*small)/max(small, 1), 1)
	for _, s := range l.classes {
		if s.small() {
			s.share = share
		}
	}
	allocateByRank(others, l.longLimit, fair)
}

// allocateByRank divides a limit among classes, the more urgent ones first. Each gets a share of its demand at
// least. Long requests of those that get the rest need no share: what is in progress bounds them.
func allocateByRank(list []*allocation, limit, least float64) {
	slices.SortFunc(list, func(a, b *allocation) int { return cmp.Compare(a.rank, b.rank) })
	rest := limit
	for _, a := range list {
		rest -= least * a.demand
	}
	for first := 0; first < len(list); {
		end, need := first, 0.0
		for ; end < len(list) && list[end].rank == list[first].rank; end++ {
			need += (1 - least) * list[end].demand
		}
		more := min(max(rest, 0)/max(need, 1), 1)
		for _, a := range list[first:end] {
			a.state.share = least + more*(1-least)
			switch {
			case !a.state.long():
			case first == 0:
				a.state.share = 1
			default:
				a.state.share = min(longSlack*a.state.share, 1)
			}
		}
		rest -= more * need
		first = end
	}
}

// allocation is a class that takes part in a division of the capacity.
type allocation struct {
	state  *classState
	rank   int
	demand float64
}

// rate is an exponential average of an amount a second.
type rate struct {
	over  time.Duration
	at    time.Time
	value float64
}

func (r *rate) add(now time.Time, n float64) {
	r.value, r.at = r.read(now)+n/r.over.Seconds(), now
}

func (r *rate) read(now time.Time) float64 {
	return r.value * math.Exp(-max(now.Sub(r.at).Seconds(), 0)/r.over.Seconds())
}

// recentMax is the maximum of a quantity over the last calmTime to twice that.
type recentMax struct {
	since             time.Time
	current, previous float64
}

func (m *recentMax) note(now time.Time, v float64) {
	switch {
	case now.Sub(m.since) >= 2*calmTime:
		*m = recentMax{since: now, current: v}
	case now.Sub(m.since) >= calmTime:
		*m = recentMax{since: now, previous: m.current, current: v}
	default:
		m.current = max(m.current, v)
	}
}

func (m *recentMax) read(now time.Time) float64 {
	if now.Sub(m.since) >= 2*calmTime {
		return 0
	}
	return max(m.current, m.previous)
}
