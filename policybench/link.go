package policybench

import (
	"math"
	"time"
)

// transfer is a KV transfer in progress.
type transfer struct {
	from, to  *server
	owner     *entry
	remaining float64 // bytes
	rate      float64
	done      func()
	stopped   bool
}

// links shares the rate of each server's link evenly among its transfers. A transfer gets the
// smaller of the shares at its two ends.
type links struct {
	b          *bench
	active     []*transfer
	updatedAt  time.Time
	generation int
}

func (l *links) start(t *transfer) {
	l.updateRemaining()
	l.active = append(l.active, t)
	t.from.transfers++
	t.to.transfers++
	l.scheduleNextEnd()
}

// stop ends a transfer without its result.
func (l *links) stop(t *transfer) {
	l.updateRemaining()
	l.remove(t)
	l.scheduleNextEnd()
}

func (l *links) remove(t *transfer) {
	for i, a := range l.active {
		if a == t {
			l.active = append(l.active[:i], l.active[i+1:]...)
			t.from.transfers--
			t.to.transfers--
			t.stopped = true
			return
		}
	}
}

// updateRemaining updates the remaining bytes of all transfers to the current time.
func (l *links) updateRemaining() {
	dt := l.b.now.Sub(l.updatedAt).Seconds()
	l.updatedAt = l.b.now
	for _, t := range l.active {
		t.remaining -= t.rate * dt
	}
}

// scheduleNextEnd computes the rates and schedules the end of the next transfer to complete.
func (l *links) scheduleNextEnd() {
	l.generation++
	gen := l.generation
	next := math.Inf(1)
	for _, t := range l.active {
		t.rate = linkRate / float64(max(t.from.transfers, t.to.transfers, 1))
		if t.to.stalled || t.from.stalled {
			t.rate = 1
		}
		next = min(next, max(t.remaining, 0)/t.rate)
	}
	if math.IsInf(next, 1) {
		return
	}
	l.b.after(time.Duration(next*float64(time.Second))+time.Microsecond, func() {
		if gen == l.generation {
			l.finishTransfers()
		}
	})
}

func (l *links) finishTransfers() {
	l.updateRemaining()
	const rounding = 1 // bytes that may remain because of rounding
	for _, t := range append([]*transfer(nil), l.active...) {
		if t.remaining <= rounding {
			l.remove(t)
			t.done()
		}
	}
	l.scheduleNextEnd()
}
