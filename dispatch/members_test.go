package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestOneOfTwoIncarnationsAtAnAddressIsUsed covers the ways and orders in which a gateway can
// receive reports of two incarnations: a report that a partition has delayed may arrive after
// the sender has crashed and its next incarnation has registered.
func TestOneOfTwoIncarnationsAtAnAddressIsUsed(t *testing.T) {
	report := func(id string, age time.Duration) registry.Server {
		return registry.Server{ID: id, Service: "plain", Address: "10.0.0.1:80", State: registry.Ready, Sequence: 1, Age: age}
	}
	heartbeat := time.Second
	tests := []struct {
		name string
		// reports sends the gateway its reports before the time at which it chooses.
		reports func(f *dispatch.Fleet)
		at      time.Duration
		used    string
	}{
		{"the new one registers", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{report("old", 0)})
			f.Update(now.Add(heartbeat), []registry.Server{report("new", 0)})
		}, heartbeat, "new"},
		{"a report of the old one comes late", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{report("old", 0)})
			f.Update(now.Add(heartbeat), []registry.Server{report("new", 0)})
			f.NoteHeartbeats(now.Add(2*heartbeat), []string{"old"})
			f.Update(now.Add(2*heartbeat), []registry.Server{report("old", 0)})
		}, 2 * heartbeat, "new"},
		{"a gateway starts just after a late report, and the new one answers it", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{report("new", heartbeat), report("old", 0)})
			f.MarkGone("old")
		}, 0, "new"},
		{"a gateway starts just after a late report, and the new one goes on reporting", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{report("new", heartbeat), report("old", 0)})
			for i := range 6 {
				f.NoteHeartbeats(now.Add(time.Duration(i)*heartbeat), []string{"new"})
			}
		}, 6 * heartbeat, "new"},
		{"the new one is older than it seems, and leaves", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{report("old", heartbeat), report("new", 0)})
			f.Update(now, []registry.Server{{ID: "new", State: registry.Gone}})
		}, 0, "old"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := dispatch.NewFleet("g", "z")
			tt.reports(f)
			s := f.ChoosePlain(now.Add(tt.at), plain, nil)
			assert.Assert(t, s != nil, "no server is used")
			assert.Equal(t, s.ID, tt.used)
		})
	}
}
