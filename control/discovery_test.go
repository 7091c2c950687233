package control_test

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

const electionMin = 300 * time.Millisecond

// node is a replica that finds the others through seeds.
type node struct {
	addr      string
	dir       string
	bootstrap bool
	proc      *control.Control
	srv       *http.Server
	// listener is the listener that srv serves.
	listener net.Listener
	flaky    *member
	// files is its file system; nil for one whose log is opened by flaky.open.
	files diskfile.FS
	// clock is the clock of its VM; nil for that of this machine.
	clock *clock.Clock
	// versions are those that it reads; zero for those of the build.
	versions compat.Range
	// log receives its log lines; nil discards them.
	log *logBuffer
}

// cluster is a group of nodes. The first three are the seeds.
type cluster struct {
	t     testing.TB
	nodes []*node
	seeds []string
	// upgradeAfter is Config.UpgradeAfter of the nodes.
	upgradeAfter time.Duration
	// snapshotEvery is Config.SnapshotEvery of the nodes; zero for 20.
	snapshotEvery int
	// snapshotBytes is Config.SnapshotBytes of the nodes; zero for the default.
	snapshotBytes int
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	for range n {
		c.prepare(true)
	}
	for _, n := range c.nodes[:3] {
		c.seeds = append(c.seeds, n.addr)
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

func (c *cluster) prepare(bootstrap bool) *node {
	n := &node{addr: freeport.Addr(c.t), dir: c.t.TempDir(), bootstrap: bootstrap, flaky: &member{}}
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) start(n *node) {
	c.t.Helper()
	files := n.files
	if files == nil {
		files = logFS{diskfile.OS, n.flaky.open}
	}
	log := discardLog
	if n.log != nil {
		log = slog.New(slog.NewTextHandler(n.log, nil))
	}
	p, err := control.Start(control.Config{
		Versions: n.versions, UpgradeAfter: c.upgradeAfter,
		Name: n.addr, Zone: "z", Dir: n.dir, Log: log, SnapshotEvery: cmp.Or(c.snapshotEvery, 20), SnapshotBytes: c.snapshotBytes, Files: files, Clock: n.clock,
		Discovery:   &control.Discovery{Seeds: c.seeds, Bootstrap: n.bootstrap, Voters: 5},
		ElectionMin: electionMin, HeartbeatEvery: 50 * time.Millisecond,
	})
	assert.NilError(c.t, err)
	ln, err := net.Listen("tcp", n.addr)
	assert.NilError(c.t, err)
	n.proc, n.srv, n.listener = p, &http.Server{Handler: p.Handler()}, ln
	srv := n.srv
	go func() { _ = srv.Serve(ln) }()
}

func (n *node) stop() {
	if n.proc == nil {
		return
	}
	_ = n.srv.Close()
	_ = n.listener.Close() // the server closes it only if its goroutine has started
	n.proc.Close()
	n.proc = nil
}

// put sends a table to the replicas until one of them accepts it.
func (c *cluster) put(version uint64) {
	c.t.Helper()
	t := &route.Table{Version: version, Source: []byte{byte(version)}}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if n.proc != nil && n.proc.PutTable(context.Background(), t) == nil {
				return poll.Success()
			}
		}
		return poll.Continue("no replica accepts the table")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// expectTable checks that every running replica returns the version or an error, and that
// at least one returns the version. A follower may lag by the election timeout.
func (c *cluster) expectTable(version uint64) {
	c.t.Helper()
	deadline := clock.VM.Now().Add(electionMin)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		answered := 0
		for _, n := range c.nodes {
			if n.proc == nil {
				continue
			}
			t, err := n.proc.Table()
			if err != nil {
				continue
			}
			if t == nil || t.Version != version || t.Source[0] != byte(version) {
				if clock.VM.Now().Before(deadline) {
					return poll.Continue("a replica lags behind")
				}
				return poll.Error(errStaleTable)
			}
			answered++
		}
		if answered == 0 {
			return poll.Continue("no replica answers")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

var errStaleTable = fault.New(fault.Internal, fault.StepSettings, "", "a replica returned an older table")

// awaitVoters waits until the group has a number of voters, each of them the current
// identity of a running replica.
func (c *cluster) awaitVoters(want int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(l poll.LogT) poll.Result {
		var running []string
		var leader consensus.Status
		for _, n := range c.nodes {
			if n.proc == nil {
				continue
			}
			s := n.proc.Status()
			running = append(running, s.ID)
			if s.Lease {
				leader = s
			}
		}
		for _, n := range c.nodes {
			if n.proc != nil {
				l.Logf("%+v", n.proc.Dump())
			}
		}
		stopped := func(id string) bool { return !slices.Contains(running, id) }
		if leader.Pending || len(leader.Members.Voters) != want || slices.ContainsFunc(leader.Members.Voters, stopped) {
			return poll.Continue("voters %v, running %v, leader %+v", leader.Members.Voters, running, leader)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestDiscoveredGroupSurvivesLosses takes a group from its first start through the losses
// that it must survive: all processes at once, two disks in a power loss of all VMs, and a
// machine replaced at another address.
func TestDiscoveredGroupSurvivesLosses(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitVoters(5)
	c.put(1)
	c.put(7)
	c.put(3) // superseded: acknowledged without effect
	c.expectTable(7)

	for _, n := range c.nodes {
		n.stop()
		n.bootstrap = false
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	c.expectTable(7)

	for i, n := range c.nodes {
		n.stop()
		if i == 0 || i == 3 {
			n.dir = t.TempDir()
		}
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	c.expectTable(7)
	c.awaitVoters(5)

	c.nodes[1].stop()
	c.start(c.prepare(false))
	c.awaitVoters(5)
	c.put(8)
	// The first two of the remaining five may stop now.
	c.nodes[2].stop()
	c.nodes[4].stop()
	c.put(9)
	c.expectTable(9)
}

// TestInvalidTableIsRefused checks that an invalid table is refused, and that a table gets
// an error that leaves its outcome open if no other replica may have received it.
func TestInvalidTableIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.put(1)
	bad := &route.Table{Version: 2, Routes: []route.Route{{Name: "r"}}}
	for _, n := range c.nodes {
		assert.Assert(t, fault.Is(n.proc.PutTable(context.Background(), bad), fault.BadSettings))
	}
	c.expectTable(1)
	c.nodes[0].stop()
	c.nodes[1].stop()
	err := c.nodes[2].proc.PutTable(context.Background(), &route.Table{Version: 5})
	assert.Assert(t, fault.Is(err, fault.NotLeader) || fault.Is(err, fault.ChangeOutcomeUnknown), "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.nodes[2].proc.Table(); err == nil {
			return poll.Continue("an isolated replica answers a read")
		}
		return poll.Success()
	})
	assert.NilError(t, c.nodes[2].proc.PutTable(context.Background(), &route.Table{Version: 1}), "a committed table is acknowledged again")
}

// TestReplicaRejoinsAfterFullDisk checks that a replica whose disk was full rejoins the
// group.
func TestReplicaRejoinsAfterFullDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(3)
	c.put(1)
	full := c.nodes[0]
	full.flaky.flaky.fill()
	c.put(2)
	c.put(3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s := full.proc.Status()
		if s.Failed || s.Commit == 0 || s.Leader == "" {
			return poll.Continue("it has not rejoined the group")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	c.nodes[1].stop()
	c.put(4)
	c.expectTable(4)
}

// TestReportsReachAllReplicas checks that the report of a leaving server reaches every
// replica, and that a replica without connections rejects reports.
func TestReportsReachAllReplicas(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(3)
	s := registry.Server{ID: "i", Service: "s", Address: "127.0.0.1:9", State: registry.Ready, Sequence: 1}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if heard, err := c.nodes[0].proc.Report(s); err != nil || !heard {
			return poll.Continue("no gateway or replica is connected")
		}
		return poll.Success()
	})
	s.State, s.Sequence = registry.Draining, 2
	_, err := c.nodes[0].proc.Report(s)
	assert.NilError(t, err)
	for _, n := range c.nodes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, got := range n.proc.Servers() {
				if got.ID == "i" && got.State == registry.Draining {
					return poll.Success()
				}
			}
			return poll.Continue("%s has not received it", n.addr)
		})
	}
	c.nodes[1].stop()
	c.nodes[2].stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if heard, _ := c.nodes[0].proc.Report(s); heard {
			return poll.Continue("it accepts the report of a server without any connection")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
