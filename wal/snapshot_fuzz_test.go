package wal_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wal"
)

// FuzzSnapshotFile requires a folder with any snapshot file either to open, and to have the same
// state after Fence, or to be refused and left unchanged.
func FuzzSnapshotFile(f *testing.F) {
	dir := f.TempDir()
	j, _, err := wal.Open(dir)
	assert.NilError(f, err)
	assert.NilError(f, j.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: consensus.Members{Voters: []string{"a"}}}, consensus.Hard{Term: 4}, nil))
	for range 2 {
		data, err := os.ReadFile(filepath.Join(dir, "control.snapshot"))
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
		assert.NilError(f, j.Fence(4))
	}
	f.Add(encodeRecord(f, "LPJ2", fields{4: 9, 17: "x"}))
	path := filepath.Join(dir, "control.snapshot")
	f.Fuzz(func(t *testing.T, data []byte) {
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		j, o, err := wal.Open(dir)
		if err != nil {
			assert.Assert(t, fault.Is(err, fault.JournalBroken) || fault.Is(err, fault.JournalNewer), "%v", err)
			after, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.DeepEqual(t, after, data)
			return
		}
		assert.NilError(t, j.Fence(4))
		assert.NilError(t, j.Close())
		j, again, err := wal.Open(dir)
		assert.NilError(t, err)
		assert.Equal(t, j.Version(), 4)
		assert.NilError(t, j.Close())
		assert.DeepEqual(t, again.Restored, o.Restored)
	})
}
