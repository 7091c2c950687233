package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestOwnZoneIsPreferredWhileItHasCapacity covers idle and full servers of two zones: answers
// come from the gateway's own zone while it has about as much capacity as the other one, and
// otherwise from the other one, so that bytes stay in the zone and no request waits for it.
func TestOwnZoneIsPreferredWhileItHasCapacity(t *testing.T) {
	full := engine.KVTokens
	tests := []struct {
		name string
		own  int
		zone string
	}{
		{"nothing to do", 0, "z0"},
		{"a little more to do in the own zone", full / 10, "z0"},
		{"much more to do in the own zone", full * 6 / 10, "z1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(2, 2)
			f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-0": {Tokens: tt.own, Runs: 1}, "d0-1": {Tokens: tt.own, Runs: 1}}))
			for range 8 {
				p, ok := f.ChoosePair(now, small, engine, nil)
				assert.Assert(t, ok)
				assert.Equal(t, p.Decode.Zone, tt.zone)
			}
		})
	}
}

// TestPlainServersOfOwnZoneArePreferred covers the same for plain servers.
func TestPlainServersOfOwnZoneArePreferred(t *testing.T) {
	f := dispatch.NewFleet("g", "z0")
	var list []registry.Server
	for i := range 4 {
		list = append(list, registry.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Service: "plain", Address: fmt.Sprint(i), State: registry.Ready, Sequence: 1})
	}
	f.Update(now, list)
	used := map[string]int{}
	for range 10 {
		s := f.ChoosePlain(now, plain, nil)
		s.Open++
		used[s.Zone]++
	}
	assert.Equal(t, used["z0"], 6)
	assert.Equal(t, used["z1"], 4, "the other zone once the own one has half as much again to do")
	for i := range 2 {
		f.NoteOutcome(now, fmt.Sprint("s", 2*i), dispatch.Unreachable, time.Millisecond)
	}
	assert.Equal(t, f.ChoosePlain(now, plain, nil).Zone, "z1")
}
