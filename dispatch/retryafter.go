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
	// minSpreadRuns is the least range of times, in mean durations of a run, and minRetrySpread the
	// least range before the latest time.
	minSpreadRuns  = 0.2
	minRetrySpread = 1500 * time.Millisecond
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
	from, to := retryRange(run, prefill)
	return from + time.Duration(draw*float64(to-from))
}

// retryRange returns the times between which callers retry. Callers that were refused at once would return at
// once if long runs, or a long queue of prompts, left them no range before the latest time.
func retryRange(run, prefill time.Duration) (from, to time.Duration) {
	if run <= 0 {
		run = initialRunTime
	}
	from = max(time.Duration(minRetryRuns*float64(run)), prefill, minRetryAfter)
	to = max(time.Duration(maxRetryRuns*float64(run)), from+time.Duration(minSpreadRuns*float64(run)))
	if to > maxRetryAfter {
		to = maxRetryAfter
		from = min(from, to-minRetrySpread)
	}
	return from, to
}
