package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestGatewaysShareFreeSlot has many gateways see capacity for one request at the only engine
// that has any, while each has one request waiting. About one of them may use it at a time,
// and each of them sooner or later.
func TestGatewaysShareFreeSlot(t *testing.T) {
	const gateways, intervals = 20, 200
	used := make([]int, gateways)
	maxTogether := 0
	for s := range intervals {
		at := now.Add(time.Duration(s) * 100 * time.Millisecond)
		together := 0
		for g := range gateways {
			f := dispatch.NewFleet(fmt.Sprint("gateway-", g), "z0")
			f.Update(at, []registry.Server{{ID: "d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "d:1", Sequence: 1}})
			f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d": {Tokens: 8000, Held: 6000, Runs: 3}}))
			f.Others.Queued = gateways - 1
			if _, ok := f.ChoosePair(at, small, engine, nil); ok {
				used[g]++
				together++
			}
		}
		maxTogether = max(maxTogether, together)
	}
	sum := 0
	for g, n := range used {
		assert.Assert(t, n > 0, "gateway %d never uses the slot", g)
		sum += n
	}
	mean := float64(sum) / intervals
	assert.Assert(t, mean > 0.5 && mean < 2.5, "%.2f use the slot at a time", mean)
	assert.Assert(t, maxTogether <= gateways/2, "%d used it at once", maxTogether)
}

// TestSlotsForAllAreUsedAtOnce guards against requests that wait for a draw although there is
// capacity for all.
func TestSlotsForAllAreUsedAtOnce(t *testing.T) {
	for g := range 20 {
		f := dispatch.NewFleet(fmt.Sprint("gateway-", g), "z0")
		f.Update(now, []registry.Server{{ID: "d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "d:1", Sequence: 1}})
		f.Others.Queued = 2
		_, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
	}
}
