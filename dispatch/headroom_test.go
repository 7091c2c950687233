package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// demandOf returns the demand of requests of a route priority: requests per second, and the
// final size of each.
func demandOf(priority int, rate float64, size int) demand.Class {
	return demand.Class{Service: "llm", Organisation: 1, Route: priority, Rate: int(1000 * rate), Tokens: int(rate * float64(size))}
}

func urgency(priority int) route.Urgency { return route.Urgency{Organisation: 1, Route: priority} }

// TestHeadroomFollowsExpectedRequests checks the share at load A, where a fixed reserve of 7 to
// 18% cost the least urgent requests more than the urgent ones gained, and that nothing is left
// free for requests that are not expected.
func TestHeadroomFollowsExpectedRequests(t *testing.T) {
	const size, memory, within = 6180, 37 * 48649, 111 * time.Millisecond
	for _, c := range []struct {
		name     string
		list     []demand.Class
		priority int
		from, to float64
	}{
		{"least urgent at load A", []demand.Class{demandOf(0, 10.3, size), demandOf(1, 14.2, size), demandOf(2, 18.5, size)}, 2, 0.02, 0.03},
		{"lists of several gateways", []demand.Class{demandOf(1, 7, size), demandOf(0, 10.3, size), demandOf(2, 18.5, size), demandOf(1, 7.2, size)}, 2, 0.02, 0.03},
		{"second at load A", []demand.Class{demandOf(0, 10.3, size), demandOf(1, 14.2, size), demandOf(2, 18.5, size)}, 1, 0.01, 0.02},
		{"most urgent", []demand.Class{demandOf(0, 10.3, size), demandOf(2, 18.5, size)}, 0, 0, 0},
		{"no urgent arrivals in two seconds", []demand.Class{{Service: "llm", Organisation: 1, Waiting: 3}, demandOf(2, 18.5, size)}, 2, 0, 0},
		{"flood of urgent requests", []demand.Class{demandOf(0, 1000, size), demandOf(2, 18.5, size)}, 2, 0.15, 0.15},
		{"one urgency", []demand.Class{demandOf(2, 43, size)}, 2, 0, 0},
	} {
		got := dispatch.NewHeadroom(c.list, within, memory).For(urgency(c.priority))
		assert.Assert(t, got >= c.from && got <= c.to, "%s: %.4f", c.name, got)
	}
}

// TestHeadroomIsLeftToMoreUrgentRequests checks that the share applies to new requests that are
// less urgent and to no others, and that it is named as the reason. It covers the failure of the
// links to control: each of the other gateways then counts like this one.
func TestHeadroomIsLeftToMoreUrgentRequests(t *testing.T) {
	f := fleet(1, 1)
	// 10,000 tokens with an overcommit of 1.2: a request of 2,000 fits exactly.
	o := knownLoads(map[string]dispatch.Load{"d0-0": {Tokens: 10000, Runs: 3}, "d1-0": {Tokens: 10000, Runs: 3}})
	f.SetOthers(now, o)
	times := dispatch.RunTimes{Total: 3 * time.Second}
	own := []demand.Class{demandOf(0, 0.5, 2000), demandOf(2, 1, 2000)}
	h := f.UpdateHeadroom(now, "llm", engine, own, times)
	// A run ends every 0.5 s: 0.3 requests within 0.6 s and a margin of 1.1, of 20,000 tokens.
	assert.Assert(t, h.For(urgency(2)) > 0.13 && h.For(urgency(2)) < 0.15, "%v", h)

	placed := func(priority, generated int) bool {
		w := small
		w.Urgency, w.Generated = urgency(priority), generated
		_, ok := f.ChoosePair(now, w, engine, nil)
		return ok
	}
	less := small
	less.Urgency = urgency(2)
	assert.Assert(t, !placed(2, 0))
	assert.Equal(t, f.Exclusion(now, less, engine).Rule, dispatch.RuleHeadroom)
	assert.Assert(t, placed(0, 0))
	assert.Assert(t, placed(2, 1), "a stream that continues leaves nothing free")
	assert.Assert(t, f.MigrationTarget(now, "d0-0", less, engine, 0) != nil, "a migration leaves nothing free")

	o.Gateways, o.Known = 30, 30
	f.SetOthers(now, o)
	assert.Equal(t, f.UpdateHeadroom(now, "llm", engine, own, times).For(urgency(2)), 0.15, "own arrivals count for the others")
	o.Demand = []demand.Class{demandOf(2, 30, 2000)}
	f.SetOthers(now, o)
	assert.Assert(t, f.UpdateHeadroom(now, "llm", engine, own, times).For(urgency(2)) < 0.15, "the others have no urgent requests")
	assert.Equal(t, len(f.UpdateHeadroom(now, "llm", engine, own[1:], times)), 0)
	assert.Assert(t, placed(2, 0), "no urgent request has arrived")
}
