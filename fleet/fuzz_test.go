package fleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/route"
)

// FuzzState restores arbitrary bytes and applies arbitrary commands. A state that was restored
// must encode again, and a command that can't be decoded must change nothing.
func FuzzState(f *testing.F) {
	s := fleet.New()
	command, err := fleet.Encode(fleet.Change{ID: "t", Table: &route.Table{Version: 3}})
	assert.NilError(f, err)
	_, err = s.Apply(command)
	assert.NilError(f, err)
	snapshot, err := s.Snapshot()
	assert.NilError(f, err)
	empty, err := fleet.Encode(fleet.Change{ID: "c", Base: 0})
	assert.NilError(f, err)
	f.Add(snapshot, command)
	f.Add(snapshot[:len(snapshot)/2], empty)
	f.Add([]byte{}, empty)
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		s, err := fleet.Restore(snapshot)
		if err != nil {
			return
		}
		before, err := s.Snapshot()
		assert.NilError(t, err)
		if _, err := s.Apply(command); err == nil {
			_, err = s.Snapshot()
			assert.NilError(t, err)
			return
		}
		after, err := s.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, after, before)
	})
}
