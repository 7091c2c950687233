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

// TestFailuresArePublishedAndRetracted checks that the other gateways are notified at once of a
// failure, and later that it counts no more, also by a gateway that sends no requests meanwhile.
func TestFailuresArePublishedAndRetracted(t *testing.T) {
	f := newFleet(nil, "g", "z", nil, dispatch.Budget{})
	f.update(&wire.Servers{List: []registry.Server{{ID: "s", Service: "plain", Address: "a:1", State: registry.Ready, Sequence: 1}}}, nil)
	now := clock.VM.Now()
	f.noteOutcome("s", dispatch.Success, time.Millisecond)
	assert.Assert(t, f.pendingUpdate(now) != nil, "the first update")
	f.noteOutcome("s", dispatch.Success, time.Millisecond)
	assert.Assert(t, f.pendingUpdate(now.Add(10*time.Millisecond)) == nil, "successes are not urgent")

	f.noteOutcome("s", dispatch.Failure, 0)
	sent := f.pendingUpdate(now.Add(20 * time.Millisecond))
	assert.Assert(t, sent != nil, "a failure is published at once")
	assert.DeepEqual(t, sent.List, []wire.EngineLoad{{Server: "s", Good: 2, Bad: 1, Witnesses: 1}})

	sent = f.pendingUpdate(now.Add(4 * time.Second))
	assert.Assert(t, sent != nil, "the failure is retracted")
	assert.Equal(t, len(sent.List), 0)
	assert.Assert(t, f.pendingUpdate(now.Add(8*time.Second)) == nil)
}
