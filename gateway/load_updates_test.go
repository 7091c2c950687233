package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/retryslots"
	"github.com/ledgepin/ledgepin/route"
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

// TestRejectedCallersAreReported checks that the other gateways learn of the retry times of
// rejected callers, so that they tell other ones, unless all requests of a service are equally
// urgent.
func TestRejectedCallersAreReported(t *testing.T) {
	c := clock.VM
	f := newFleet(c, "g1", "a", nil, dispatch.Budget{})
	to := []route.Weight{{Service: "llm", Weight: 1}}
	rejected := dispatch.Rejected{Work: dispatch.Work{Service: "llm", Urgency: route.Urgency{Organisation: 1, Route: 1}}}
	table := &route.Table{Routes: []route.Route{{Priority: 1, Services: to}, {Priority: 1, Services: to}}}
	f.setServices(table)
	f.retryAfter(rejected, 0)
	assert.Equal(t, len(f.demand(c.Now())), 0)
	table.Routes[1].Priority = 2
	f.setServices(table)
	after, choice := f.retryAfter(rejected, 2*time.Second)
	assert.Equal(t, choice, dispatch.RetryUsual, "no run has ended")
	m := f.pendingUpdate(c.Now())
	assert.Equal(t, len(m.Demand), 1)
	assert.Equal(t, m.Demand[0].Route, 1)
	n := len(m.Demand[0].Returns)
	assert.Assert(t, n >= int(after/retryslots.Interval) && n <= retryslots.Intervals, "%v: %d", after, n)
}
