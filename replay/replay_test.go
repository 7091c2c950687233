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

func simulate(t *testing.T, p replay.Pattern, name string, o replay.Options) replay.Result {
	t.Helper()
	r := replay.Play(p, o)
	t.Logf("%-20s %s", name, r)
	return r
}

// TestBurstServedBetterThanBySimplePolicies simulates a burst that fills the memory of all
// engines. A hundred gateways together must serve more of it in time than one balancer that knows
// the current number of requests of each engine.
func TestBurstServedBetterThanBySimplePolicies(t *testing.T) {
	p := read(t, "burst-large")
	ours := simulate(t, p, "ledgepin", replay.Options{Seed: 1})
	leastLoaded := simulate(t, p, "least loaded", replay.Options{Seed: 1, Policy: replay.LeastLoaded})
	robin := simulate(t, p, "round robin", replay.Options{Seed: 1, Policy: replay.RoundRobin()})
	assert.Assert(t, ours.InTimeShare() > 0.8, "%v in time", ours.InTimeShare())
	assert.Assert(t, ours.InTimeShare() > leastLoaded.InTimeShare(), "%v and %v", ours.InTimeShare(), leastLoaded.InTimeShare())
	assert.Assert(t, ours.InTimeShare() > robin.InTimeShare()+0.1, "%v and %v", ours.InTimeShare(), robin.InTimeShare())
	assert.Assert(t, 3*ours.Wasted < 2*leastLoaded.Wasted, "%d and %d tokens", ours.Wasted, leastLoaded.Wasted)
	assert.Assert(t, ours.RefusedWait < p.Target, "a refusal comes before the target: %v", ours.RefusedWait)
}

// TestSharedEvidenceAvoidsFailures simulates six of 52 engines that fail all requests. The
// failures that gateways exchange must avoid most of the requests that each gateway would lose by
// itself.
func TestSharedEvidenceAvoidsFailures(t *testing.T) {
	p := read(t, "liars-large")
	shared := simulate(t, p, "shared", replay.Options{Seed: 1})
	notShared := simulate(t, p, "not shared", replay.Options{Seed: 1, NoFailureSharing: true})
	assert.Assert(t, shared.InTimeShare() > 0.9, "%v in time", shared.InTimeShare())
	assert.Assert(t, 2*shared.Failed < notShared.Failed, "%d and %d failed", shared.Failed, notShared.Failed)
	assert.Assert(t, 2*shared.Wasted < notShared.Wasted, "%d and %d tokens", shared.Wasted, notShared.Wasted)
}

// TestSmallFleetServesBurstInTime simulates a burst at six decode engines and four gateways with
// five seeds, because one seed has too few requests for a comparison.
func TestSmallFleetServesBurstInTime(t *testing.T) {
	p := read(t, "burst-small")
	sum, robin := 0.0, 0.0
	for seed := range uint64(5) {
		sum += simulate(t, p, "ledgepin", replay.Options{Seed: seed}).InTimeShare() / 5
		robin += simulate(t, p, "round robin", replay.Options{Seed: seed, Policy: replay.RoundRobin()}).InTimeShare() / 5
	}
	assert.Assert(t, sum > 0.9, "%v in time", sum)
	assert.Assert(t, sum > robin+0.1, "%v and %v", sum, robin)
}

// TestSameSeedSameResult guards against results that depend on anything but the pattern and the
// seed.
func TestSameSeedSameResult(t *testing.T) {
	p := read(t, "burst-small")
	assert.DeepEqual(t, simulate(t, p, "once", replay.Options{Seed: 3}).String(), simulate(t, p, "again", replay.Options{Seed: 3}).String())
}

// TestHotOrganisationDelaysOthersLess simulates an organisation that sends eight times its usual
// load within a burst, with five seeds. The others must be served better than in order of arrival,
// and the hot one must still get the remaining capacity.
func TestHotOrganisationDelaysOthersLess(t *testing.T) {
	p := read(t, "hot-organisation")
	var othersFair, hotFair, hotUnfair, othersUnfair, allFair, allUnfair float64
	for seed := range uint64(5) {
		fair := simulate(t, p, "by shares", replay.Options{Seed: seed})
		unfair := simulate(t, p, "by arrival", replay.Options{Seed: seed, NoFairShare: true})
		othersFair, othersUnfair = othersFair+fair.OthersShare()/5, othersUnfair+unfair.OthersShare()/5
		hotFair, hotUnfair = hotFair+fair.HotShare()/5, hotUnfair+unfair.HotShare()/5
		allFair, allUnfair = allFair+fair.InTimeShare()/5, allUnfair+unfair.InTimeShare()/5
	}
	t.Logf("others in time %.3f (by arrival %.3f), the hot one %.3f (%.3f), all %.3f (%.3f)", othersFair, othersUnfair, hotFair, hotUnfair, allFair, allUnfair)
	assert.Assert(t, othersFair > othersUnfair+0.05, "%v and %v of the others in time", othersFair, othersUnfair)
	assert.Assert(t, hotFair > 0.25, "%v of the hot one in time", hotFair)
	assert.Assert(t, allFair > allUnfair-0.02, "%v and %v of all in time", allFair, allUnfair)
}

// TestUrgentKindsAreServedFirst simulates bursts of three kinds of requests that fill the memory of
// all engines, with four seeds. More urgent kinds must be served in time more often, and the least
// urgent one must not starve. When free slots were drawn at random, the most urgent kind was served
// in time 0.749 times.
func TestUrgentKindsAreServedFirst(t *testing.T) {
	p := read(t, "urgency")
	kinds, all := make([]float64, len(p.Kinds)), 0.0
	for seed := range uint64(4) {
		r := simulate(t, p, "urgency", replay.Options{Seed: seed})
		all += r.InTimeShare() / 4
		for i, k := range r.Kinds {
			kinds[i] += k.Share() / 4
		}
	}
	t.Logf("in time %.3f, by kind %.3f", all, kinds)
	assert.Assert(t, kinds[0] > 0.82 && kinds[0] >= kinds[1] && kinds[1] >= kinds[2], "%v", kinds)
	assert.Assert(t, kinds[2] > 0.55, "the least urgent kind starves: %v", kinds)
	assert.Assert(t, all > 0.73, "%v of all", all)
}

// TestHeadroomServesUrgentKinds guards against less urgent requests that take each slot before an
// urgent one arrives. The least urgent kind must keep 0.72 of its share.
func TestHeadroomServesUrgentKinds(t *testing.T) {
	p := read(t, "urgency")
	kinds := func(name string, o replay.Options) [3]float64 {
		var out [3]float64
		for o.Seed = range uint64(4) {
			for i, k := range simulate(t, p, name, o).Kinds {
				out[i] += k.Share() / 4
			}
		}
		t.Logf("%s: in time by kind %.3f", name, out)
		return out
	}
	without := kinds("without", replay.Options{NoHeadroom: true})
	with := kinds("with headroom", replay.Options{})
	assert.Assert(t, with[0] > without[0]+0.01 && with[1] > without[1], "%v and %v", with, without)
	assert.Assert(t, with[2] > 0.72*without[2], "%v and %v", with, without)
}
