package ratelimit

import (
	"math"
	"time"
)

// Observation is what one answer of a server says of its limit.
type Observation struct {
	// Limited tells that the answer names a limit, which is Rate requests a second from all
	// gateways together.
	Limited bool
	Rate    float64
	// Sent is when the request went out, Received when its answer came: the server said it in
	// between.
	Sent, Received time.Time
}

// tighter tells whether an observation allows less than another one.
func (o Observation) tighter(other Observation) bool {
	return o.Limited && (!other.Limited || o.Rate < other.Rate)
}

// Same tells whether two observations allow as much.
func (o Observation) Same(other Observation) bool {
	return o.Limited == other.Limited && (!o.Limited || o.Rate == other.Rate)
}

// Times of a limit.
const (
	// loosenMargin is how long after an observation was heard the request must have been sent whose answer
	// allows more. Observations of other gateways are dated by how long they took to come, which is
	// not known to some tenths of a second.
	loosenMargin = 500 * time.Millisecond
	// rampDoubling is the time in which the rate doubles after the end of a limit, and rampFor the
	// time after which there is none: gateways that have kept away must not all come back at
	// once.
	rampDoubling = 250 * time.Millisecond
	rampDuration = 2 * time.Second
)

// minRate is the least number of requests a second that is sent to a limited server: only an
// answer tells that the limit has ended.
const minRate = 0.5

// Limit is what is known of the limit of one start of a server. The zero value is no limit.
type Limit struct {
	observed Observation
	// previousRate is the rate of the limit that ended at endedAt.
	previousRate float64
	endedAt      time.Time
}

// Observe takes an observation at a time. Answers on separate connections overtake each other, so an observation
// that allows more counts only if its request was sent after the limit was heard, and one that
// allows less unless it was heard before the request of the newest observation was sent. It returns
// whether what is allowed has changed.
func (l *Limit) Observe(now time.Time, o Observation) bool {
	if o.Same(l.observed) {
		l.observed.Sent, l.observed.Received = latest(l.observed.Sent, o.Sent), latest(l.observed.Received, o.Received)
		return false
	}
	if o.tighter(l.observed) {
		if !l.observed.Sent.IsZero() && !o.Received.After(l.observed.Sent) {
			return false
		}
	} else if !l.Loosens(o) {
		return false
	}
	if !o.Limited {
		l.previousRate, l.endedAt = l.rate(), now
	}
	l.observed = o
	return true
}

// Loosens tells whether an observation would allow more than what is known, and is newer.
func (l *Limit) Loosens(o Observation) bool {
	return !o.Same(l.observed) && !o.tighter(l.observed) && o.Sent.After(l.observed.Received.Add(loosenMargin))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Newest returns the newest observation.
func (l *Limit) Newest() Observation { return l.observed }

// rate returns what the newest observation allows, at least so much that the limit's end is noticed.
func (l *Limit) rate() float64 { return max(l.observed.Rate, minRate) }

// Rate returns how many requests a second all gateways together may send; false if there is no
// limit. After its end the rate rises for a while.
func (l *Limit) Rate(now time.Time) (float64, bool) {
	if l.observed.Limited {
		return l.rate(), true
	}
	since := now.Sub(l.endedAt)
	if l.endedAt.IsZero() || since >= rampDuration {
		return 0, false
	}
	return l.previousRate * math.Exp2(max(since, 0).Seconds()/rampDoubling.Seconds()), true
}
