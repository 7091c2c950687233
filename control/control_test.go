package control_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/tcpproxy"
	"github.com/ledgepin/ledgepin/route"
)

func TestConcurrentChangesConflict(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	l := g.leader()
	var wg sync.WaitGroup
	errs := make([]error, 2)
	outs := make([]control.Outcome, 2)
	for i := range 2 {
		wg.Go(func() { outs[i], errs[i] = change(l.proc, fmt.Sprint("race", i), 1, g.text(10+i)) })
	}
	wg.Wait()
	accepted := 0
	for i := range 2 {
		if errs[i] == nil {
			accepted++
			assert.Equal(t, outs[i].Revision, uint64(2))
			continue
		}
		assert.Assert(t, fault.Is(errs[i], fault.Conflict), "%v", errs[i])
		assert.Equal(t, len(outs[i].Since), 1, "the conflicting change gets the changes since its base")
		assert.Equal(t, outs[i].Since[0].ID, fmt.Sprint("race", 1-i))
	}
	assert.Equal(t, accepted, 1)
	for _, m := range g.members {
		g.awaitRevision(m, 2)
	}
}

func TestResentChangeIsAppliedOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	first := g.commit("same", 0, g.text(1))
	for i := range 50 { // enough for a snapshot
		g.commit(fmt.Sprint("more", i), uint64(i+1), g.text(2+i))
	}
	again, err := change(g.leader().proc, "same", 0, g.text(1))
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Result, first.Result)

	old := g.leader()
	old.stop()
	again = g.commit("same", 0, g.text(1))
	assert.DeepEqual(t, again.Result, first.Result)
	for _, m := range g.others(old) {
		m.stop()
	}
	for name := range g.members {
		g.start(name)
	}
	again = g.commit("same", 0, g.text(1))
	assert.DeepEqual(t, again.Result, first.Result)
	g.awaitRevision(g.leader(), 51)
}

// TestLeaderKilledWhileAnswering checks that a change is made once if the leader stops
// while it handles it, even if the change reaches the leader only as it stops.
func TestLeaderKilledWhileAnswering(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "after a while": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, "a", "b", "c")
			g.commit("first", 0, g.text(1))
			l := g.leader()
			proc := l.proc // the group drops it when it stops
			begun, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				close(begun)
				_, _ = change(proc, "cut", 1, g.text(2)) // its answer is lost
			}()
			<-begun
			time.Sleep(delay)
			l.stop()
			<-done
			out := g.commit("cut", 1, g.text(2))
			assert.Equal(t, out.Revision, uint64(2), "the change is made once, whichever leader answered")
			out = g.commit("next", 2, g.text(3))
			assert.Equal(t, out.Revision, uint64(3))
		})
	}
}

// TestStoppedReplicaRefusesChanges checks that a stopped replica refuses changes like one
// that doesn't lead, although its lease may not have expired.
func TestStoppedReplicaRefusesChanges(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	l := g.leader()
	proc := l.proc
	l.stop()
	_, err := change(proc, "late", 1, g.text(2))
	assert.Assert(t, fault.Is(err, fault.NotLeader), "%v", err)
	_, err = proc.Settings()
	assert.Assert(t, fault.Is(err, fault.NotLeader), "%v", err)
	assert.Assert(t, fault.Is(proc.PutTable(t.Context(), &route.Table{Version: 1}), fault.NotLeader))
	_, err = proc.RaiseVersion(t.Context(), "op")
	assert.Assert(t, fault.Is(err, fault.NotLeader), "%v", err)
	out := g.commit("next", 1, g.text(3))
	assert.Equal(t, out.Revision, uint64(2))
}

func TestPartitionedLeaderRefusesReadsAndChanges(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	old := g.leader()
	g.isolate(old)
	g.wait("the partitioned leader to lose its lease", func() bool { return !old.proc.Status().Lease })
	_, err := old.proc.Settings()
	assert.Assert(t, fault.Is(err, fault.NotLeader), "a partitioned leader must refuse reads: %v", err)
	_, err = change(old.proc, "lost", 1, g.text(9))
	assert.Assert(t, fault.Is(err, fault.NotLeader), "a partitioned leader must refuse changes: %v", err)

	out := g.commit("new", 1, g.text(2))
	assert.Equal(t, out.Revision, uint64(2))
	g.rejoin(old)
	g.awaitRevision(old, 2)
}

func TestFollowerCatchesUpFromSnapshot(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	f := g.others(g.leader())[0]
	f.stop()
	for i := range 120 {
		g.commit(fmt.Sprint("c", i), uint64(i+1), g.text(2+i))
	}
	g.start(f.name)
	g.awaitRevision(f, 121)
}

func TestReplicaRecoversFromTornLog(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	f := g.others(g.leader())[0]
	g.awaitRevision(f, 1)
	f.stop()
	log, err := os.OpenFile(filepath.Join(f.dir, "control.log"), os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = log.WriteString("1JPLhalf a record")
	assert.NilError(t, err)
	assert.NilError(t, log.Close())
	g.commit("second", 1, g.text(2))
	g.start(f.name)
	g.awaitRevision(f, 2)
}

func TestCorruptLogIsRefused(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	g.commit("second", 1, g.text(2))
	f := g.others(g.leader())[0]
	g.awaitRevision(f, 2)
	f.stop()
	path := filepath.Join(f.dir, "control.log")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[20] ^= 0xff
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	_, err = control.Start(control.Config{Name: f.name, Members: g.addrs, Dir: f.dir, Log: discardLog})
	assert.Assert(t, fault.Is(err, fault.JournalBroken), "%v", err)
}

func TestFullDiskRejectsChange(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.commit("first", 0, g.text(1))
	l := g.leader()
	l.flaky.fill()
	_, err := change(l.proc, "full", 1, g.text(2))
	assert.Assert(t, err != nil, "a change was accepted on a full disk")
	g.wait("the vote to be given up", func() bool { return l.proc.Status().Failed })
	out := g.commit("full", 1, g.text(2))
	assert.Equal(t, out.Revision, uint64(2), "the other replicas continue, and the change is made once")
}

// TestSlowReplicaBecomesFoundingVoter checks that a replica whose requests to the other
// founders are delayed at the first start still founds the group with them. Otherwise the
// group could not survive a failure from its first change on.
func TestSlowReplicaBecomesFoundingVoter(t *testing.T) {
	t.Parallel()
	g := prepareGroup(t, "a", "b", "c")
	slowLinks := []*tcpproxy.Proxy{g.gates[[2]string{"c", "a"}], g.gates[[2]string{"c", "b"}]}
	for _, link := range slowLinks {
		link.Block()
	}
	for _, n := range []string{"a", "b", "c"} {
		g.start(n)
	}
	g.commit("first", 0, g.text(1))
	for _, link := range slowLinks {
		link.Unblock()
	}
	g.awaitRevision(g.members["c"], 1)
	first := g.leader()
	first.stop()
	out := g.commit("second", 1, g.text(2))
	assert.Equal(t, out.Revision, uint64(2))
}

// TestGroupSurvivesSecondLossAfterReplacement replaces a replica that lost its disk, and
// stops another one right after that.
func TestGroupSurvivesSecondLossAfterReplacement(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	for i := range 30 {
		g.commit(fmt.Sprint("c", i), uint64(i), g.textWithControl(i+1))
	}
	lost := g.others(g.leader())[0]
	lost.stop()
	lost.dir = t.TempDir() // a new VM with an empty disk
	g.start(lost.name)
	g.wait("the new replica to vote under a new identity", func() bool {
		s := g.leader().proc.Status()
		if s.Pending {
			return false // only the leader may have the latest membership
		}
		for _, v := range s.Members.Voters {
			if strings.HasPrefix(v, lost.name+"~") {
				return len(s.Members.Voters) == 3 && len(s.Members.Learners) == 0
			}
		}
		return false
	})
	g.awaitRevision(lost, 30)

	second := g.leader()
	second.stop()
	out := g.commit("after", 30, g.textWithControl(99))
	assert.Equal(t, out.Revision, uint64(31))
	for _, m := range g.others(second) {
		g.awaitRevision(m, 31)
	}
}

// TestJournalGrowthPerChange bounds how much one change of one value adds to the journal.
func TestJournalGrowthPerChange(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a")
	g.commit("first", 0, g.text(1))
	m := g.members["a"]
	size := func() int64 { return m.proc.Dump().(control.Dump).Journal }
	before := size()
	const changes = 15 // fewer than the entries between snapshots
	for i := range changes {
		g.commit(fmt.Sprint("c", i), uint64(i+1), g.text(2+i))
	}
	perChange := float64(size()-before) / changes
	t.Logf("%.0f bytes per change in the journal", perChange)
	assert.Assert(t, perChange > 0 && perChange < 400, "%.0f bytes per change", perChange)
}
