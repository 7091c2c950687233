package registry

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRosterExcept checks that a roster returns the servers reported as ready, except
// those that are named as silent, that leave, or that the peer no longer reports.
func TestRosterExcept(t *testing.T) {
	ready := func(id string) Server { return Server{ID: id, State: Ready} }
	var r Roster
	assert.Equal(t, len(r.Except(nil)), 0)
	r.Update([]Server{ready("s1"), ready("s2"), ready("s3"), ready("s4"), ready("s5")}, nil)
	r.Update([]Server{{ID: "s1", State: Draining}}, nil)
	r.Update(nil, []string{"s2"})
	r.Update([]Server{ready("s6")}, []string{"s6"})
	got := r.Except([]string{"s4"})
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"s3", "s5"})
}
