package replay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/replay"
)

// compareLosses simulates a pattern with and without the ejection of engines that lose answers,
// with several seeds, and returns the sums of the results.
func compareLosses(t *testing.T, name string, seeds uint64) (before, after replay.Result) {
	p := read(t, name)
	add := func(sum *replay.Result, name string, o replay.Options) {
		r := simulate(t, p, name, o)
		sum.Callers, sum.InTime, sum.Late = sum.Callers+r.Callers, sum.InTime+r.InTime, sum.Late+r.Late
		sum.Lost, sum.Wasted = sum.Lost+r.Lost, sum.Wasted+r.Wasted
	}
	for seed := range seeds {
		add(&before, "as failures", replay.Options{Seed: seed, NoLossEjection: true})
		add(&after, "ejected", replay.Options{Seed: seed})
	}
	return before, after
}

// TestRestartingEnginesLoseFewAnswers simulates two engines that restart every 1.6 s. If losses
// were forgotten with each incarnation, they would lose all their runs each time.
func TestRestartingEnginesLoseFewAnswers(t *testing.T) {
	before, after := compareLosses(t, "restarting", 3)
	assert.Assert(t, 2*after.Lost < before.Lost, "%d and %d answers", after.Lost, before.Lost)
	assert.Assert(t, 2*after.Wasted < before.Wasted, "%d and %d tokens", after.Wasted, before.Wasted)
	assert.Assert(t, after.InTimeShare() >= before.InTimeShare(), "%v and %v in time", after.InTimeShare(), before.InTimeShare())
}

// TestRandomLossesKeepEnginesInUse simulates engines that lose one answer in twenty while requests
// wait for capacity: ejections would take away more than they save. The difference of one seed has a
// standard deviation of 0.01.
func TestRandomLossesKeepEnginesInUse(t *testing.T) {
	before, after := compareLosses(t, "one-in-twenty", 24)
	assert.Assert(t, after.InTimeShare() >= before.InTimeShare()-0.01, "%v and %v in time", after.InTimeShare(), before.InTimeShare())
}
