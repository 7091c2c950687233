package control

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/wal"
	"github.com/ledgepin/ledgepin/wire"
)

// dialReplica opens a link to a replica that supports a range of versions.
func dialReplica(t *testing.T, id string, versions compat.Range) *wire.Link {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	srv := httptest.NewServer(wire.Handler(log, wire.Options{Versions: versions, Hello: func() wire.Hello {
		return wire.Hello{Name: id, Role: wire.RoleControl}
	}}, func(l *wire.Link) { _ = l.Run(t.Context(), func(*wire.Message) {}) }))
	t.Cleanup(srv.Close)
	l, err := wire.Dial(t.Context(), srv.Listener.Addr().String(), wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "a"} }})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l
}

// TestVersionIsRequiredBeforeEntryIsWritten checks that the data folder and the links are
// protected before an entry that raises the version is written or sent, whether or not the
// entry is ever committed.
func TestVersionIsRequiredBeforeEntryIsWritten(t *testing.T) {
	dir := t.TempDir()
	disk, _, err := wal.Open(dir)
	assert.NilError(t, err)
	old, same := dialReplica(t, "old", compat.Single(compat.Base)), dialReplica(t, "same", wire.Versions)
	c := &Control{
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), disk: disk, state: fleet.New(), requiredVersion: compat.Base,
		replicaLinks: map[*wire.Link]bool{}, lastHello: map[string]wire.Hello{}, connected: map[string]int{"old": 1, "same": 1},
		peerLinks: map[string]*peerLink{"old": {link: old}, "same": {link: same}}, rejectionLog: event.Limiter{Interval: time.Minute, MaxKeys: 9},
	}
	assert.Assert(t, c.addReplicaLink(old) && c.addReplicaLink(same))
	assert.DeepEqual(t, c.joinable(), []string{"old", "same"})
	command, err := fleet.Encode(fleet.Change{ID: "t"})
	assert.NilError(t, err)
	assert.NilError(t, c.requireVersionOf(consensus.Ready{Entries: []consensus.Entry{{Index: 2, Data: command}}}))
	assert.Equal(t, disk.Version(), compat.Base)

	raise, err := fleet.Encode(fleet.Change{ID: "v", Version: compat.Newest})
	assert.NilError(t, err)
	assert.NilError(t, c.requireVersionOf(consensus.Ready{Entries: []consensus.Entry{{Index: 3, Data: raise}}}))
	assert.Equal(t, c.state.Version(), compat.Base, "the entry is not committed")
	assert.Equal(t, disk.Version(), compat.Newest)
	assert.Assert(t, c.peerLinks["old"].link == nil && c.peerLinks["same"].link == same)
	assert.Assert(t, old.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}}) != nil, "the link to the older replica is still open")
	assert.NilError(t, same.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}}))
	assert.DeepEqual(t, c.joinable(), []string{"same"})
	assert.Assert(t, !c.addReplicaLink(dialReplica(t, "old", compat.Single(compat.Base))))
	assert.NilError(t, disk.Close())
	_, o, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, o.Restored.Snapshot.Index == 0 && len(o.Restored.Entries) == 0)
}

// TestLowestVersionOfOpenLinksCounts checks that a member with links of two builds counts
// as the older build until that link has ended.
func TestLowestVersionOfOpenLinksCounts(t *testing.T) {
	c := &Control{requiredVersion: compat.Base, replicaLinks: map[*wire.Link]bool{}, lastHello: map[string]wire.Hello{}}
	_, ok := c.helloOf("b")
	assert.Assert(t, !ok)
	old, same := dialReplica(t, "b", compat.Single(compat.Base)), dialReplica(t, "b", wire.Versions)
	c.addReplicaLink(old)
	c.addReplicaLink(same)
	h, ok := c.helloOf("b")
	assert.Assert(t, ok && h.Range() == compat.Single(compat.Base))
	c.removeReplicaLink(old)
	h, _ = c.helloOf("b")
	assert.Equal(t, h.Range(), wire.Versions)
	c.removeReplicaLink(same)
	h, ok = c.helloOf("b")
	assert.Assert(t, ok && h.Range() == wire.Versions, "the last hello of a disconnected member is kept")
	assert.Assert(t, !c.hasLink("b"))
}

// TestFleetAndLinkVersionsMatch checks that the newest version of the fleet equals that of
// the links.
func TestFleetAndLinkVersionsMatch(t *testing.T) {
	assert.Equal(t, wire.Versions, compat.Range{Least: compat.Base, Most: compat.Newest})
}
