package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

func TestMigrationReason(t *testing.T) {
	tests := []struct {
		name   string
		runs   int
		held   int // of 10000
		draw   float64
		state  registry.State
		reason dispatch.MigrationReason
	}{
		{"capacity left", 4, 8900, 0, registry.Ready, dispatch.Stay},
		{"almost full, the one that is drawn", 4, 9100, 0.05, registry.Ready, dispatch.Full},
		{"almost full, the others", 4, 9100, 0.07, registry.Ready, dispatch.Stay},
		{"full, one of four", 4, 10000, 0.24, registry.Ready, dispatch.Full},
		{"full, three of four", 4, 10000, 0.26, registry.Ready, dispatch.Stay},
		{"overfull", 4, 14000, 0.26, registry.Ready, dispatch.Stay},
		{"the only run", 1, 9900, 0, registry.Ready, dispatch.Stay},
		{"leaving", 1, 100, 0.9, registry.Draining, dispatch.Leaving},
		{"leaving and full", 4, 10000, 0, registry.Draining, dispatch.Leaving},
		{"gone", 4, 10000, 0, registry.Gone, dispatch.Stay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(1, 1)
			f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-0": {Runs: tt.runs, Held: tt.held}}))
			f.Update(now, []registry.Server{{ID: "d0-0", Service: "llm", Zone: "z0", Role: registry.Decode, State: tt.state, Address: "d0-0:1", Sequence: 2}})
			assert.Equal(t, f.MigrationReason(now, "d0-0", engine, tt.draw), tt.reason)
			if tt.reason == dispatch.Leaving {
				later := now.Add(time.Second)
				assert.Equal(t, f.MigrationReason(later, "d0-0", engine, tt.draw), dispatch.Stay, "too late to return if the migration fails")
			}
		})
	}
}

// TestMigrationTargetHasCapacityNow checks that a run migrates to an engine whose memory can
// hold its tokens besides the current ones there, in its own zone if the choice looks at such
// an engine there, and that the targets spread.
func TestMigrationTargetHasCapacityNow(t *testing.T) {
	work := dispatch.Work{Service: "llm", Prompt: 1000, Expected: 1000, Generated: 500}
	f := fleet(1, 3)
	chosen := func(pick float64) string {
		if s := f.MigrationTarget(now, "d0-0", work, engine, pick); s != nil {
			return s.ID
		}
		return ""
	}
	// A choice looks at a subset of the engines, a different one each time.
	spread := func() map[string]bool {
		out := map[string]bool{}
		for i := range 24 {
			out[chosen(float64(i%2)*0.99)] = true
		}
		return out
	}
	all := spread()
	assert.Assert(t, all["d0-1"] && all["d0-2"] && !all["d0-0"], "%v", all)

	full := dispatch.Load{Held: 6600, Tokens: 6700, Runs: 1}
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-1": full}))
	all = spread()
	assert.Assert(t, all["d0-2"] && !all["d0-1"] && !all["d0-0"], "%v", all)

	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-1": full, "d0-2": full}))
	assert.Equal(t, f.Get(chosen(0.5)).Zone, "z1", "another zone rather than none")

	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-1": full, "d0-2": full, "d1-0": full, "d1-1": full, "d1-2": full}))
	assert.Equal(t, chosen(0.5), "")
}

// TestGrowAndReleaseBalance checks that generated tokens are reserved and that all
// reservations are released.
func TestGrowAndReleaseBalance(t *testing.T) {
	f := fleet(1, 1)
	f.Reserve("d0-0", small)
	assert.Equal(t, f.Get("d0-0").Own, dispatch.Load{Tokens: 2000, Runs: 1, Held: 1000})
	w, longer := f.Grow("d0-0", small, 400)
	assert.Assert(t, !longer)
	assert.Equal(t, f.Get("d0-0").Own, dispatch.Load{Tokens: 2000, Runs: 1, Held: 1400})
	w, longer = f.Grow("d0-0", w, 1000)
	assert.Assert(t, longer, "it has generated all expected tokens")
	assert.Equal(t, f.Get("d0-0").Own, dispatch.Load{Tokens: 2250, Runs: 1, Held: 2000})
	f.Release("d0-0", w)
	assert.Equal(t, f.Get("d0-0").Own, dispatch.Load{})
}

// TestEngineWithoutMemoryForPromptIsNotChosen covers an engine whose current tokens leave so
// little memory that the prompt would have one of its runs dropped, although they will have
// ended when this run is long.
func TestEngineWithoutMemoryForPromptIsNotChosen(t *testing.T) {
	f := fleet(1, 1)
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{
		"d0-0": {Held: 8500, Tokens: 8600, Runs: 2},
		"d1-0": {Held: 2000, Tokens: 8600, Runs: 2},
	}))
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.Decode.ID, "d1-0")
}
