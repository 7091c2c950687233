package replay_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/replay"
)

func read(t *testing.T, name string) replay.Pattern {
	t.Helper()
	p, err := replay.Read(filepath.Join("testdata", name+".yaml"))
	assert.NilError(t, err)
	return p
}

func simulation(t *testing.T, p replay.Pattern, name string, o replay.Options) replay.Result {
	t.Helper()
	r := replay.Play(p, o)
	t.Logf("%-20s %s", name, r)
	return r
}

// TestBurstIsServedBetterThanBySimplePolicies replays a burst that fills the memory of
// all engines: a hundred gateways together serve more of it in time than one balancer
// that knows at each moment how many requests each engine has.
func TestBurstServedBetterThanBySimplePolicies(t *testing.T) {
	p := read(t, "burst-large")
	ours := simulation(t, p, "ledgepin", replay.Options{Seed: 1})
	least := simulation(t, p, "least loaded", replay.Options{Seed: 1, Policy: replay.LeastLoaded})
	robin := simulation(t, p, "round robin", replay.Options{Seed: 1, Policy: replay.RoundRobin()})
	assert.Assert(t, ours.InTimeShare() > 0.8, "%v in time", ours.InTimeShare())
	assert.Assert(t, ours.InTimeShare() > least.InTimeShare(), "%v and %v", ours.InTimeShare(), least.InTimeShare())
	assert.Assert(t, ours.InTimeShare() > robin.InTimeShare()+0.1, "%v and %v", ours.InTimeShare(), robin.InTimeShare())
	assert.Assert(t, 3*ours.Wasted < 2*least.Wasted, "%d and %d tokens", ours.Wasted, least.Wasted)
	assert.Assert(t, ours.RefusedWait < p.Target, "a refusal comes before the target: %v", ours.RefusedWait)
}

// TestFailuresAreKnownToAll replays six of 52 engines that end all that they get: the
// failures that gateways tell each other of save most of what each would lose by itself.
func TestSharedEvidenceAvoidsFailures(t *testing.T) {
	p := read(t, "liars-large")
	shared := simulation(t, p, "shared", replay.Options{Seed: 1})
	alone := simulation(t, p, "each by itself", replay.Options{Seed: 1, NoFailureSharing: true})
	assert.Assert(t, shared.InTimeShare() > 0.9, "%v in time", shared.InTimeShare())
	assert.Assert(t, 2*shared.Failed < alone.Failed, "%d and %d failed", shared.Failed, alone.Failed)
	assert.Assert(t, 2*shared.Wasted < alone.Wasted, "%d and %d tokens", shared.Wasted, alone.Wasted)
}

// TestSmallFleetServesItsBurst replays a burst before six decode engines and four
// gateways, five times: one seed is too few requests to tell.
func TestSmallFleetServesBurstInTime(t *testing.T) {
	p := read(t, "burst-small")
	sum, robin := 0.0, 0.0
	for seed := range uint64(5) {
		sum += simulation(t, p, "ledgepin", replay.Options{Seed: seed}).InTimeShare() / 5
		robin += simulation(t, p, "round robin", replay.Options{Seed: seed, Policy: replay.RoundRobin()}).InTimeShare() / 5
	}
	assert.Assert(t, sum > 0.9, "%v in time", sum)
	assert.Assert(t, sum > robin+0.1, "%v and %v", sum, robin)
}

// TestSameSeedSameResult wants a play to depend on nothing but its pattern and seed.
func TestSameSeedSameResult(t *testing.T) {
	p := read(t, "burst-small")
	assert.DeepEqual(t, simulation(t, p, "once", replay.Options{Seed: 3}).String(), simulation(t, p, "again", replay.Options{Seed: 3}).String())
}

// TestHotOrganisationWaitsBehind replays an organisation that sends eight times its usual
// within a burst, five times: the others are served better than in the order of arrival, and
// it still gets what is left.
func TestHotOrganisationDelaysOthersLess(t *testing.T) {
	p := read(t, "hot-organisation")
	var othersFair, hotFair, hotUnfair, othersUnfair, allFair, allUnfair float64
	for seed := range uint64(5) {
		fair := simulation(t, p, "by shares", replay.Options{Seed: seed})
		unfair := simulation(t, p, "by arrival", replay.Options{Seed: seed, NoFairShare: true})
		othersFair, othersUnfair = othersFair+fair.OthersShare()/5, othersUnfair+unfair.OthersShare()/5
		hotFair, hotUnfair = hotFair+fair.HotShare()/5, hotUnfair+unfair.HotShare()/5
		allFair, allUnfair = allFair+fair.InTimeShare()/5, allUnfair+unfair.InTimeShare()/5
	}
	t.Logf("others in time %.3f (by arrival %.3f), the hot one %.3f (%.3f), all %.3f (%.3f)", othersFair, othersUnfair, hotFair, hotUnfair, allFair, allUnfair)
	assert.Assert(t, othersFair > othersUnfair+0.05, "%v and %v of the others in time", othersFair, othersUnfair)
	assert.Assert(t, hotFair > 0.25, "%v of the hot one in time", hotFair)
	assert.Assert(t, allFair > allUnfair-0.02, "%v and %v of all in time", allFair, allUnfair)
}
