package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Load: prompts of 5,200 tokens with answers of 980 at a token every 3.6 ms. The eight runs that
// fill an engine of 48,649 tokens add 2% of its memory in half a second, and a fixed reserve of
// 10% rejects requests for which there is memory. Where answers are long and fast (nine runs
// that add 1.7 tokens a millisecond together), half a second adds 8%, and with a reserve of less
// than 10% engines would run out of memory. So the share of its memory that an engine may fill
// follows from what its runs add until a migration relieves it.

// Constants of the full level.
const (
	// minFullLevel is the lowest full level, and the level without a prediction or without
	// migrations.
	minFullLevel = 0.90
	// maxFullLevel bounds the full level where runs are few or slow: two gateways whose views
	// are 100 ms old may choose the same engine, which then has no memory for growth.
	maxFullLevel = 0.97
	// reliefTime is the time in which a migration relieves an engine: 100 ms until the gateways
	// learn of its load, migrationStartTime, and 200 ms for the two copies of the run.
	reliefTime = 500 * time.Millisecond
	// migrationStartTime is the time until a run begins to migrate (see minUrgency).
	migrationStartTime = 200 * time.Millisecond
	// reliefMargin is the time that a migration takes longer if its first attempt fails: the
	// run tries again 150 ms later, with its next event, which may take 230 ms. A shorter margin
	// let engines preempt more runs.
	reliefMargin = 500 * time.Millisecond
)

// SetTokenTime sets the observed time per generated token of a run of a service; zero if
// unknown.
func (f *Fleet) SetTokenTime(service string, d time.Duration) {
	if f.tokenTimes == nil {
		f.tokenTimes = map[string]time.Duration{}
	}
	f.tokenTimes[service] = d
}

// fullLevel returns the share of an engine's memory that current tokens may fill, such that the
// memory suffices for what its runs and a number of added ones generate within reliefTime
// and reliefMargin. It is minFullLevel if that is not known.
func (f *Fleet) fullLevel(s *Server, e *route.Engine, added int) float64 {
	token := f.tokenTimes[s.Service]
	if token <= 0 || e.KVTokens <= 0 || !e.Migrates {
		return minFullLevel
	}
	runs := float64(f.addUnknown(s.Own.Runs+s.Others.Runs) + added)
	// A run's tokens are known up to its last event.
	growth := runs * (float64(reliefTime+reliefMargin)/float64(token) + float64(e.EventTokens))
	free := growth + f.unknownMargin(s)
	return min(max(1-free/float64(e.KVTokens), minFullLevel), maxFullLevel)
}

// fitsLevel reports whether a request's tokens and the current ones of an engine fill at most a
// share of the memory up to the full level. The level is only computed if the result depends on it,
// since a choice looks at many engines.
func (f *Fleet) fitsLevel(s *Server, w Work, e *route.Engine, share float64) bool {
	return f.fitsNow(s, w, e, share*minFullLevel) ||
		f.fitsNow(s, w, e, share*maxFullLevel) && f.fitsNow(s, w, e, share*f.fullLevel(s, e, 1))
}

// unknownMargin returns the tokens by which the estimate of addUnknown is too low if the unknown
// gateways have reserved as much as the others.
func (f *Fleet) unknownMargin(s *Server) float64 {
	return (1 - unknownLoadShare) * float64(s.Own.Held+s.Others.Held) * f.Others.unknownRatio()
}

// minUrgency returns the urgency of migrations at the full level: at least the one at which a run
// begins to migrate within migrationStartTime.
func (f *Fleet) minUrgency(s *Server, e *route.Engine) float64 {
	event := float64(f.tokenTimes[s.Service]) * float64(e.EventTokens)
	return min(max(event/float64(migrationStartTime), initialUrgency), 1)
}

// MeanFullLevel returns the mean full level of the decode engines of a service if each gets a
// further run; zero if no engine is known.
func (f *Fleet) MeanFullLevel(now time.Time, service string, e *route.Engine) float64 {
	list := f.group(now, service, registry.Decode)
	sum := 0.0
	for _, s := range list {
		sum += f.fullLevel(s, e, 1)
	}
	return sum / float64(max(len(list), 1))
}
