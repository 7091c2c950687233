package wal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/wal"
)

func entry(i uint64, data string) consensus.Entry {
	return consensus.Entry{Index: i, Term: 1, Data: []byte(data)}
}

// writeJournal writes a journal with three appends and returns its folder.
func writeJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	j, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, !o.Recorded)
	for i := range uint64(3) {
		assert.NilError(t, j.Append(&consensus.Hard{Term: i + 1, Vote: "a"}, []consensus.Entry{entry(i+1, fmt.Sprint("data", i+1))}))
	}
	assert.NilError(t, j.Close())
	return dir
}

func logPath(dir string) string { return filepath.Join(dir, "control.log") }

func editFile(t *testing.T, path string, change func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, change(data), 0o600))
}

func TestOpenDamagedLog(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func([]byte) []byte
		entries   int
		truncated bool
		broken    bool
	}{
		{"intact", func(b []byte) []byte { return b }, 3, false, false},
		{"half of the last record", func(b []byte) []byte { return b[:len(b)-10] }, 2, true, false},
		{"only the header of a next record", func(b []byte) []byte { return append(b, b[:6]...) }, 3, true, false},
		{"zeros after the end", func(b []byte) []byte { return append(b, make([]byte, 4096)...) }, 3, true, false},
		{"a flipped bit at the end", func(b []byte) []byte { b[len(b)-1] ^= 1; return b }, 2, true, false},
		{"a flipped bit in the middle", func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 0, false, true},
		{"a flipped bit at the start", func(b []byte) []byte { b[20] ^= 1; return b }, 0, false, true},
		{"a wrong length in the middle", func(b []byte) []byte { b[4] = 0xff; b[5] = 0xff; return b }, 0, false, true},
		{"empty", func([]byte) []byte { return nil }, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := writeJournal(t)
			editFile(t, logPath(dir), c.change)
			j, o, err := wal.Open(dir)
			if c.broken {
				assert.Assert(t, fault.Is(err, fault.JournalBroken), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(o.Restored.Entries), c.entries)
			assert.Equal(t, o.TruncatedBytes > 0, c.truncated)
			// What is appended after a truncation must be read back.
			next := uint64(c.entries + 1)
			assert.NilError(t, j.Append(nil, []consensus.Entry{entry(next, "more")}))
			assert.NilError(t, j.Close())
			_, o, err = wal.Open(dir)
			assert.NilError(t, err)
			assert.Equal(t, o.TruncatedBytes, int64(0))
			assert.Equal(t, string(o.Restored.Entries[next-1].Data), "more")
		})
	}
}

func TestLaterEntriesReplaceEarlierOnes(t *testing.T) {
	dir := writeJournal(t)
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.Append(nil, []consensus.Entry{{Index: 2, Term: 9, Data: []byte("other")}}))
	assert.NilError(t, j.Close())
	_, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(o.Restored.Entries), 2)
	assert.Equal(t, o.Restored.Entries[1].Term, uint64(9))
	assert.Equal(t, o.Restored.Hard.Term, uint64(3))
}

func TestSnapshotTruncatesLog(t *testing.T) {
	dir := writeJournal(t)
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	snap := consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: consensus.Members{Voters: []string{"a"}}}
	assert.NilError(t, j.SaveSnapshot(snap, consensus.Hard{Term: 4}, []consensus.Entry{entry(3, "data3")}))
	assert.NilError(t, j.Append(nil, []consensus.Entry{entry(4, "data4")}))
	assert.NilError(t, j.Close())
	_, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Equal(t, string(o.Restored.Snapshot.Data), "state")
	assert.Equal(t, len(o.Restored.Entries), 2)
	assert.Equal(t, o.Restored.Hard.Term, uint64(4))
}

// TestCrashBetweenSnapshotAndLog opens a folder with a new snapshot and an old log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	dir := writeJournal(t)
	old, err := os.ReadFile(logPath(dir))
	assert.NilError(t, err)
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1}, consensus.Hard{Term: 3}, []consensus.Entry{entry(3, "data3")}))
	assert.NilError(t, j.Close())
	assert.NilError(t, os.WriteFile(logPath(dir), old, 0o600))
	_, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(o.Restored.Entries), 1)
	assert.Equal(t, o.Restored.Entries[0].Index, uint64(3))
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	dir := writeJournal(t)
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}, consensus.Hard{}, nil))
	assert.NilError(t, j.Close())
	editFile(t, filepath.Join(dir, "control.snapshot"), func(b []byte) []byte { return b[:len(b)-1] })
	_, _, err = wal.Open(dir)
	assert.Assert(t, fault.Is(err, fault.JournalBroken), "%v", err)
}

// logFS is a file system with another function to open the log.
type logFS struct {
	diskfile.FS
	open func(path string) (diskfile.File, error)
}

func (l logFS) OpenAppend(path string) (diskfile.File, error) { return l.open(path) }

// faultyFile is a log file whose writes and syncs can be made to fail.
type faultyFile struct {
	diskfile.File
	write, sync error
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.write != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, f.write
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if f.sync != nil {
		return f.sync
	}
	return f.File.Sync()
}

func TestNothingIsWrittenAfterDiskFailure(t *testing.T) {
	for _, c := range []struct {
		name        string
		write, sync error
	}{
		{"full", errors.New("no space left on device"), nil},
		{"sync fails", nil, errors.New("input/output error")},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			disk := &faultyFile{}
			j, _, err := wal.OpenWith(dir, logFS{diskfile.OS, func(path string) (diskfile.File, error) {
				f, err := diskfile.OS.OpenAppend(path)
				disk.File = f
				return disk, err
			}})
			assert.NilError(t, err)
			assert.NilError(t, j.Append(nil, []consensus.Entry{entry(1, "good")}))
			disk.write, disk.sync = c.write, c.sync
			assert.Assert(t, fault.Is(j.Append(nil, []consensus.Entry{entry(2, "lost")}), fault.JournalFailed))
			disk.write, disk.sync = nil, nil
			err = j.Append(nil, []consensus.Entry{entry(2, "again")})
			assert.Assert(t, fault.Is(err, fault.JournalFailed), "nothing is written after a failure")
			assert.NilError(t, j.Close())
			_, o, err := wal.Open(dir)
			assert.NilError(t, err)
			assert.Equal(t, string(o.Restored.Entries[0].Data), "good")
		})
	}
}

// FuzzReplay requires Replay to survive any bytes with at most an error, and the part that it
// reports as intact to give the same entries when it is read again.
func FuzzReplay(f *testing.F) {
	dir := f.TempDir()
	j, _, err := wal.Open(dir)
	assert.NilError(f, err)
	assert.NilError(f, j.Append(&consensus.Hard{Term: 2}, []consensus.Entry{entry(1, "x")}))
	data, err := os.ReadFile(logPath(dir))
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Add(append(data, data...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r consensus.Restored
		n, err := wal.Replay(data, &r)
		if err != nil {
			return
		}
		var again consensus.Restored
		m, err := wal.Replay(data[:n], &again)
		assert.NilError(t, err)
		assert.Equal(t, m, n)
		assert.Equal(t, len(again.Entries), len(r.Entries))
	})
}
