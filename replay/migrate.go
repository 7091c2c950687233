package replay

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
)

const (
	// migrationTime is the time from the start of a migration until the run continues at the other
	// engine: the calls and two copies.
	migrationTime = 200 * time.Millisecond
	// minMigrationTokens is the smallest number of expected tokens with which a run migrates.
	minMigrationTokens = 3 * eventTokens
)

// migration is a run that is being copied to another engine. Both engines have memory for it.
type migration struct {
	run      *run
	from, to *engine
	// work is the reservation at the engine to.
	work dispatch.Work
	at   time.Time
}

// considerMigration starts a migration of a run that has produced an event, if its engine is full
// and another one has capacity.
func (s *simulation) considerMigration(e *engine, r *run) {
	fleet, w := r.req.gateway.fleet, r.req.reserved
	if !s.pattern.Migrates || r.migrating || w.Expected-w.Generated < minMigrationTokens {
		return
	}
	if fleet.MigrationReason(s.now, e.id, s.engineRoute, s.rng.Float64()) != dispatch.Full {
		return
	}
	target := fleet.MigrationTarget(s.now, e.id, w, s.engineRoute, s.rng.Float64())
	if target == nil || !s.engines[target.ID].reserveTokens(r.req, r.memory) {
		return
	}
	fleet.Reserve(target.ID, w)
	r.migrating = true
	s.migrations = append(s.migrations, migration{r, e, s.engines[target.ID], w, s.now.Add(migrationTime)})
}

// stepMigrations moves the runs whose copies are complete. A run that has ended or was preempted
// meanwhile doesn't move.
func (s *simulation) stepMigrations() {
	kept := s.migrations[:0]
	for _, m := range s.migrations {
		if m.at.After(s.now) {
			kept = append(kept, m)
			continue
		}
		req := m.run.req
		delete(m.to.reserved, req)
		fleet := req.gateway.fleet
		i := slices.Index(m.from.runs, m.run)
		if i < 0 {
			fleet.Release(m.to.id, m.work)
			continue
		}
		m.from.runs = slices.Delete(m.from.runs, i, i+1)
		m.to.runs = append(m.to.runs, m.run)
		fleet.Release(m.from.id, req.reserved)
		req.reserved, _ = fleet.Grow(m.to.id, m.work, req.reserved.Generated)
		req.pair.Decode = fleet.Get(m.to.id)
		m.run.migrating = false
		s.result.Migrated++
	}
	s.migrations = kept
}
