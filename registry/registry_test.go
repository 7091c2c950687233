package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

var now = time.Unix(1000, 0)

func server(state registry.State, sequence uint64) registry.Server {
	return registry.Server{ID: "i", Service: "s", Address: "10.0.0.1:80", State: state, Sequence: sequence}
}

// report stores a report that must be accepted and returns its updates.
func report(t *testing.T, r *registry.Registry, at time.Time, s registry.Server) []registry.Update {
	t.Helper()
	out, err := r.Report(at, s)
	assert.NilError(t, err)
	return out
}

func TestReport(t *testing.T) {
	tests := []struct {
		name    string
		before  []registry.Server
		report  registry.Server
		changed bool
		state   registry.State
	}{
		{"new", nil, server(registry.Ready, 1), true, registry.Ready},
		{"no change", []registry.Server{server(registry.Ready, 1)}, server(registry.Ready, 2), false, registry.Ready},
		{"starts draining", []registry.Server{server(registry.Ready, 1)}, server(registry.Draining, 2), true, registry.Draining},
		{"a late report does not restore it", []registry.Server{server(registry.Draining, 3)}, server(registry.Ready, 2), false, registry.Draining},
		{"a newer report does not restore it", []registry.Server{server(registry.Draining, 3)}, server(registry.Ready, 4), false, registry.Draining},
		{"gone stays gone", []registry.Server{server(registry.Gone, 0)}, server(registry.Ready, 9), false, registry.Gone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := registry.New(time.Second)
			for _, s := range tt.before {
				report(t, r, now, s)
			}
			assert.Equal(t, len(report(t, r, now, tt.report)) > 0, tt.changed)
			got, ok := r.Get("i")
			assert.Assert(t, ok)
			assert.Equal(t, got.State, tt.state)
		})
	}
}

func TestSilentServersExpire(t *testing.T) {
	r := registry.New(time.Second)
	report(t, r, now, server(registry.Ready, 1))
	assert.Equal(t, len(r.Expire(now.Add(900*time.Millisecond))), 0)
	late := server(registry.Ready, 2)
	late.Age = 500 * time.Millisecond
	report(t, r, now.Add(time.Second), late) // another process received it half a second ago
	assert.Equal(t, len(r.Expire(now.Add(1400*time.Millisecond))), 0)
	gone := r.Expire(now.Add(1600 * time.Millisecond))
	assert.Assert(t, len(gone) == 1 && gone[0].ID == "i", "%v", gone)
}

// TestLateReportDoesNotRestoreServerThatLeft checks that a server that has left is
// remembered for longer than reports can be late.
func TestLateReportDoesNotRestoreServerThatLeft(t *testing.T) {
	r := registry.New(time.Second)
	report(t, r, now, server(registry.Ready, 1))
	report(t, r, now, registry.Server{ID: "i", State: registry.Gone})
	r.Expire(now.Add(10 * time.Second))
	assert.Equal(t, len(report(t, r, now.Add(10*time.Second), server(registry.Ready, 1))), 0, "a late report restored the server")
}
