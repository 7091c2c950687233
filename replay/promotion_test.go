package replay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/replay"
)

// TestNoKindStarves simulates requests of the most urgent kind that exceed the capacity by
// themselves, at a small and a large number of gateways. It guards against less urgent kinds that
// are hardly served: each must be served a quarter as often as all requests. The most urgent one
// must still be served most often.
func TestNoKindStarves(t *testing.T) {
	for _, gateways := range []int{3, 100} {
		p := read(t, "urgency-overload")
		p.Gateways = gateways
		without := simulate(t, p, "without promotions", replay.Options{Seed: 1, NoPromotion: true})
		assert.Assert(t, without.Kinds[2].Share() < 0.25*without.InTimeShare(), "the load starves no kind: %v", shares(without))
		with := simulate(t, p, "with promotions", replay.Options{Seed: 1})
		t.Logf("%d gateways: in time by kind %.3f, without promotions %.3f", gateways, shares(with), shares(without))
		for kind, share := range shares(with) {
			assert.Assert(t, share >= 0.25*with.InTimeShare(), "kind %d: %v of %v", kind, share, with.InTimeShare())
			assert.Assert(t, share <= shares(with)[0], "kind %d is served more often than the most urgent one", kind)
		}
	}
}

func shares(r replay.Result) []float64 {
	var out []float64
	for _, k := range r.Kinds {
		out = append(out, k.Share())
	}
	return out
}

// TestBurstsPromoteNothing simulates bursts in which only some requests are refused. It guards
// against promotions at the expense of urgent requests where no kind starves.
func TestBurstsPromoteNothing(t *testing.T) {
	p := read(t, "urgency")
	for seed := range uint64(3) {
		without := simulate(t, p, "without promotions", replay.Options{Seed: seed, NoPromotion: true})
		with := simulate(t, p, "with promotions", replay.Options{Seed: seed})
		assert.DeepEqual(t, with.Kinds, without.Kinds)
		assert.Equal(t, with.String(), without.String())
	}
}
