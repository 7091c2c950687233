package wal_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/wal"
)

var errCrashed = errors.New("crashed")

// crashFS is a file system whose process ends before one of its writes, and whose VM can lose power.
// Data that was not synced, and names that were not synced with their folder, may be lost then.
type crashFS struct {
	// steps is the number of writes so far. All fail from write crashAt on, if that is not zero.
	steps, crashAt int
	names, durable map[string]*inode
}

// inode is a file. synced is its content at its last sync.
type inode struct{ synced []byte }

func newCrashFS() *crashFS {
	return &crashFS{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// restart ends the process: writes succeed again until the next crash.
func (c *crashFS) restart(crashAt int) { c.steps, c.crashAt = 0, crashAt }

func (c *crashFS) crashed() bool { return c.crashAt > 0 && c.steps >= c.crashAt }

func (c *crashFS) step() error {
	if c.steps++; c.crashed() {
		return errCrashed
	}
	return nil
}

func (c *crashFS) OpenAppend(path string) (diskfile.File, error) {
	if err := c.step(); err != nil {
		return nil, err
	}
	if c.names[path] == nil {
		c.names[path] = &inode{}
	}
	f, err := diskfile.OS.OpenAppend(path)
	return &crashFile{f, c, path, c.names[path]}, err
}

func (c *crashFS) Create(path string) (diskfile.File, error) {
	if err := c.step(); err != nil {
		return nil, err
	}
	c.names[path] = &inode{}
	f, err := diskfile.OS.Create(path)
	return &crashFile{f, c, path, c.names[path]}, err
}

func (c *crashFS) Rename(oldPath, newPath string) error {
	if err := c.step(); err != nil {
		return err
	}
	c.names[newPath] = c.names[oldPath]
	delete(c.names, oldPath)
	return diskfile.OS.Rename(oldPath, newPath)
}

func (c *crashFS) SyncDir(string) error {
	if err := c.step(); err != nil {
		return err
	}
	c.durable = maps.Clone(c.names)
	return nil
}

// losePower gives each file, by itself, the content of its last sync or a longer part of what was
// written, and each name that was not synced its old or its new file.
func (c *crashFS) losePower(t *testing.T, r *rand.Rand) {
	t.Helper()
	content := map[string][]byte{}
	for path, file := range c.names {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		if keep := len(file.synced); keep <= len(data) && r.IntN(2) == 0 {
			data = data[:keep+r.IntN(len(data)-keep+1)]
		} else {
			data = file.synced
		}
		if c.durable[path] == file || r.IntN(2) == 0 {
			content[path] = data
		}
	}
	for path, file := range c.durable {
		if content[path] == nil {
			content[path] = file.synced
		}
	}
	for path := range c.names {
		assert.NilError(t, os.Remove(path))
	}
	c.names = map[string]*inode{}
	for path, data := range content {
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		c.names[path] = &inode{synced: data}
	}
	c.durable = maps.Clone(c.names)
}

type crashFile struct {
	diskfile.File
	fs   *crashFS
	path string
	file *inode
}

func (f *crashFile) Write(b []byte) (int, error) {
	if f.fs.crashed() {
		return 0, errCrashed
	}
	if err := f.fs.step(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *crashFile) Truncate(size int64) error {
	if err := f.fs.step(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *crashFile) Sync() error {
	if err := f.fs.step(); err != nil {
		return err
	}
	data, err := os.ReadFile(f.path)
	f.file.synced = data
	if f.fs.durable[f.path] == nil {
		f.fs.durable[f.path] = f.file // a new file lasts from its own sync on
	}
	return err
}

// history is what a journal has acknowledged, and what it may hold besides that.
type history struct {
	t    *testing.T
	dir  string
	fs   *crashFS
	term uint64
	// last is the index of the last acknowledged entry, unknown that of the last one that was
	// written.
	last, unknown uint64
}

// write opens the journal, checks it and writes to it until the process ends: appends, a snapshot
// that cuts the log, a fence, and the rewrite after a disk failure. It returns false if it ended.
func (h *history) write() bool {
	j, ok := h.open()
	if !ok {
		return false
	}
	defer j.Close()
	for range 3 {
		if !h.append(j) {
			return false
		}
	}
	snap := consensus.Snapshot{Index: h.last - 1, Term: 1, Data: []byte("state"), Members: consensus.Members{Voters: []string{"a"}}}
	if j.SaveSnapshot(snap, consensus.Hard{Term: h.term}, []consensus.Entry{entry(h.last, fmt.Sprint("data", h.last))}) != nil {
		return false
	}
	if !h.append(j) || j.Fence(2) != nil || !h.append(j) {
		return false
	}
	_ = j.Close()
	j, o, err := wal.OpenWith(h.dir, h.fs)
	if err != nil {
		return false
	}
	defer j.Close()
	return j.SaveSnapshot(o.Restored.Snapshot, o.Restored.Hard, o.Restored.Entries) == nil && h.append(j)
}

func (h *history) append(j *wal.Journal) bool {
	h.unknown = max(h.unknown, h.last+1)
	err := j.Append(&consensus.Hard{Term: h.term + 1}, []consensus.Entry{entry(h.last+1, fmt.Sprint("data", h.last+1))})
	if err != nil {
		return false
	}
	h.last, h.term = h.last+1, h.term+1
	return true
}

// open opens the journal and checks that it holds all that was acknowledged. What it holds counts
// as acknowledged from then on.
func (h *history) open() (*wal.Journal, bool) {
	h.t.Helper()
	j, o, err := wal.OpenWith(h.dir, h.fs)
	if h.fs.crashed() {
		return nil, false
	}
	assert.NilError(h.t, err)
	last := o.Restored.Snapshot.Index + uint64(len(o.Restored.Entries))
	assert.Assert(h.t, last >= h.last && last <= h.unknown, "it ends with entry %d of %d acknowledged and %d written", last, h.last, h.unknown)
	assert.Assert(h.t, o.Restored.Hard.Term >= h.term, "term %d of %d", o.Restored.Hard.Term, h.term)
	assert.Assert(h.t, o.Recorded || h.term == 0)
	for i, e := range o.Restored.Entries {
		assert.Equal(h.t, e.Index, o.Restored.Snapshot.Index+uint64(i)+1)
		assert.Equal(h.t, string(e.Data), fmt.Sprint("data", e.Index))
	}
	h.last, h.unknown, h.term = last, last, o.Restored.Hard.Term
	return j, true
}

// TestAcknowledgedRecordsSurviveCrashAtAnyWrite ends the process at any two writes, and then the
// power fails at any moment: what was acknowledged, or was read back and used, must be there.
func TestAcknowledgedRecordsSurviveCrashAtAnyWrite(t *testing.T) {
	plays := 0
	for _, seed := range []uint64{1, 2} {
		for first := 1; ; first++ {
			reached := false
			for second := 1; ; second++ {
				h := &history{t: t, dir: t.TempDir(), fs: newCrashFS()}
				h.fs.restart(first)
				reached = !h.write()
				h.fs.restart(second)
				again := !h.write()
				h.fs.losePower(t, rand.New(rand.NewPCG(seed, uint64(1000*first+second))))
				h.fs.restart(0)
				j, ok := h.open()
				assert.Assert(t, ok)
				assert.NilError(t, j.Close())
				if plays++; !again {
					break
				}
			}
			if !reached {
				break
			}
		}
	}
	t.Logf("%d plays", plays)
}
