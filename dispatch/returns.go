package dispatch

import "time"

// Constants of the time after which a caller that found no room comes back.
const (
	// returnFrom and returnTo are the parts of the mean time of a run between which
	// callers are spread: by then the runs that fill the engines have ended, and bursts
	// that are not much longer than a run are over.
	returnFrom = 0.9
	returnTo   = 1.4
	// firstRunTime is the mean time of a run until runs have shown it.
	firstRunTime = 3 * time.Second
	// leastReturn and mostReturn bound the time. Callers heed a third of the time that
	// they have left, which is 4.6 s of the usual 14.
	leastReturn = 500 * time.Millisecond
	mostReturn  = 4500 * time.Millisecond
)

// ReturnAfter returns how long a caller that finds no room stays away. Run is the mean
// time of a run of late, zero if none is known; read is the least time in which the
// caller's prompt would be read; draw is evenly spread in [0, 1).
func ReturnAfter(run, read time.Duration, draw float64) time.Duration {
	if run <= 0 {
		run = firstRunTime
	}
	after := time.Duration((returnFrom + draw*(returnTo-returnFrom)) * float64(run))
	return min(max(after, read, leastReturn), mostReturn)
}
