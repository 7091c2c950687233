package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// An engine whose memory runs out takes a run's KV cache away and reads it anew
// later, in the middle of its stream. Reservations can't prevent that: they rest
// on what callers guess of their answers, and an engine has too few runs for the
// errors to even out. So a run moves on, with its KV cache, to an engine with
// room while its own is about to run out.

// Constants of migration.
const (
	// fullMark is the part of an engine's memory from which on its runs move
	// away, at leastUrgency at first and at 1 when it is full. The urgency is the
	// number of runs that leave while each of them makes one event: they belong to
	// many gateways, which hear of each other with a lag of some events.
	fullLevel  = 0.90
	minUrgency = 0.25
	// roomMark is the part of an engine's memory that its runs may have when
	// one more comes.
	targetLevel = 0.80
	// leaveTime is the time in which runs move away from an engine that leaves: one
	// that can't goes back there, which must be before the engine takes no more.
	leavingMigrationTime = 500 * time.Millisecond
)

// Reason tells why a run should leave its engine.
type MigrationReason string

// The reasons.
const (
	Stay    MigrationReason = ""
	Full    MigrationReason = "full"
	Leaving MigrationReason = "leaving"
)

// Leave tells why a run that has made another event should leave its engine, if
// it should; draw is evenly spread in [0, 1).
func (f *Fleet) MigrationReason(now time.Time, id string, e *route.Engine, draw float64) MigrationReason {
	s := f.servers[id]
	if s == nil || s.gone || s.evacuated || s.pause.Active(now) || e.KVTokens <= 0 {
		return Stay // what runs in a zone that is being evacuated ends there; one that wants a pause is not asked to move
	}
	if s.State == registry.Draining {
		if now.Sub(s.leavingSince) < leavingMigrationTime {
			return Leaving
		}
		return Stay
	}
	runs, level := s.Own.Runs+s.Others.Runs, float64(f.currentTokens(s))/float64(e.KVTokens)
	if runs < 2 || level < fullLevel {
		return Stay
	}
	urgency := min(max((level-fullLevel)/(1-fullLevel), minUrgency), 1)
	if draw*float64(runs) < urgency {
		return Full
	}
	return Stay
}

// MigrationTarget returns an engine that a run can move to, or nil. Pick, in [0, 1),
// chooses among those with room: the emptiest of them is known to all gateways,
// and runs that all went there would not find room.
func (f *Fleet) MigrationTarget(now time.Time, from string, w Work, e *route.Engine, pick float64) *Server {
	s := f.servers[from]
	if s == nil {
		return nil
	}
	remaining := Work{Service: w.Service, Regions: w.Regions, Prompt: w.currentTokens(), Expected: max(w.Expected-w.Generated, 0)}
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

// roomNow tells whether a request's tokens would fill less than a part of an
// engine's memory, by what its runs have now.
func (f *Fleet) fitsNow(s *Server, w Work, e *route.Engine, share float64) bool {
	return float64(f.currentTokens(s)+w.currentTokens()) <= share*float64(e.KVTokens)
}
