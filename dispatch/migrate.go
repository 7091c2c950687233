package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// An engine that runs out of memory drops a run's KV cache and computes it again later, in
// the middle of the run's stream. Reservations can't prevent that: they depend on what
// callers guess about the length of their answers, and an engine has too few runs for the
// errors to cancel out. So while an engine is about to run out of memory, runs migrate with
// their KV caches to an engine with capacity.

// Constants of migration.
const (
	// initialUrgency is the least urgency of migrations from a full engine. The urgency rises
	// to 1 until its memory is full. It is the number of runs that leave while each of them
	// produces one event: the runs belong to many gateways, which receive each other's loads
	// with a delay of some events.
	initialUrgency = 0.25
	// targetLevel is the largest share of an engine's memory that its current tokens may fill
	// when a run migrates there. A level that follows the growth of runs causes more
	// migrations and prevents no more preemptions.
	targetLevel = 0.80
	// leavingMigrationTime is the time in which runs migrate away from a leaving engine. A
	// run whose migration fails goes back there, which must happen before the engine accepts
	// no more.
	leavingMigrationTime = 500 * time.Millisecond
)

// MigrationReason is the reason why a run should migrate.
type MigrationReason string

// The reasons. Stay means no migration.
const (
	Stay    MigrationReason = ""
	Full    MigrationReason = "full"
	Leaving MigrationReason = "leaving"
)

// MigrationReason returns why a run that has produced another event should leave its engine,
// or Stay; draw is uniform in [0, 1).
func (f *Fleet) MigrationReason(now time.Time, id string, e *route.Engine, draw float64) MigrationReason {
	s := f.servers[id]
	if s == nil || s.gone || s.evacuated || s.pause.Active(now) || e.KVTokens <= 0 {
		return Stay // runs in an evacuated zone end there, and a paused server gets no calls for a migration
	}
	if s.State == registry.Draining {
		if now.Sub(s.leavingSince) < leavingMigrationTime {
			return Leaving
		}
		return Stay
	}
	runs, level := s.Own.Runs+s.Others.Runs, float64(f.currentTokens(s))/float64(e.KVTokens)
	full := f.fullLevel(s, e, 0)
	if runs < 2 || level < full {
		return Stay
	}
	urgency := min(max((level-full)/(1-full), f.minUrgency(s, e)), 1)
	if draw*float64(runs) < urgency {
		return Full
	}
	return Stay
}

// MigrationTarget returns an engine that a run can migrate to, or nil. pick, in [0, 1),
// chooses among the engines with capacity: all gateways see the same emptiest one, which
// would have no capacity for runs that all migrated there.
func (f *Fleet) MigrationTarget(now time.Time, from string, w Work, e *route.Engine, pick float64) *Server {
	s := f.servers[from]
	if s == nil {
		return nil
	}
	remaining := Work{Service: w.Service, Regions: w.Regions, Pinned: true, Version: s.Version, Prompt: w.currentTokens(), Expected: max(w.Expected-w.Generated, 0)}
	if s.Version == "" && f.versions.Mixed(w.Service) {
		return nil
	}
	byProximity := map[Proximity][]*Server{}
	f.search(now, w.Service, registry.Decode, func(to *Server) bool {
		if to.ID == from || !f.eligibleFor(now, to, remaining, nil) || !f.fits(to, remaining, e) || !f.fitsNow(to, remaining, e, targetLevel) {
			return false
		}
		proximity := f.proximity(s.Zone, to.Zone)
		byProximity[proximity] = append(byProximity[proximity], to)
		return true
	})
	for proximity := SameZone; proximity <= OtherRegion; proximity++ {
		if list := byProximity[proximity]; len(list) > 0 {
			return list[int(pick*float64(len(list)))]
		}
	}
	return nil
}

// fitsNow reports whether a request's tokens, together with the current tokens of the runs
// there, fill at most a share of an engine's memory.
func (f *Fleet) fitsNow(s *Server, w Work, e *route.Engine, share float64) bool {
	return float64(f.currentTokens(s)+w.currentTokens()) <= share*float64(e.KVTokens)
}
