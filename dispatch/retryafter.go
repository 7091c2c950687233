package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/retryslots"
)

// Constants of the time after which a caller that found no capacity retries.
const (
	// minRetryRuns and maxRetryRuns bound the time, in mean durations of a run, over which
	// callers are spread: by then all runs that fill the engines have ended. A caller that
	// retries is late however long it waited, and a sooner retry takes capacity from a caller
	// that can still be served in time.
	minRetryRuns = 1.2
	maxRetryRuns = 1.6
	// initialRunTime is the mean duration of a run until runs have shown it.
	initialRunTime = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the time.
	minRetryAfter = retryslots.Earliest
	maxRetryAfter = retryslots.Latest
)

// RetryAfter returns the time after which a caller that finds no capacity should retry, without
// regard to what other callers were told; package retryslots has the times that differ. run
// is the mean duration of recent runs, zero if none is known; prefill is the shortest time in
// which the caller's prompt would be prefilled; draw is uniform in [0, 1).
func RetryAfter(run, prefill time.Duration, draw float64) time.Duration {
	if run <= 0 {
		run = initialRunTime
	}
	after := time.Duration((minRetryRuns + draw*(maxRetryRuns-minRetryRuns)) * float64(run))
	return min(max(after, prefill, minRetryAfter), maxRetryAfter)
}
