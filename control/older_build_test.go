package control

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// TestReadsStateFilesOfOlderBuild checks that a replica restores what build 55b4ff8 saved
// beside its log.
func TestReadsStateFilesOfOlderBuild(t *testing.T) {
	h := newHub(nil, "z1", quota.Bounds{})
	now := clock.VM.Now()
	read := func(name string) *wire.Message {
		data, err := os.ReadFile("testdata/55b4ff8/whole/" + name)
		assert.NilError(t, err)
		m, err := wire.Unmarshal(data, name)
		assert.NilError(t, err)
		return m
	}
	n, ok := h.restoreServers(now, read("control.servers"))
	assert.Assert(t, ok && n == 2)
	one, ok := h.servers.Get("s1#1700000000000")
	assert.Assert(t, ok)
	one.Age = 0
	assert.DeepEqual(t, one, registry.Server{
		ID: "s1#1700000000000", Service: "small", Address: "10.0.0.1:9000", Zone: "z1", Slots: 8, State: registry.Ready,
		Role: registry.Prefill, Sequence: 12, Name: "s1", Born: 1700000000000,
	})
	assert.Equal(t, h.away["s2#1700000000001"].role, registry.Prefill)
	n, ok = h.restoreContents(now, read("control.contents"))
	assert.Assert(t, ok && n == 1)
	list, _ := h.contents.table.Since(now, 0, 1)
	assert.Equal(t, list[0].Content, poison.Digest{1, 2, 3})
	assert.Assert(t, list[0].Endings[0].Age > time.Second)
	list[0].Endings[0].Age = 0
	assert.DeepEqual(t, list[0].Endings[0], poison.Ending{Server: "s1#1", Ran: time.Second})
	assert.Equal(t, len(list[0].Endings), 2)
}

// TestKeepsIdentityOfOlderBuild checks that a replica keeps the identity that build 55b4ff8
// gave it.
func TestKeepsIdentityOfOlderBuild(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/55b4ff8/whole")))
	c := &Control{cfg: Config{Name: "other", Dir: dir}}
	disk, opened, err := c.openDisk()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = disk.Close() })
	identity, err := c.readIdentity()
	assert.NilError(t, err)
	id, restored, err := c.establishIdentity(stored{name: "other", identity: identity, recorded: opened.Recorded, restored: opened.Restored}, false)
	assert.NilError(t, err)
	assert.Equal(t, id, "a")
	assert.DeepEqual(t, restored, opened.Restored)
}
