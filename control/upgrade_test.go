package control_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/wire"
)

// baseVersion is the range of a build that supports no versions.
var baseVersion = compat.Single(compat.Base)

// leader returns the leader and the status of the fleet's version that it reports.
func (c *cluster) leader() (*node, control.UpgradeStatus) {
	c.t.Helper()
	var out *node
	var state control.UpgradeStatus
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if n.proc == nil {
				continue
			}
			if u, err := n.proc.UpgradeStatus(); err == nil {
				out, state = n, u
				return poll.Success()
			}
		}
		return poll.Continue("no replica leads")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	return out, state
}

// awaitVersion waits until all running replicas have a version.
func (c *cluster) awaitVersion(want int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if n.proc != nil && n.proc.Dump().(control.Dump).Version != want {
				return poll.Continue("%s is not at version %d", n.addr, want)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// awaitBlocker waits until the leader reports that a member blocks the version for a cause.
func (c *cluster) awaitBlocker(cause compat.Cause, member string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, u := c.leader()
		for _, h := range u.Blockers {
			if h.Cause == cause && h.Member == member {
				return poll.Success()
			}
		}
		return poll.Continue("%+v", u)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (c *cluster) snapshotHeaders() []string {
	c.t.Helper()
	var out []string
	for _, n := range c.nodes {
		data, err := os.ReadFile(filepath.Join(n.dir, "control.snapshot"))
		assert.NilError(c.t, err)
		out = append(out, string(data[:4]))
	}
	return out
}

const (
	oldHeader = "1JPL"
	newHeader = "2JPL"
)

// TestVersionRisesAfterAllReplicasUpgrade replaces the replicas of a group one by one and
// reverts one of them. The version must rise once all of them run the new build, and not
// before.
func TestVersionRisesAfterAllReplicasUpgrade(t *testing.T) {
	c := &cluster{t: t, upgradeAfter: 300 * time.Millisecond}
	for range 3 {
		c.prepare(true).versions = baseVersion
	}
	for _, n := range c.nodes {
		c.seeds = append(c.seeds, n.addr)
	}
	for _, n := range c.nodes {
		c.start(n)
		t.Cleanup(n.stop)
	}
	replace := func(n *node, versions compat.Range) {
		n.stop()
		n.versions = versions
		c.start(n)
		c.put(uint64(time.Now().UnixNano()))
	}
	c.put(1)
	_, u := c.leader()
	assert.Equal(t, u.Next, 0)
	replace(c.nodes[0], wire.Versions)
	replace(c.nodes[1], wire.Versions)
	replace(c.nodes[1], baseVersion)
	replace(c.nodes[1], wire.Versions)
	time.Sleep(time.Second) // longer than the settle time
	c.awaitVersion(compat.Base)
	assert.DeepEqual(t, c.snapshotHeaders(), []string{oldHeader, oldHeader, oldHeader})
	if n, _ := c.leader(); n != c.nodes[2] {
		c.awaitBlocker(compat.CauseUnable, c.nodes[2].addr)
	}
	replace(c.nodes[2], wire.Versions)
	c.awaitVersion(compat.NewestStored)
	assert.DeepEqual(t, c.snapshotHeaders(), []string{newHeader, newHeader, newHeader})
	c.put(uint64(time.Now().UnixNano()))
	for _, n := range c.nodes {
		replace(n, wire.Versions)
	}
	c.awaitVersion(compat.NewestStored)
	assert.DeepEqual(t, c.snapshotHeaders(), []string{newHeader, newHeader, newHeader})
	c.awaitBlocker(compat.CauseNewest, "")
}

// TestReplicaOfAnOlderBuildIsRefused checks that a group at a version refuses replicas that
// do not read it, former members and new ones, and continues to work.
func TestReplicaOfAnOlderBuildIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.put(1)
	n, u := c.leader()
	assert.Equal(t, u.Version, compat.Base)
	assert.Equal(t, u.Next, compat.Base+1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n, _ = c.leader()
		if u, err := n.proc.RaiseVersion(t.Context(), "op"); err != nil || u.Version != compat.NewestStored {
			return poll.Continue("%v %+v", err, u)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	c.awaitVersion(compat.NewestStored)
	old := c.nodes[0]
	old.stop()
	old.versions = baseVersion
	for _, n := range c.nodes[1:] {
		n.stop()
		n.log = &logBuffer{}
		c.start(n)
	}
	c.put(2)
	c.start(old)
	newReplica := c.prepare(false)
	newReplica.versions = baseVersion
	c.start(newReplica)
	time.Sleep(2 * time.Second)
	c.put(3)
	for _, n := range c.nodes[1:3] {
		assert.Equal(t, n.log.count("LP6018"), 2, "one line for each of the two refused replicas")
		assert.Assert(t, !bytes.Contains([]byte(n.proc.Status().Leader), []byte(old.addr)))
		members := n.proc.Status().Members
		assert.Equal(t, len(members.Voters)+len(members.Learners), 3, "%v", members)
	}
	assert.Assert(t, old.proc.Status().Commit < c.nodes[1].proc.Status().Commit)
	newReplica.stop()
	old.stop()
	old.versions = compat.Range{}
	c.start(old)
	c.put(4)
	c.awaitVersion(compat.NewestStored)
}

// TestVersionIsHeldBackByMembers checks that the causes that hold a version back are
// reported, and that an operator's request to raise it is refused because of them.
func TestVersionIsHeldBackByMembers(t *testing.T) {
	c := newCluster(t, 3)
	c.put(1)
	n, _ := c.leader()
	stopped := c.nodes[0]
	if stopped == n {
		stopped = c.nodes[1]
	}
	stopped.stop()
	c.awaitBlocker(compat.CauseSilent, stopped.addr)
	n, _ = c.leader()
	u, err := n.proc.RaiseVersion(t.Context(), "op")
	assert.NilError(t, err)
	assert.Equal(t, u.Version, compat.Base)
	assert.Equal(t, u.Blockers[0].Cause, compat.CauseSilent)
	stopped.versions = baseVersion
	c.start(stopped)
	c.awaitBlocker(compat.CauseUnable, stopped.addr)
	// A leader that has just started has no report from a member that is down.
	stopped.stop()
	for _, n := range c.nodes {
		if n != stopped {
			n.stop()
			c.start(n)
		}
	}
	c.awaitBlocker(compat.CauseNeverReported, stopped.addr)
	c.awaitVersion(compat.Base)
}

// TestLinkOnlyVersionIsNotRaised checks that the fleet's version is not raised to one that
// only links use, so that it stays possible to return to the previous build, although all
// members read the newer version.
func TestLinkOnlyVersionIsNotRaised(t *testing.T) {
	c := newCluster(t, 3)
	c.put(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n, u := c.leader()
		if u.Version < compat.NewestStored {
			_, _ = n.proc.RaiseVersion(t.Context(), "op")
			return poll.Continue("at version %d", u.Version)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	n, _ := c.leader()
	u, err := n.proc.RaiseVersion(t.Context(), "op")
	assert.NilError(t, err)
	assert.Equal(t, u.Version, compat.NewestStored)
	assert.Equal(t, u.Next, 0)
}
