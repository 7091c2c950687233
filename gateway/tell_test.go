package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// TestFailuresAreToldAndTakenBack wants the other gateways to hear of a failure at once,
// and that it counts no more, also from a gateway that sends nothing meanwhile.
func TestFailuresAreToldAndTakenBack(t *testing.T) {
	f := newFleet(nil, "g", "z", nil, dispatch.Budget{})
	f.update(&wire.Servers{List: []registry.Server{{ID: "s", Service: "plain", Address: "a:1", State: registry.Ready, Sequence: 1}}}, nil)
	now := clock.VM.Now()
	f.noteOutcome("s", dispatch.Success, time.Millisecond)
	assert.Assert(t, f.pendingUpdate(now) != nil, "the first telling")
	f.noteOutcome("s", dispatch.Success, time.Millisecond)
	assert.Assert(t, f.pendingUpdate(now.Add(10*time.Millisecond)) == nil, "what goes well is no hurry")

	f.noteOutcome("s", dispatch.Failure, 0)
	told := f.pendingUpdate(now.Add(20 * time.Millisecond))
	assert.Assert(t, told != nil, "a failure is told at once")
	assert.DeepEqual(t, told.List, []wire.EngineLoad{{Server: "s", Good: 2, Bad: 1, Witnesses: 1}})

	told = f.pendingUpdate(now.Add(4 * time.Second))
	assert.Assert(t, told != nil, "it is taken back")
	assert.Equal(t, len(told.List), 0)
	assert.Assert(t, f.pendingUpdate(now.Add(8*time.Second)) == nil)
}
