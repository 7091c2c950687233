package dispatch

import "time"

// Constants of the time after which a caller that found no room comes back.
const (
	// returnFrom and returnTo are the parts of the mean time of a run between which
	// callers are spread: by then all runs that fill the engines have ended. Whoever comes
	// back is late however long it stayed away, and sooner it takes room from a caller
	// who can still be served in time: 0.9 to 1.4 was worth 0.02 less under bursts of
	// four seconds before runs of three.
	minRetryRuns = 1.2
	maxRetryRuns = 1.6
	// firstRunTime is the mean time of a run until runs have shown it.
	initialRunTime = 3 * time.Second
	// leastReturn and mostReturn bound the time. Callers heed a third of the time that
	// they have left, which is 4.6 s of the usual 14.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4500 * time.Millisecond
)

// ReturnAfter returns how long a caller that finds no room stays away. Run is the mean
// time of a run of late, zero if none is known; read is the least time in which the
// caller's prompt would be read; draw is evenly spread in [0, 1).
func RetryAfter(run, prefill time.Duration, draw float64) time.Duration {
	if run <= 0 {
		run = initialRunTime
	}
	after := time.Duration((minRetryRuns + draw*(maxRetryRuns-minRetryRuns)) * float64(run))
	return min(max(after, prefill, minRetryAfter), maxRetryAfter)
}
