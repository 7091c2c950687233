package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestRoomIsTakenInTurn has many gateways see room for one request at the only
// engine that has some, while each of them has one waiting: about one of them may
// take it at a time, and each has its turn.
func TestRoomIsTakenInTurn(t *testing.T) {
	const gateways, slices = 20, 200
	taken := make([]int, gateways)
	most := 0
	for s := range slices {
		at := now.Add(time.Duration(s) * 100 * time.Millisecond)
		together := 0
		for g := range gateways {
			f := dispatch.NewFleet(fmt.Sprint("gateway-", g), "z0")
			f.Update(at, []registry.Server{{ID: "d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "d:1", Sequence: 1}})
			f.SetOthers(now, alone(map[string]dispatch.Load{"d": {Tokens: 8000, Held: 6000, Runs: 3}}))
			f.Others.Queued = gateways - 1
			if _, ok := f.ChoosePair(at, small, engine, nil); ok {
				taken[g]++
				together++
			}
		}
		most = max(most, together)
	}
	sum := 0
	for g, n := range taken {
		assert.Assert(t, n > 0, "gateway %d never has its turn", g)
		sum += n
	}
	mean := float64(sum) / slices
	assert.Assert(t, mean > 0.5 && mean < 2.5, "%.2f take the room at a time", mean)
	assert.Assert(t, most <= gateways/2, "%d took it at once", most)
}

// TestRoomForAllIsTakenAtOnce wants nobody to wait for a turn where there is room
// for all that wait.
func TestRoomForAllIsTakenAtOnce(t *testing.T) {
	for g := range 20 {
		f := dispatch.NewFleet(fmt.Sprint("gateway-", g), "z0")
		f.Update(now, []registry.Server{{ID: "d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "d:1", Sequence: 1}})
		f.Others.Queued = 2
		_, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
	}
}
