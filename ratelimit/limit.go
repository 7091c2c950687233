package ratelimit

import (
	"math"
	"time"
)

// Word is what one answer of a server says of its limit.
type Word struct {
	// Named tells that the answer names a limit, which is Rate requests a second from all
	// gateways together.
	Named bool
	Rate  float64
	// Sent is when the request went out, Heard when its answer came: the server said it in
	// between.
	Sent, Heard time.Time
}

// tighter tells whether a word allows less than another one.
func (w Word) tighter(o Word) bool { return w.Named && (!o.Named || w.Rate < o.Rate) }

// Same tells whether two words allow as much.
func (w Word) Same(o Word) bool { return w.Named == o.Named && (!w.Named || w.Rate == o.Rate) }

// Times of a limit.
const (
	// settle is how long after a word was heard the request must have been sent whose answer
	// allows more. Words of other gateways are dated by how long they took to come, which is
	// not known to some tenths of a second.
	settle = 500 * time.Millisecond
	// rampStep is the time in which the rate doubles after the end of a limit, and rampFor the
	// time after which there is none: gateways that have kept away must not all come back at
	// once.
	rampStep = 250 * time.Millisecond
	rampFor  = 2 * time.Second
)

// leastRate is the least number of requests a second that is sent to a limited server: only an
// answer tells that the limit has ended.
const leastRate = 0.5

// Limit is what is known of the limit of one start of a server. The zero value is no limit.
type Limit struct {
	word Word
	// before is the rate of the limit that ended at endedAt.
	before  float64
	endedAt time.Time
}

// Take takes a word at a time. Answers on separate connections overtake each other, so a word
// that allows more counts only if its request was sent after the limit was heard, and one that
// allows less unless it was heard before the request of the newest word was sent. It returns
// whether what is allowed has changed.
func (l *Limit) Take(now time.Time, w Word) bool {
	if w.Same(l.word) {
		l.word.Sent, l.word.Heard = latest(l.word.Sent, w.Sent), latest(l.word.Heard, w.Heard)
		return false
	}
	if w.tighter(l.word) {
		if !l.word.Sent.IsZero() && !w.Heard.After(l.word.Sent) {
			return false
		}
	} else if !l.Loosens(w) {
		return false
	}
	if !w.Named {
		l.before, l.endedAt = l.rate(), now
	}
	l.word = w
	return true
}

// Loosens tells whether a word would allow more than what is known, and is newer.
func (l *Limit) Loosens(w Word) bool {
	return !w.Same(l.word) && !w.tighter(l.word) && w.Sent.After(l.word.Heard.Add(settle))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Word returns the newest word.
func (l *Limit) Word() Word { return l.word }

// rate returns what the newest word allows, at least so much that the limit's end is noticed.
func (l *Limit) rate() float64 { return max(l.word.Rate, leastRate) }

// Rate returns how many requests a second all gateways together may send; false if there is no
// limit. After its end the rate rises for a while.
func (l *Limit) Rate(now time.Time) (float64, bool) {
	if l.word.Named {
		return l.rate(), true
	}
	since := now.Sub(l.endedAt)
	if l.endedAt.IsZero() || since >= rampFor {
		return 0, false
	}
	return l.before * math.Exp2(max(since, 0).Seconds()/rampStep.Seconds()), true
}
