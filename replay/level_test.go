package replay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/replay"
)

// TestPredictedLevelServesMore simulates a burst of long prompts whose runs add little to the
// memory. A full level that follows their growth must serve more of them in time than the fixed
// one, and preempt no more runs. The gain differs by 0.003 (standard deviation) from seed to seed,
// so ten are simulated.
func TestPredictedLevelServesMore(t *testing.T) {
	p := read(t, "burst-prompts")
	var fixed, predicted float64
	var fixedPreempted, preempted int
	for seed := range uint64(10) {
		a := simulate(t, p, "fixed level", replay.Options{Seed: seed, FixedLevel: true})
		b := simulate(t, p, "predicted level", replay.Options{Seed: seed})
		fixed, predicted = fixed+a.InTimeShare()/10, predicted+b.InTimeShare()/10
		fixedPreempted, preempted = fixedPreempted+a.Preempted, preempted+b.Preempted
	}
	t.Logf("in time %.4f (fixed level %.4f), preempted %d (%d)", predicted, fixed, preempted, fixedPreempted)
	assert.Assert(t, predicted > fixed+0.001, "%.4f in time, %.4f with the fixed level", predicted, fixed)
	assert.Assert(t, preempted <= fixedPreempted, "%d preempted, %d with the fixed level", preempted, fixedPreempted)
}
