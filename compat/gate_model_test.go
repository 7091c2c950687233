package compat_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fleet"
)

// checkGate checks the gate of a leader of the new build and proposes the next version if
// it may rise.
func (m *model) checkGate(r *modelReplica) {
	if !r.supportsNext() || !r.node.IsLeader(m.at()) {
		return
	}
	if term := r.node.Term(); term != r.term {
		r.gate, r.term, r.since = compat.Gate{}, term, map[string]time.Duration{}
	}
	var members []compat.Member
	for _, id := range m.members(r) {
		member := compat.Member{ID: id, Range: r.peerRanges[id], Disconnected: m.links[pair(r.id, id)] == nil}
		if id == r.id {
			member = compat.Member{ID: id, Range: r.build}
		}
		members = append(members, member)
		if _, ok := r.since[id]; !ok {
			r.since[id] = m.now
		}
	}
	holds := r.gate.Check(m.at(), r.state.Version(), r.build, members)
	holds = slices.DeleteFunc(holds, func(h compat.Blocker) bool { return m.disabled[string(h.Cause)] })
	if len(holds) > 0 || len(r.gate.CheckSettled(m.at(), modelSettling)) > 0 {
		return
	}
	m.checkRise(r, members)
	data, err := fleet.Encode(fleet.Change{ID: "version", Version: r.state.Version() + 1})
	if err != nil {
		m.fail("%v", err)
		return
	}
	if _, err := r.node.Propose(m.at(), data); err == nil {
		m.rises++
		r.gate.RecordProposal(r.state.Version() + 1)
		m.flush(r)
		m.disturb(r)
	}
}

// disturb causes failures while the proposal is in transit: a partition between the
// leader and another replica, an older build on a third, another leader.
func (m *model) disturb(r *modelReplica) {
	if m.undisturbed {
		return
	}
	others := slices.DeleteFunc(slices.Clone(m.order), func(id string) bool { return id == r.id })
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if m.rng.IntN(2) == 0 {
		k := pair(r.id, others[0])
		m.partitioned[k] = true
		m.closeLinks(func(l *modelLink) bool { return pair(l.a, l.b) == k })
	}
	if m.rng.IntN(2) == 0 {
		back := m.reps[others[1]]
		m.crash(back)
		back.build = oldBuild
		m.boot(back)
	}
}

func (m *model) members(r *modelReplica) []string {
	all := r.node.Status(m.at()).Members
	return append(slices.Clone(all.Voters), all.Learners...)
}

// checkRise checks that each present voter and learner can read the next version and has
// reported so for the settling time.
func (m *model) checkRise(r *modelReplica, members []compat.Member) {
	next := r.state.Version() + 1
	if r.logVersion >= next && r.disk.fence >= next && needs(r.disk.entries) >= next && r.term == r.lastTerm() {
		m.fail("%s proposes version %d twice", r.id, next)
	}
	for _, member := range members {
		other := m.reps[member.ID]
		if other.node != nil && !other.build.Contains(next) {
			m.fail("version %d is proposed while %s of build %v is a member", next, other.id, other.build)
		}
		if other.node == nil {
			m.fail("version %d is proposed while %s is down and may restart on any build", next, other.id)
		}
		if m.now-r.since[member.ID] < modelSettling {
			m.fail("version %d is proposed %s after %s joined or supported fewer versions", next, m.now-r.since[member.ID], member.ID)
		}
	}
}

// lastTerm returns the term of the last log entry on disk that raises the version.
func (r *modelReplica) lastTerm() uint64 {
	for _, e := range slices.Backward(r.disk.entries) {
		if fleet.CommandVersion(e.Data) > 0 {
			return e.Term
		}
	}
	return 0
}

// changeMembers proposes one membership change, with replicas that the leader may add.
func (m *model) changeMembers(r *modelReplica) {
	all := r.node.Status(m.at()).Members
	var step consensus.Change
	for _, id := range m.order {
		switch {
		case slices.Contains(all.Learners, id) && r.node.CaughtUp(id):
			step = consensus.Change{Promote: id}
		case !slices.Contains(all.Voters, id) && !slices.Contains(all.Learners, id) && m.now-m.linkedAt[pair(r.id, id)] < 100*time.Millisecond:
			step = consensus.Change{Add: id}
		}
	}
	if len(all.Voters) > 3 {
		step = consensus.Change{Remove: all.Voters[m.rng.IntN(len(all.Voters))]}
	}
	if step.Add != "" && !m.disabled["join"] && r.supportsNext() && !r.peerRanges[step.Add].Contains(r.logVersion) {
		return
	}
	if _, err := r.node.ChangeMembers(m.at(), step); err == nil {
		if step.Add != "" && r.supportsNext() && !r.peerRanges[step.Add].Contains(r.logVersion) {
			m.fail("%s joins a log of version %d and supports %v", step.Add, r.logVersion, r.peerRanges[step.Add])
		}
		m.flush(r)
	}
}

// runRandomSteps takes random steps: replicas stop and restart on the same or another
// build, links are partitioned, members join and leave, a new build reads an old log and
// vice versa.
func runRandomSteps(t *rapid.T, disabled ...string) *model {
	m := newModel(rapid.Uint64().Draw(t, "seed"), disabled...)
	m.run(time.Second)
	newer := rapid.IntRange(1, 9).Draw(t, "newer of ten")
	draw := func() compat.Range {
		if rapid.IntRange(0, 9).Draw(t, "build") < newer {
			return newBuild
		}
		return oldBuild
	}
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		r := m.reps[rapid.SampledFrom(m.order).Draw(t, "one")]
		k := pair(r.id, rapid.SampledFrom(m.order).Draw(t, "two"))
		switch rapid.IntRange(0, 10).Draw(t, "what") {
		case 0, 1, 2: // restarted on the same or another build
			m.crash(r)
			r.build = draw()
			m.boot(r)
		case 3: // replaced and still down
			m.crash(r)
			r.build = draw()
		case 10: // downgraded for a short time
			for _, build := range []compat.Range{oldBuild, newBuild} {
				m.crash(r)
				r.build = build
				m.boot(r)
				m.run(time.Duration(rapid.IntRange(5, 40).Draw(t, "up")) * time.Millisecond)
			}
		case 4:
			if r.node == nil {
				m.boot(r)
			}
		case 5:
			m.partitioned[k] = true
			m.closeLinks(func(l *modelLink) bool { return pair(l.a, l.b) == k })
		case 6:
			m.partitioned = map[[2]string]bool{}
		case 7:
			if len(m.order) < 6 {
				m.add(fmt.Sprint("n", len(m.order)), draw(), modelDisk{})
			}
		default:
			if l := m.leader(); l != nil && rapid.Bool().Draw(t, "members") {
				m.changeMembers(l)
			} else if l != nil {
				m.proposeBaseCommand(l)
			}
		}
		m.run(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	}
	return m
}

// finishUpgrade brings all replicas to the new build and checks that the version rises.
func (m *model) finishUpgrade() {
	m.undisturbed = true
	m.partitioned = map[[2]string]bool{}
	for _, id := range m.order {
		if r := m.reps[id]; r.node == nil || !r.supportsNext() {
			m.crash(r)
			r.build = newBuild
			m.boot(r)
		}
	}
	for range 20 {
		m.run(time.Second)
		l := m.leader()
		if l != nil && l.state.Version() == newBuild.Most {
			return
		}
		for _, id := range m.order { // restart after a crash
			if m.reps[id].node == nil {
				m.boot(m.reps[id])
			}
		}
	}
	m.fail("the version does not rise although all replicas run the new build")
}

// TestMixedBuildsReadTheirLogs checks that no replica is ever sent, or finds on its disk,
// what its build can't read; that all states are equal; and that the version rises in the
// end and never falls.
func TestMixedBuildsReadTheirLogs(t *testing.T) {
	rises := 0
	rapid.Check(t, func(t *rapid.T) {
		m := runRandomSteps(t)
		rises += m.rises
		if m.failure == "" {
			m.finishUpgrade()
		}
		if m.failure != "" {
			t.Fatal(m.failure)
		}
	})
	assert.Assert(t, rises > 0, "no version rose with mixed builds")
}

// TestEachGuardPreventsFailure disables the guards one by one and checks that the model
// then fails.
func TestEachGuardPreventsFailure(t *testing.T) {
	for _, guard := range []string{
		string(compat.CauseNeverReported), string(compat.CauseUnable), string(compat.CauseSilent), string(compat.CauseProposed),
		"range changed", "open", "close", "log version", "fence", "join",
	} {
		t.Run(guard, func(t *testing.T) {
			found := ""
			for seed := 0; found == "" && seed < 3000; seed++ {
				found = rapid.Custom(func(t *rapid.T) string { return runRandomSteps(t, guard).failure }).Example(seed)
			}
			assert.Assert(t, found != "", "the model finds no failure without this guard")
			t.Log(found)
		})
	}
}
