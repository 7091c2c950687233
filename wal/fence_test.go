package wal_test

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/wal"
)

// baseBuildReads reports whether a build of the base version accepts the bytes as an intact
// record. It repeats the check of that build.
func baseBuildReads(data []byte) bool {
	const magic = 0x4c504a31
	if len(data) < 12 || binary.LittleEndian.Uint32(data) != magic {
		return false
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if size > 256<<20 || size > len(data)-12 {
		return false
	}
	body := data[12 : 12+size]
	return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) == binary.LittleEndian.Uint32(data[8:])
}

func readSnapshot(t *testing.T, dir string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, "control.snapshot"))
	assert.NilError(t, err)
	return data
}

// TestFencedFolderIsRefusedByBaseBuild requires builds of the base version to refuse a folder after
// Fence, while this build still reads the same state from it.
func TestFencedFolderIsRefusedByBaseBuild(t *testing.T) {
	for _, name := range []string{"whole", "torn"} {
		t.Run(name, func(t *testing.T) {
			dir := copyGolden(t, name)
			j, o, err := wal.Open(dir)
			assert.NilError(t, err)
			assert.Equal(t, j.Version(), compat.Base)
			assert.Assert(t, baseBuildReads(readSnapshot(t, dir)))
			log, err := os.ReadFile(logPath(dir))
			assert.NilError(t, err)
			assert.NilError(t, j.Fence(compat.Newest))
			assert.Equal(t, j.Version(), compat.Newest)
			assert.Assert(t, !baseBuildReads(readSnapshot(t, dir)))
			again, err := os.ReadFile(logPath(dir))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, log)
			assert.Assert(t, baseBuildReads(again), "the log keeps its magic number")
			assert.NilError(t, j.Close())
			j, fenced, err := wal.Open(dir)
			assert.NilError(t, err)
			assert.DeepEqual(t, fenced.Restored, o.Restored)
			assert.Equal(t, j.Version(), compat.Newest)
			assert.NilError(t, j.Fence(compat.Base), "the version never decreases")
			assert.NilError(t, j.SaveSnapshot(consensus.Snapshot{Index: 14, Term: 3}, consensus.Hard{Term: 4}, nil))
			assert.Assert(t, !baseBuildReads(readSnapshot(t, dir)), "a later snapshot keeps the fence")
			assert.NilError(t, j.Close())
		})
	}
}

// TestFenceWithoutSnapshot requires Fence to work in a folder without a snapshot file.
func TestFenceWithoutSnapshot(t *testing.T) {
	dir := writeJournal(t)
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.Fence(compat.Newest))
	assert.NilError(t, j.Close())
	assert.Assert(t, !baseBuildReads(readSnapshot(t, dir)))
	_, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(o.Restored.Entries), 3)
	assert.Equal(t, o.Restored.Snapshot.Index, uint64(0))
}

// TestErrorNamesVersionOfNewerSnapshot requires the error for a folder of a newer build to name the
// version under which it was written.
func TestErrorNamesVersionOfNewerSnapshot(t *testing.T) {
	snapshotRecord := fields{1: 2, 2: 1, 3: fields{1: []string{"a"}}, 4: []byte{}}
	for name, content := range map[string]any{
		"no other change": fields{3: snapshotRecord, 4: compat.Newest + 5},
		"with new fields": fields{3: snapshotRecord, 4: compat.Newest + 5, 9: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := writeJournal(t)
			assert.NilError(t, os.WriteFile(filepath.Join(dir, "control.snapshot"), encodeRecord(t, "LPJ2", content), 0o600))
			assertRefusedAsNewer(t, dir)
			_, _, err := wal.Open(dir)
			assert.ErrorContains(t, err, "written by version 14, and this build reads up to 9")
		})
	}
}
