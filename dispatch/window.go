package dispatch

import "time"

// window counts two kinds of things in a sliding window, in parts of its time. Parts count
// from the first use on, on the clock that is passed in.
type window struct {
	// part is the length of a part.
	bucketTime time.Duration
	start      time.Time
	// parts hold the counts, each with the number of its part, from one on.
	buckets []counts
}

type counts struct {
	number int64
	a, b   int
}

// newWindow returns a window of some parts.
func newWindow(buckets int, bucketTime time.Duration) window {
	return window{bucketTime: bucketTime, buckets: make([]counts, buckets)}
}

// at returns the counts of the part that a time lies in.
func (w *window) at(now time.Time) *counts {
	if w.start.IsZero() {
		w.start = now
	}
	number := 1 + int64(now.Sub(w.start)/w.bucketTime)
	c := &w.buckets[number%int64(len(w.buckets))]
	if c.number != number {
		*c = counts{number: number}
	}
	return c
}

// sum returns what counts at a time.
func (w *window) sum(now time.Time) (a, b int) {
	if w.start.IsZero() {
		return 0, 0
	}
	newest := 1 + int64(now.Sub(w.start)/w.bucketTime)
	for _, c := range w.buckets {
		if c.number > 0 && newest-c.number < int64(len(w.buckets)) {
			a, b = a+c.a, b+c.b
		}
	}
	return a, b
}
