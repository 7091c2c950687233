package policybench

import (
	"container/heap"
	"time"
)

// start is the first moment of virtual time.
var start = time.Unix(1_000_000, 0)

// clock runs events in order of virtual time; events of the same time run in the order in which
// they were added.
type clock struct {
	now    time.Time
	seq    int
	events eventHeap
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// after calls do after d.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.events, event{t, c.seq, do})
}

// run runs all events until end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// every calls do every d.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
