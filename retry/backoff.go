package retry

import "time"

// Backoff spaces attempts that will keep failing for a while: the maximum pause doubles with each
// failure, and the pause is random up to that, so that processes which started together don't retry
// together (full jitter, as in M. Brooker, "Exponential Backoff And Jitter", 2015). Min is the
// shortest pause, so that no random number leads to a burst.
type Backoff struct {
	Min, Max time.Duration
}

// Pause returns how long to wait after a number of consecutive failures. random must be in [0, 1).
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
