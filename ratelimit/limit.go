package ratelimit

import (
	"math"
	"time"
)

// Observation is what one answer of a server reports about the server's limit.
type Observation struct {
	// Limited reports whether the answer has a limit, which is Rate requests per second from all
	// gateways together.
	Limited bool
	Rate    float64
	// Sent is when the request was sent, Received when its answer arrived. The server set the limit
	// at some time in between.
	Sent, Received time.Time
}

// tighter reports whether an observation allows less than another one.
func (o Observation) tighter(other Observation) bool {
	return o.Limited && (!other.Limited || o.Rate < other.Rate)
}

// Same reports whether two observations allow the same rate.
func (o Observation) Same(other Observation) bool {
	return o.Limited == other.Limited && (!o.Limited || o.Rate == other.Rate)
}

// Durations of a limit.
const (
	// loosenMargin is how long after the receipt of an observation a request must have been sent
	// for its answer to allow more. Observations of other gateways are dated by their estimated
	// time in transit, which is uncertain by some tenths of a second.
	loosenMargin = 500 * time.Millisecond
	// rampDoubling is the time in which the allowed rate doubles after the end of a limit, and
	// rampDuration the time after which the rate is unlimited: the gateways must not all return at
	// once.
	rampDoubling = 250 * time.Millisecond
	rampDuration = 2 * time.Second
)

// minRate is the lowest rate, in requests per second, at which a limited server gets requests: only
// an answer can report that the limit has ended.
const minRate = 0.5

// Limit is what is known about the limit of one incarnation of a server. The zero value is no
// limit.
type Limit struct {
	observed Observation
	// previousRate is the rate of the limit that ended at endedAt.
	previousRate float64
	endedAt      time.Time
}

// Observe applies an observation and reports whether the allowed rate has changed. Answers on
// separate connections overtake each other. An observation that allows more is therefore applied
// only if its request was sent after the current limit was received, and one that allows less
// unless it was received before the request of the newest observation was sent.
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

// Loosens reports whether an observation is newer and allows more than the current limit.
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

// rate returns the rate that the newest observation allows, but at least minRate, so that the end
// of the limit is noticed.
func (l *Limit) rate() float64 { return max(l.observed.Rate, minRate) }

// Rate returns how many requests per second all gateways together may send, and false if there is
// no limit. After the end of a limit the rate rises for rampDuration.
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
