package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/fleet"
)

func evacuationCommand(t testing.TB, zone string, finished bool, at int64) []byte {
	t.Helper()
	data, err := fleet.Encode(fleet.Change{ID: fmt.Sprint("e", at), When: at * int64(time.Second), Evacuation: &fleet.Evacuation{Zone: zone, Finished: finished}})
	assert.NilError(t, err)
	return data
}

// TestLastEvacuationOrderApplies applies random orders, with repetitions, for several zones. It
// guards against a repeated order that fails or changes the revision or the start of an
// evacuation, and against a snapshot that loses either of these.
func TestLastEvacuationOrderApplies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := fleet.New()
		since := map[string]int64{}
		revision := uint64(0)
		for at := range rapid.Int64Range(1, 20).Draw(r, "orders") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "zone")
			finished := rapid.Bool().Draw(r, "finished")
			res := apply(t, s, evacuationCommand(t, zone, finished, at+1))
			_, evacuated := since[zone]
			if evacuated == finished {
				revision++
			}
			switch {
			case finished:
				delete(since, zone)
			case !evacuated:
				since[zone] = at + 1
			}
			assert.Assert(t, res.OK)
			assert.Equal(t, s.EvacuationRevision(), revision)
			snapshot, err := s.Snapshot()
			assert.NilError(t, err)
			s, err = fleet.Restore(snapshot)
			assert.NilError(t, err)
			got := map[string]int64{}
			for _, z := range s.EvacuatedZones() {
				got[z.Zone] = z.Since
			}
			assert.DeepEqual(t, got, since)
			assert.Equal(t, s.EvacuationRevision(), revision)
		}
	})
}
