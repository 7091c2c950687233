package wal_test

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wal"
)

// encodeRecord returns a record with any magic number and content and a valid checksum.
func encodeRecord(t testing.TB, head string, content any) []byte {
	t.Helper()
	body, err := cbor.Marshal(content)
	assert.NilError(t, err)
	out := make([]byte, 12, 12+len(body))
	binary.LittleEndian.PutUint32(out, binary.BigEndian.Uint32([]byte(head)))
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(out, body...)
}

// fields is content as a map from field numbers to values.
type fields map[int]any

// unknownContent is content that this build can't decode, as a newer build may write it.
var unknownContent = map[string]any{
	"a field of the record":           fields{1: fields{1: 9}, 17: "x"},
	"a field of the hard state":       fields{1: fields{1: 9, 17: "x"}},
	"a field of an entry":             fields{2: []fields{{1: 4, 2: 1, 17: "x"}}},
	"a field of a membership":         fields{2: []fields{{1: 4, 2: 1, 4: fields{1: []string{"a"}, 17: "x"}}}},
	"another type of a field":         fields{1: "x"},
	"another type of an entry's term": fields{2: []fields{{1: 4, 2: "x"}}},
	"no record":                       "x",
}

// readFiles returns the contents of the files in a folder by name.
func readFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	out := map[string]string{}
	list, err := os.ReadDir(dir)
	assert.NilError(t, err)
	for _, f := range list {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		assert.NilError(t, err)
		out[f.Name()] = string(data)
	}
	return out
}

// assertRefusedAsNewer checks that Open refuses a folder as written by a newer build and leaves it
// unchanged.
func assertRefusedAsNewer(t *testing.T, dir string) {
	t.Helper()
	before := readFiles(t, dir)
	_, _, err := wal.Open(dir)
	assert.Assert(t, err != nil, "data of a newer build was accepted")
	assert.Equal(t, fault.From(err).Code.ID, "journal_newer", "%v", err)
	assert.DeepEqual(t, readFiles(t, dir), before)
}

// TestUnknownRecordIsNotTruncatedAsTornTail requires a record with a valid checksum to be kept even if its
// content can't be decoded: it was written and synced, and may have been acknowledged.
func TestUnknownRecordIsNotTruncatedAsTornTail(t *testing.T) {
	for name, content := range unknownContent {
		t.Run(name, func(t *testing.T) {
			dir := writeJournal(t)
			editFile(t, logPath(dir), func(b []byte) []byte { return append(b, encodeRecord(t, "LPJ1", content)...) })
			assertRefusedAsNewer(t, dir)
			editFile(t, logPath(dir), func(b []byte) []byte { return append(b, encodeRecord(t, "LPJ1", fields{1: fields{1: 9}})...) })
			assertRefusedAsNewer(t, dir)
		})
	}
	t.Run("another magic number", func(t *testing.T) {
		dir := writeJournal(t)
		editFile(t, logPath(dir), func(b []byte) []byte { return append(b, encodeRecord(t, "LPJ7", fields{1: fields{1: 9}})...) })
		assertRefusedAsNewer(t, dir)
	})
}

// TestUnknownRecordBeforeTornTailIsKept requires the record of a newer build to be kept even if a
// torn tail follows it.
func TestUnknownRecordBeforeTornTailIsKept(t *testing.T) {
	dir := writeJournal(t)
	record := encodeRecord(t, "LPJ1", unknownContent["a field of an entry"])
	editFile(t, logPath(dir), func(b []byte) []byte { return append(append(b, record...), record[:9]...) })
	assertRefusedAsNewer(t, dir)
}

func TestNewerSnapshotIsRefused(t *testing.T) {
	for name, content := range map[string]any{
		"a field of the record":   fields{3: fields{1: 2, 2: 1, 3: fields{1: []string{"a"}}, 4: []byte{}}, 17: "x"},
		"a field of the snapshot": fields{3: fields{1: 2, 2: 1, 3: fields{1: []string{"a"}}, 4: []byte{}, 17: "x"}},
		"a field of the members":  fields{3: fields{1: 2, 2: 1, 3: fields{1: []string{"a"}, 17: "x"}, 4: []byte{}}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := writeJournal(t)
			assert.NilError(t, os.WriteFile(filepath.Join(dir, "control.snapshot"), encodeRecord(t, "LPJ1", content), 0o600))
			assertRefusedAsNewer(t, dir)
		})
	}
}

func BenchmarkReplay(b *testing.B) {
	dir := b.TempDir()
	j, _, err := wal.Open(dir)
	assert.NilError(b, err)
	members := &consensus.Members{Voters: []string{"a", "b", "c"}}
	for i := range uint64(1000) {
		e := consensus.Entry{Index: i + 1, Term: 1, Data: make([]byte, 300)}
		if i%50 == 0 {
			e.Members = members
		}
		assert.NilError(b, j.Append(&consensus.Hard{Term: 1, Vote: "a"}, []consensus.Entry{e}))
	}
	assert.NilError(b, j.Close())
	data, err := os.ReadFile(logPath(dir))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		var r consensus.Restored
		if n, err := wal.Replay(data, &r); err != nil || n != len(data) {
			b.Fatal(n, err)
		}
	}
}
