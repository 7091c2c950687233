package policybench

import (
	"math"
	"time"
)

// transfer is one KV transfer in progress.
type transfer struct {
	from, to *server
	owner    *entry
	left     float64 // bytes
	rate     float64
	done     func()
	gone     bool
}

// links shares the rate of each server's link evenly among its transfers: one
// gets the smaller of the shares at its two ends.
type links struct {
	b      *bench
	active []*transfer
	since  time.Time
	gen    int
}

func (l *links) start(t *transfer) {
	l.progress()
	l.active = append(l.active, t)
	t.from.transfers++
	t.to.transfers++
	l.plan()
}

// stop ends a transfer without its result.
func (l *links) stop(t *transfer) {
	l.progress()
	l.remove(t)
	l.plan()
}

func (l *links) remove(t *transfer) {
	for i, a := range l.active {
		if a == t {
			l.active = append(l.active[:i], l.active[i+1:]...)
			t.from.transfers--
			t.to.transfers--
			t.gone = true
			return
		}
	}
}

// progress moves all transfers to the present.
func (l *links) progress() {
	dt := l.b.now.Sub(l.since).Seconds()
	l.since = l.b.now
	for _, t := range l.active {
		t.left -= t.rate * dt
	}
}

// plan works out the rates and waits for the next end.
func (l *links) plan() {
	l.gen++
	gen := l.gen
	next := math.Inf(1)
	for _, t := range l.active {
		t.rate = linkRate / float64(max(t.from.transfers, t.to.transfers, 1))
		if t.to.stalled || t.from.stalled {
			t.rate = 1
		}
		next = min(next, max(t.left, 0)/t.rate)
	}
	if math.IsInf(next, 1) {
		return
	}
	l.b.after(time.Duration(next*float64(time.Second))+time.Microsecond, func() {
		if gen == l.gen {
			l.finish()
		}
	})
}

func (l *links) finish() {
	l.progress()
	const rest = 1 // bytes that rounding leaves
	for _, t := range append([]*transfer(nil), l.active...) {
		if t.left <= rest {
			l.remove(t)
			t.done()
		}
	}
	l.plan()
}
