package fleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fleet"
)

func versionCommand(t testing.TB, version int) []byte {
	t.Helper()
	data, err := fleet.Encode(fleet.Change{ID: "version", Version: version})
	assert.NilError(t, err)
	return data
}

// TestVersionNeverDecreases applies commands with higher and lower versions. It guards against a
// version that is lowered, although data of the higher one is stored, and against a snapshot
// that has the base version, which builds of that version can't read.
func TestVersionNeverDecreases(t *testing.T) {
	s := fleet.New()
	apply(t, s, changeCommand(t, "a", 0, nil, settingsText(1)))
	base, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, s.Version(), compat.Base)
	assert.DeepEqual(t, apply(t, s, versionCommand(t, compat.Newest)), fleet.Result{ID: "version", Revision: uint64(compat.Newest), OK: true})
	assert.Equal(t, s.Version(), compat.Newest)
	for _, lower := range []int{1, compat.Base, compat.Newest} {
		apply(t, s, versionCommand(t, lower))
		assert.Equal(t, s.Version(), compat.Newest)
	}
	assert.Equal(t, s.Revision(), uint64(1), "a command with a version changed the settings")
	raised, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(raised) > len(base))
	again, err := fleet.Restore(raised)
	assert.NilError(t, err)
	assert.Equal(t, again.Version(), compat.Newest)
	first, err := fleet.Restore(base)
	assert.NilError(t, err)
	assert.Equal(t, first.Version(), compat.Base)
}

// TestUnknownVersionIsRejected guards against accepting a version of a newer build: this build
// may not be able to read what is written under it.
func TestUnknownVersionIsRejected(t *testing.T) {
	s := fleet.New()
	for _, version := range []int{compat.Newest + 1, -1} {
		_, err := s.Apply(versionCommand(t, version))
		assert.ErrorContains(t, err, "reads up to")
		assert.ErrorContains(t, fleet.CheckCommand(versionCommand(t, version)), "reads up to")
	}
	assert.Equal(t, s.Version(), compat.Base)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	assert.ErrorContains(t, fleet.CheckSnapshot(withField(t, data, 6, compat.Newest+1)), "reads up to")
}

func TestCommandVersion(t *testing.T) {
	assert.Equal(t, fleet.CommandVersion(versionCommand(t, compat.Newest)), compat.Newest)
	assert.Equal(t, fleet.CommandVersion(changeCommand(t, "a", 0, nil, settingsText(1))), 0)
	assert.Equal(t, fleet.CommandVersion([]byte("\xff")), 0)
}

// FuzzApply restores arbitrary snapshots and applies arbitrary commands: each must be decoded
// completely or change nothing.
func FuzzApply(f *testing.F) {
	f.Add(changeCommand(f, "a", 0, nil, settingsText(1)), []byte{})
	f.Add(versionCommand(f, compat.Newest), []byte{})
	f.Add(withField(f, changeCommand(f, "b", 0, nil, settingsText(2)), 99, "x"), []byte("\xa1\x06\x04"))
	table, err := fleet.Encode(fleet.Change{ID: "t", Table: largeTable(2)})
	assert.NilError(f, err)
	s := fleet.New()
	apply(f, s, versionCommand(f, compat.Newest))
	apply(f, s, table)
	state, err := s.Snapshot()
	assert.NilError(f, err)
	f.Add(table, state)
	f.Fuzz(func(t *testing.T, data, state []byte) {
		s, err := fleet.Restore(state)
		assert.Equal(t, err == nil, fleet.CheckSnapshot(state) == nil)
		if err != nil {
			s = fleet.New()
		}
		before, err := s.Snapshot()
		assert.NilError(t, err)
		version := s.Version()
		_, err = s.Apply(data)
		assert.Equal(t, err == nil, fleet.CheckCommand(data) == nil)
		after, serr := s.Snapshot()
		assert.NilError(t, serr)
		if err != nil {
			assert.DeepEqual(t, after, before)
		}
		assert.Assert(t, s.Version() >= version && s.Version() <= compat.Newest)
		_, err = fleet.Restore(after)
		assert.NilError(t, err)
	})
}
