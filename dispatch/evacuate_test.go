package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestEvacuatedZoneGetsNoNewWork makes each kind of choice repeatedly while a zone is being
// evacuated, also with servers that come meanwhile. None chooses that zone, the other zone is
// used, and runs in the evacuated zone don't migrate. Afterwards both zones are used again.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	f := fleet(2, 3)
	f.Reserve("d0-0", small)
	f.SetEvacuated(now, []string{"z0"})
	f.Update(now, []registry.Server{
		{ID: "new", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "new:1", Sequence: 1},
		{ID: "more", Service: "plain", Zone: "z0", State: registry.Ready, Address: "more:1", Sequence: 1},
	})
	for range 50 {
		p, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
		assert.Equal(t, p.PrefillServer().Zone, "z1")
		assert.Equal(t, p.Decode.Zone, "z1")
		assert.Equal(t, f.ChooseDecode(now, small, engine, "z0", nil).Zone, "z1")
		assert.Equal(t, f.ChoosePlain(now, plain, nil).Zone, "z1")
		assert.Equal(t, f.MigrationTarget(now, "d1-0", small, engine, 0.5).Zone, "z1")
	}
	for _, s := range f.EligibleServers(now, "llm") {
		assert.Equal(t, s.Zone, "z1")
	}
	assert.Assert(t, !f.Available(now, "d0-0"))
	assert.Equal(t, f.MigrationReason(now, "d0-0", engine, 0), dispatch.Stay)
	f.SetEvacuated(now, []string{"z0", "z1"})
	_, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, !ok)
	assert.Assert(t, f.ChoosePlain(now, plain, nil) == nil)
	r := f.Exclusion(now, small, engine)
	assert.Equal(t, r.Rule, dispatch.RuleEvacuated)
	assert.Equal(t, r.Count[dispatch.RuleEvacuated], 7)
	f.SetEvacuated(now, nil)
	assert.Assert(t, f.Available(now, "d0-0"))
	assert.Equal(t, f.ChoosePlain(now, plain, nil).Zone, "z0")
}
