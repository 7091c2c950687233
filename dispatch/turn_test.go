package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// TestMostUrgentRequestGetsFreeSlot has an engine with one free slot, while requests of three
// urgencies wait at other gateways. With a random draw, each request had the same chance.
func TestMostUrgentRequestGetsFreeSlot(t *testing.T) {
	urgency := func(priority int) route.Urgency { return route.Urgency{Route: priority} }
	others := []demand.Class{{Service: "llm", Route: 1, Waiting: 4, Before: 1}, {Service: "llm", Route: 2, Waiting: 9, Before: 3}, {Service: "other", Waiting: 5}}
	tests := []struct {
		name    string
		urgency route.Urgency
		demand  []demand.Class
		queued  int
		after   time.Duration
		want    dispatch.Position
		turn    bool
	}{
		{"most urgent", urgency(0), others, 18, 0, dispatch.Position{Behind: 13, Mixed: true}, true},
		{"behind one of equal urgency", urgency(1), others, 18, 0, dispatch.Position{Ahead: 1, Behind: 12, Mixed: true}, false},
		{"the slot was left free for an interval", urgency(1), others, 18, 100 * time.Millisecond, dispatch.Position{Ahead: 1, Behind: 12, Mixed: true}, true},
		{"behind all more urgent ones", urgency(2), others, 18, 200 * time.Millisecond, dispatch.Position{Ahead: 7, Behind: 6, Mixed: true}, false},
		{"the slot was left free for long", urgency(2), others, 18, 300 * time.Millisecond, dispatch.Position{Ahead: 7, Behind: 6, Mixed: true}, true},
		{"less urgent than all", urgency(9), others, 18, 0, dispatch.Position{Ahead: 13, Mixed: true}, false},
		{"the list has expired", urgency(9), nil, 0, time.Second, dispatch.Position{}, true},
		{"gateways of an older build count as ahead", urgency(0), others, 20, 0, dispatch.Position{Ahead: 2, Behind: 13, Unknown: 2, Mixed: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := dispatch.NewFleet("g", "z0")
			f.Update(now, []registry.Server{{ID: "d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "d:1", Sequence: 1}})
			o := knownLoads(map[string]dispatch.Load{"d": {Tokens: 8000, Held: 6000, Runs: 3}})
			o.Queued, o.Demand = tt.queued, tt.demand
			f.SetOthers(now, o)
			w := small
			w.Urgency = tt.urgency
			assert.Equal(t, f.Position(w), tt.want)
			if tt.want.Unknown > 0 {
				used := 0 // by a draw, as before
				for i := range 100 {
					if _, ok := f.ChoosePair(now.Add(time.Duration(i)*10*time.Millisecond), w, engine, nil); ok {
						used++
					}
				}
				assert.Assert(t, used > 0 && used < 90, "used %d times of 100", used)
				return
			}
			_, ok := f.ChoosePair(now.Add(tt.after), w, engine, nil)
			assert.Equal(t, ok, tt.turn)
		})
	}
}

// TestQueueTimeoutCountsMoreUrgentOnly guards against an urgent request that is refused at once
// because less urgent ones wait.
func TestQueueTimeoutCountsMoreUrgentOnly(t *testing.T) {
	f := fleet(1, 1)
	o := knownLoads(map[string]dispatch.Load{"d0-0": {Runs: 10}})
	o.Queued, o.Demand = 30, []demand.Class{{Service: "llm", Rate: 100}, {Service: "llm", Route: 1, Waiting: 30, Before: 1}}
	f.SetOthers(now, o)
	times := dispatch.RunTimes{Total: 3 * time.Second, First: 100 * time.Millisecond}
	for urgency, want := range []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 0} {
		w := small
		w.Urgency.Route = urgency
		assert.Equal(t, f.QueueTimeout(now, w, time.Second, 0, times), want, "urgency %d", urgency)
	}
	// Of the requests that wait already, the least urgent ones are rejected as soon as too many
	// wait before them.
	var q dispatch.Queue
	for urgency := range 3 {
		w := small
		w.Urgency.Route = urgency
		q.Add(&dispatch.QueuedRequest{Work: w, Engine: engine, Until: now.Add(time.Second)})
	}
	rejected := 0
	f.RejectLate(now, &q, func(string) dispatch.RunTimes { return times }, func(r *dispatch.QueuedRequest) {
		rejected++
		assert.Equal(t, r.Work.Urgency.Route, 2)
	})
	assert.Assert(t, rejected == 1 && q.Len() == 2)
}
