package dispatch

import "time"

// window counts two kinds of events, a and b, in a sliding window of buckets. Buckets are
// numbered from the first use, on the clock that callers pass in.
type window struct {
	// bucketTime is the length of a bucket.
	bucketTime time.Duration
	start      time.Time
	// buckets holds the counts, each with the number of its bucket, which begins at one.
	buckets []counts
}

type counts struct {
	number int64
	a, b   int
}

// newWindow returns a window with the given number of buckets.
func newWindow(buckets int, bucketTime time.Duration) window {
	return window{bucketTime: bucketTime, buckets: make([]counts, buckets)}
}

// at returns the bucket that contains a time.
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

// sum returns the counts of the window that ends at a time.
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
