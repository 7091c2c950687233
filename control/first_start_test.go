package control_test

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/internal/diskfile"
)

// failingFS is a file system on which writes fail: all from write failAt on, as if the process had
// ended there, or only as many as fails says.
type failingFS struct {
	mu     sync.Mutex
	writes int
	failAt int
	fails  int
}

// lasting as the number of failures makes all further writes fail.
const lasting = 1 << 30

func (f *failingFS) step() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.failAt > 0 && f.writes >= f.failAt && f.writes < f.failAt+f.fails {
		return errors.New("no space left on device")
	}
	return nil
}

// reached reports whether a write has failed.
func (f *failingFS) reached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes >= f.failAt
}

func (f *failingFS) OpenAppend(path string) (diskfile.File, error) {
	return f.open(path, diskfile.OS.OpenAppend)
}

func (f *failingFS) Create(path string) (diskfile.File, error) {
	return f.open(path, diskfile.OS.Create)
}

func (f *failingFS) open(path string, open func(string) (diskfile.File, error)) (diskfile.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	file, err := open(path)
	if err != nil {
		return nil, err
	}
	return &failingFile{file, f}, nil
}

func (f *failingFS) Rename(oldPath, newPath string) error {
	if err := f.step(); err != nil {
		return err
	}
	return diskfile.OS.Rename(oldPath, newPath)
}

func (f *failingFS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	return diskfile.OS.SyncDir(dir)
}

type failingFile struct {
	diskfile.File
	fs *failingFS
}

func (f *failingFile) Write(b []byte) (int, error) {
	if err := f.fs.step(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *failingFile) Sync() error {
	if err := f.fs.step(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *failingFile) Truncate(size int64) error {
	if err := f.fs.step(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// maxFirstWrites is more than the writes of a first start.
const maxFirstWrites = 24

// firstStartFaults calls play for each single write of a first start, with a fault there: the
// process ends, or the disk refuses some writes and then works again.
func firstStartFaults(t *testing.T, play func(t *testing.T, failAt int, ends bool)) {
	for _, ends := range []bool{true, false} {
		for failAt := 1; failAt <= maxFirstWrites; failAt++ {
			t.Run(fmt.Sprintf("write %d, ends %t", failAt, ends), func(t *testing.T) {
				t.Parallel()
				play(t, failAt, ends)
			})
		}
	}
}

// failAt makes writes of a replica fail from one on.
func (n *node) failAt(write int, ends bool) *failingFS {
	f := &failingFS{failAt: write, fails: 2}
	if ends {
		f.fails = lasting
	}
	n.files = f
	return f
}

// awaitFailure waits until the disk of a replica has failed, or the replica has started without
// that many writes.
func awaitFailure(t *testing.T, n *node, f *failingFS) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.reached() && n.identity(t) == "" {
			return poll.Continue("still starting")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// identity returns the stored identity of a replica; empty if there is none.
func (n *node) identity(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(n.dir, "control.identity"))
	if !errors.Is(err, fs.ErrNotExist) {
		assert.NilError(t, err)
	}
	return string(data)
}

// TestGroupFormsAfterInterruptedFirstStart ends the first start of all founders after any single
// write: all of them kept their identities and no voters, and no group ever formed.
func TestGroupFormsAfterInterruptedFirstStart(t *testing.T) {
	for _, bootstrap := range []bool{true, false} {
		t.Run(fmt.Sprintf("bootstrap %t", bootstrap), func(t *testing.T) {
			firstStartFaults(t, func(t *testing.T, failAt int, ends bool) {
				c := &cluster{t: t}
				for range 3 {
					c.seeds = append(c.seeds, c.prepare(true).addr)
				}
				disks := map[*node]*failingFS{}
				for _, n := range c.nodes {
					t.Cleanup(n.stop)
					disks[n] = n.failAt(failAt, ends)
					c.start(n)
				}
				var notBegun []*node // founders that have left nothing of the founding
				for _, n := range c.nodes {
					awaitFailure(t, n, disks[n])
				}
				if ends {
					for _, n := range c.nodes {
						n.stop()
						if _, err := os.Stat(filepath.Join(n.dir, "control.snapshot")); err != nil {
							notBegun = append(notBegun, n)
						}
					}
					for _, n := range c.nodes {
						n.files, n.bootstrap = nil, bootstrap
						c.start(n)
					}
				}
				if !bootstrap && len(notBegun) > 0 {
					// Their disks don't show that there was no group before.
					time.Sleep(2 * electionMin)
					for _, n := range notBegun {
						assert.Assert(t, strings.HasPrefix(n.identity(t), n.addr+"~"), n.identity(t))
					}
					return
				}
				c.awaitVoters(3)
				c.put(1)
				c.expectTable(1)
			})
		})
	}
}

// TestLostDiskNeverVotesAgain ends the first start after a loss of the disk at any single write: the
// replica came back under its old identity, with a vote that it no longer had a record of.
func TestLostDiskNeverVotesAgain(t *testing.T) {
	firstStartFaults(t, func(t *testing.T, failAt int, ends bool) {
		c := newCluster(t, 3)
		c.awaitVoters(3)
		c.put(1)
		lost := c.nodes[0]
		lost.stop()
		assert.NilError(t, os.RemoveAll(lost.dir))
		assert.NilError(t, os.Mkdir(lost.dir, 0o700))
		lost.bootstrap = false
		disk := lost.failAt(failAt, ends)
		c.start(lost)
		awaitFailure(t, lost, disk)
		assert.Assert(t, lost.identity(t) != lost.addr)
		if ends {
			lost.stop()
			lost.files = nil
			c.start(lost)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if id := lost.identity(t); id == "" {
				return poll.Continue("no identity yet")
			} else if id == lost.addr {
				return poll.Error(errors.New("the lost identity is back"))
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
		c.awaitVoters(3)
		c.put(2)
		c.expectTable(2)
	})
}

// TestLostFilesTakeTheVote removes some files of a voter: without the record of its votes, or without
// its identity, it gets a new identity, and what it held is not used against the others.
func TestLostFilesTakeTheVote(t *testing.T) {
	tests := []struct {
		name    string
		removed []string
		emptied string
		keeps   bool
	}{
		{"nothing", nil, "", true},
		{"the log", []string{"control.log"}, "", false},
		{"the content of the log", nil, "control.log", false},
		{"the identity", []string{"control.identity"}, "", false},
		{"the content of the identity", nil, "control.identity", false},
		{"the log and the snapshot", []string{"control.log", "control.snapshot"}, "", false},
		{"the identity and the snapshot", []string{"control.identity", "control.snapshot"}, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			c.awaitVoters(3)
			c.put(1)
			n := c.nodes[0]
			n.stop()
			n.bootstrap = false
			for _, name := range tt.removed {
				assert.NilError(t, os.Remove(filepath.Join(n.dir, name)))
			}
			if tt.emptied != "" {
				assert.NilError(t, os.Truncate(filepath.Join(n.dir, tt.emptied), 0))
			}
			c.start(n)
			if tt.name == "the identity and the snapshot" {
				// Its log begins after a snapshot that is gone: it does not start.
				time.Sleep(2 * electionMin)
				assert.Equal(t, n.proc.Status().ID, "")
				c.expectTable(1)
				return
			}
			c.awaitVoters(3)
			assert.Equal(t, n.identity(t) == n.addr, tt.keeps)
			c.put(2)
			c.expectTable(2)
		})
	}
}
