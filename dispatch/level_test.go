package dispatch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// TestFullLevelFollowsGrowth checks the full level for slow and fast answers, and that it is the
// lowest one if the growth or most of the load is not known: an engine would otherwise be filled
// on a guess and drop runs.
func TestFullLevelFollowsGrowth(t *testing.T) {
	slow, fast := 3600*time.Microsecond, 700*time.Microsecond
	tests := []struct {
		name        string
		memory      int
		token       time.Duration
		known, runs int
		migrates    bool
		level       float64
	}{
		{"long prompts, slow answers", 48649, slow, 30, 7, true, 0.944},
		{"few runs", 48649, slow, 30, 1, true, 0.97},
		{"long, fast answers", 41000, fast, 30, 5, true, 0.90},
		{"no observed time per token", 48649, 0, 30, 7, true, 0.90},
		{"loads of two gateways are not known", 48649, slow, 28, 7, true, 0.927},
		{"only this gateway's load is known", 48649, slow, 1, 7, true, 0.90},
		{"runs don't migrate", 48649, slow, 30, 7, false, 0.90},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &route.Engine{Slots: 100, KVTokens: tt.memory, EventTokens: 64, Migrates: tt.migrates}
			f := fleet(1, 1)
			f.SetTokenTime("llm", tt.token)
			others := func(held int) dispatch.OtherGateways {
				l := dispatch.Load{Runs: tt.runs, Held: held, Tokens: held}
				return dispatch.OtherGateways{Gateways: 30, Known: tt.known, Loads: map[string]dispatch.Load{"d0-0": l, "d1-0": l}}
			}
			f.SetOthers(now, others(38000))
			assert.Assert(t, math.Abs(f.MeanFullLevel(now, "llm", e)-tt.level) < 0.001, "%.4f", f.MeanFullLevel(now, "llm", e))
			if tt.known < 30 {
				return
			}
			for _, above := range []bool{false, true} {
				step := map[bool]int{false: -100, true: 100}[above]
				f.SetOthers(now, others(int(tt.level*float64(tt.memory))-1000+step))
				_, ok := f.ChoosePair(now, small, e, nil)
				assert.Equal(t, ok, !above, "a new run")
			}
		})
	}
}

// TestFullSlowEngineIsRelievedInTime guards against engines whose runs produce an event every
// 230 ms and run out of memory before one of them begins to migrate: the draw is made for each
// event, and the full level leaves less memory than with fast answers.
func TestFullSlowEngineIsRelievedInTime(t *testing.T) {
	e := &route.Engine{KVTokens: 48649, EventTokens: 64, Migrates: true}
	f := fleet(1, 1)
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-0": {Runs: 8, Held: 46000}}))
	assert.Equal(t, f.MigrationReason(now, "d0-0", e, 0.1), dispatch.Stay, "level of 0.9456")
	f.SetTokenTime("llm", 3600*time.Microsecond)
	assert.Equal(t, f.MigrationReason(now, "d0-0", e, 0.12), dispatch.Full, "one of eight for each event")
	assert.Equal(t, f.MigrationReason(now, "d0-0", e, 0.13), dispatch.Stay)
}
