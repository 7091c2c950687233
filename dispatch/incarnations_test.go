package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// TestNewIncarnationStartsClean guards against a later incarnation that inherits from an
// earlier one: reservations, outcomes, a block, a role change, or late reports.
func TestNewIncarnationStartsClean(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := func(born int64, role string, sequence uint64) registry.Server {
		return registry.Server{ID: registry.IncarnationID("e", born), Name: "e", Born: born, Service: "llm", Address: "10.0.0.1:80", State: registry.Ready, Role: role, Sequence: sequence}
	}
	first, second := registry.IncarnationID("e", 1), registry.IncarnationID("e", 2)
	f := NewFleet("g", "z")
	f.Update(now, []registry.Server{reported(1, registry.Decode, 9)})
	f.Reserve(first, Work{Service: "llm", Prompt: 1000, Expected: 500})
	f.NoteOutcome(now, first, Unreachable, 0)
	f.BeginRoleChange(now, first, registry.Prefill, time.Second)

	ended := f.Update(now, []registry.Server{reported(2, registry.Decode, 1)})
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].ID, first)
	assert.Assert(t, f.Replaced(first) && !f.Replaced(second))
	assert.Assert(t, !f.Available(now, first) && f.Available(now, second))
	s := f.Get(second)
	assert.Equal(t, s.Own, Load{})
	assert.Assert(t, !s.blocked(now))

	for _, late := range []registry.Server{reported(1, registry.Prefill, 99), {ID: first, Name: "e", Born: 1, State: registry.Gone}} {
		assert.Equal(t, len(f.Update(now, []registry.Server{late})), 0)
	}
	assert.Assert(t, !f.Available(now, first) && f.Available(now, second))
	assert.Equal(t, len(f.Update(now, []registry.Server{reported(2, registry.Decode, 2)})), 0, "returned once")
	f.Release(first, Work{Service: "llm", Prompt: 1000, Expected: 500})
	assert.Equal(t, f.Get(second).Own, Load{})
}

// TestServersThatSwapAddressesAreUsed restarts two servers at each other's address; both must
// be used where they are.
func TestServersThatSwapAddressesAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := func(name, address string, born int64) registry.Server {
		return registry.Server{ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: "plain", Address: address, State: registry.Ready, Sequence: 1}
	}
	f := NewFleet("g", "z")
	f.Update(now, []registry.Server{reported("a", "10.0.0.1:80", 1), reported("b", "10.0.0.2:80", 1)})
	now = now.Add(3 * time.Second)
	f.Update(now, []registry.Server{reported("a", "10.0.0.2:80", 2)})
	f.Update(now, []registry.Server{reported("b", "10.0.0.1:80", 2)})
	for _, name := range []string{"a", "b"} {
		assert.Assert(t, !f.Available(now, registry.IncarnationID(name, 1)), name)
		assert.Assert(t, f.Available(now, registry.IncarnationID(name, 2)), name)
	}
}

// TestIncarnationEndsByStartTimeOfNext checks that the start time of the next incarnation
// alone ends one, and that no report of the earlier one is used afterwards, as long as that
// time is remembered.
func TestIncarnationEndsByStartTimeOfNext(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := func(born int64) registry.Server {
		return registry.Server{ID: registry.IncarnationID("e", born), Name: "e", Born: born, Service: "plain", Address: "10.0.0.1:80", State: registry.Ready, Sequence: 1}
	}
	next := reported(1)
	next.Next = 2
	f := NewFleet("g", "z")
	f.Update(now, []registry.Server{reported(1)})
	ended := f.Update(now, []registry.Server{next.Published()})
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, f.Replaced(reported(1).ID) && !f.Available(now, reported(1).ID))
	assert.Equal(t, len(f.Update(now, []registry.Server{next.Published()})), 0, "returned once")
	later := now.Add(2 * forgetTimeout)
	f.Sweep(later)
	f.Update(later, []registry.Server{reported(1)})
	assert.Assert(t, f.Get(reported(1).ID) == nil, "a report of the earlier incarnation is used")
	f.Update(later, []registry.Server{reported(2)})
	assert.Assert(t, f.Available(later, reported(2).ID))
}

// TestIncarnationEndsAfterItsStartTimeIsForgotten checks that a later incarnation also ends
// one that has not changed for so long that its start time is forgotten.
func TestIncarnationEndsAfterItsStartTimeIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	old := registry.Server{ID: registry.IncarnationID("e", 1), Name: "e", Born: 1, Service: "plain", Address: "10.0.0.1:80", State: registry.Ready, Sequence: 1}
	f := NewFleet("g", "z")
	f.Update(now, []registry.Server{old})
	now = now.Add(2 * time.Hour)
	f.NoteHeartbeats(now, []string{old.ID})
	f.Sweep(now)
	old.Next = 2
	assert.Equal(t, len(f.Update(now, []registry.Server{old.Published()})), 1)
}
