package retry

import "time"

// Backoff spaces tries whose failure will not pass by itself soon: the most that a pause may
// last doubles with each, and where in it the next try lies is left to chance, so that
// processes that began together do not come together (full jitter, as in M. Brooker,
// "Exponential Backoff And Jitter", 2015). First is the least pause, so that no draw gives
// a burst.
type Backoff struct {
	Min, Max time.Duration
}

// Pause returns how long to wait after some failures in a row, for a random number of
// [0, 1).
func (b Backoff) Pause(failures int, random float64) time.Duration {
	maxPause := b.Min
	for range failures {
		if maxPause = 2 * maxPause; maxPause >= b.Max {
			maxPause = b.Max
			break
		}
	}
	return b.Min + time.Duration(random*float64(maxPause-b.Min))
}
