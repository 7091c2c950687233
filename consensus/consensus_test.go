package consensus_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/consensus"
)

var crashPoints = []string{"before sync", "after sync", "before apply"}

// TestRandomFaultsLoseNoAcceptedCommand runs random partitions (also in one direction), packet
// losses, crashes at each sync point, restarts and proposals. Accepted commands must never be lost
// or reordered, and two replicas must never lead at the same time; cluster checks this. Once all
// faults are healed, the group must accept commands again.
func TestRandomFaultsLoseNoAcceptedCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = []string{"a", "b", "c", "d", "e"}
		}
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), names...)
		c.run(2 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			one := rapid.SampledFrom(names).Draw(t, "one")
			two := rapid.SampledFrom(names).Draw(t, "two")
			r := c.replicas[one]
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				c.partitioned[[2]string{one, two}] = true
			case 1:
				for _, o := range names { // partitioned in both directions
					c.partitioned[[2]string{one, o}], c.partitioned[[2]string{o, one}] = true, true
				}
			case 2:
				c.partitioned = map[[2]string]bool{}
			case 3:
				r.crashAt = rapid.SampledFrom(crashPoints).Draw(t, "point")
			case 4:
				if r.node == nil {
					c.startReplica(r)
				}
			case 8: // several replicas restart at once from their disks
				for _, o := range names {
					if c.rng.IntN(4) > 0 {
						c.crash(o)
						c.startReplica(c.replicas[o])
					}
				}
			case 6:
				r.paused = true
			case 7:
				r.paused = false
			case 5:
				c.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			default:
				if l := c.leader(); l != nil {
					c.propose(l)
				} else if r.node != nil && !r.paused {
					c.propose(r) // must be refused, or be safe
				}
			}
			c.run(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
		}
		c.heal()
		c.run(4 * time.Second)
		l := c.leader()
		if l == nil || !c.propose(l) {
			t.Fatalf("no leader after all faults are healed")
		}
		c.run(time.Second)
		for _, id := range names {
			if !slices.Equal(c.replicas[id].applied, c.history) {
				t.Fatalf("%s has %d commands at the end, want %d", id, len(c.replicas[id].applied), len(c.history))
			}
		}
		if len(c.accepted) != len(c.history) {
			t.Fatalf("%d commands accepted, %d in the history", len(c.accepted), len(c.history))
		}
	})
}

// TestSimultaneousRestartElectsEarly requires a leader well within the election timeout after all
// voters lose power at once. While one voter may still lead under a lease, the others must wait.
func TestSimultaneousRestartElectsEarly(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c", "d", "e")
	c.run(2 * time.Second)
	assert.Assert(t, c.propose(c.leader()))
	c.run(200 * time.Millisecond)
	for _, id := range c.order {
		c.crash(id)
	}
	c.run(50 * time.Millisecond)
	c.heal()
	c.run(cfg.ElectionMin * 2 / 3)
	assert.Assert(t, c.leader() != nil, "no leader within two thirds of the election timeout")
	assert.Equal(t, len(c.leader().applied), 1)

	old := c.leader().id
	for _, id := range c.order {
		if id != old {
			c.crash(id)
			c.startReplica(c.replicas[id])
			c.partitioned[[2]string{old, id}], c.partitioned[[2]string{id, old}] = true, true
		}
	}
	c.run(cfg.ElectionMin / 2)
	assert.Equal(t, c.leader().id, old, "the lease of a partitioned leader still holds")
}

// TestKnownLostVotersDoNotDelayElection requires a leader before the end of the election timeout
// when all voters lose power and two of five lose their disks, if the others know of these losses.
// If they don't, they must wait, since one of the two may lead. All three remaining votes are
// needed, so many elections collide.
func TestKnownLostVotersDoNotDelayElection(t *testing.T) {
	const seeds = 40
	earlyElections := func(known bool) int {
		out := 0
		for seed := range uint64(seeds) {
			c := newCluster(t, seed, "a", "b", "c", "d", "e")
			c.run(2 * time.Second)
			assert.Assert(t, c.propose(c.leader()))
			c.run(200 * time.Millisecond)
			for _, id := range c.order {
				c.crash(id)
			}
			c.run(50 * time.Millisecond)
			for _, id := range []string{"a", "b", "c"} {
				c.startReplica(c.replicas[id])
				if known {
					c.replicas[id].node.MarkLost("d")
					c.replicas[id].node.MarkLost("e")
				}
			}
			c.run(cfg.ElectionMin)
			if c.leader() != nil {
				out++
			}
			c.run(5 * time.Second)
			assert.Equal(t, len(c.leader().applied), 1, "an accepted command is lost")
		}
		return out
	}
	withKnownLosses, without := earlyElections(true), earlyElections(false)
	assert.Assert(t, withKnownLosses >= seeds/2 && without <= seeds/4, "early elections: %d with known losses, %d without, of %d", withKnownLosses, without, seeds)
}

func TestPartitionedLeaderLosesItsLease(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.run(2 * time.Second)
	old := c.leader()
	for _, o := range []string{"a", "b", "c"} {
		c.partitioned[[2]string{old.id, o}], c.partitioned[[2]string{o, old.id}] = true, true
	}
	c.run(cfg.ElectionMin)
	assert.Assert(t, !old.node.IsLeader(c.clock(old)), "it holds a lease without a majority")
	assert.Assert(t, !c.propose(old), "it accepts a command without a lease")
	c.run(time.Hour / 60)
	next := c.leader()
	assert.Assert(t, next != nil && next != old)
	assert.Assert(t, c.propose(next))
	term := next.node.Term()
	c.heal()
	c.run(2 * time.Second)
	assert.Equal(t, c.leader(), next, "the returning replica disrupts the leader")
	assert.Equal(t, next.node.Term(), term)
	assert.DeepEqual(t, old.applied, c.history)
}

func TestReplacedVoterCountsForQuorum(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	c.run(2 * time.Second)
	for range 50 {
		c.propose(c.leader())
		c.run(20 * time.Millisecond)
	}
	lost := "a"
	if c.leader().id == "a" {
		lost = "b"
	}
	c.crash(lost)
	c.run(time.Second)
	c.add("n", disk{})
	assert.Assert(t, c.change(consensus.Change{Add: "n"}))
	assert.Assert(t, !c.change(consensus.Change{Promote: "n"}), "a learner that has not caught up was promoted")
	c.run(3 * time.Second)
	assert.Assert(t, c.change(consensus.Change{Remove: lost}))
	c.run(500 * time.Millisecond)
	assert.Assert(t, c.change(consensus.Change{Promote: "n"}))
	c.run(500 * time.Millisecond)

	// The second replica is lost right after the first is replaced.
	second := c.leader().id
	before := len(c.history)
	c.crash(second)
	c.run(3 * time.Second)
	l := c.leader()
	assert.Assert(t, l != nil, "two of three voters elect no leader")
	assert.Equal(t, len(l.applied), before)
	assert.Assert(t, c.propose(l))
	c.run(time.Second)
	assert.Equal(t, len(c.history), before+1)
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c")
	c.run(2 * time.Second)
	l := c.leader()
	for _, id := range []string{"a", "b", "c"} {
		if id != l.id {
			c.partitioned[[2]string{l.id, id}] = true // nothing is committed
		}
	}
	_, err := l.node.ChangeMembers(c.clock(l), consensus.Change{Add: "x"})
	assert.NilError(t, err)
	_, err = l.node.ChangeMembers(c.clock(l), consensus.Change{Add: "y"})
	assert.ErrorIs(t, err, consensus.ErrChangePending)
}

// TestUncommittedMembershipIsReportedAsPending covers a replacement of a replica that only the
// leader has in its log. If the status reported it as done, an operator could remove the only
// replica that has it.
func TestUncommittedMembershipIsReportedAsPending(t *testing.T) {
	c := newCluster(t, 6, "a", "b")
	c.run(2 * time.Second)
	l := c.leader()
	c.add("n", disk{})
	assert.Assert(t, c.change(consensus.Change{Add: "n"}))
	c.run(time.Second)
	for _, id := range []string{"a", "b", "n"} {
		if id != l.id {
			c.partitioned[[2]string{l.id, id}] = true
		}
	}
	assert.Assert(t, !l.node.Status(c.clock(l)).Pending)
	_, err := l.node.ChangeMembers(c.clock(l), consensus.Change{Promote: "n"})
	assert.NilError(t, err)

	s := l.node.Status(c.clock(l))
	assert.Equal(t, len(s.Members.Voters), 3, "in force as soon as it is in the log")
	assert.Assert(t, s.Pending, "but lost if this replica is lost")

	c.heal()
	c.run(time.Second)
	for _, id := range []string{"a", "b", "n"} {
		r := c.replicas[id]
		s := r.node.Status(c.clock(r))
		assert.Assert(t, !s.Pending && len(s.Members.Voters) == 3, "%s: %+v", id, s)
	}
}

func TestLeaderWithFailedDiskStepsDown(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.run(2 * time.Second)
	l := c.leader()
	l.node.MarkFailed()
	c.run(3 * time.Second)
	assert.Assert(t, !l.node.IsLeader(c.clock(l)))
	assert.Equal(t, l.node.Status(c.clock(l)).Failed, true)
	next := c.leader()
	assert.Assert(t, next != nil && next != l, "the others elect no leader")
}

func TestFollowerBehindSnapshotCatchesUp(t *testing.T) {
	c := newCluster(t, 5, "a", "b", "c")
	c.run(2 * time.Second)
	down := "a"
	if c.leader().id == "a" {
		down = "b"
	}
	c.crash(down)
	for range 600 {
		if l := c.leader(); l != nil {
			c.propose(l)
		}
		c.run(10 * time.Millisecond)
	}
	r := c.replicas[down]
	c.startReplica(r)
	c.run(3 * time.Second)
	assert.DeepEqual(t, r.applied, c.history)
}

// TestDelayedAppendDoesNotMakeFollowerFresh pauses and resumes a follower: the leader's packets
// that were delivered late must not make it report itself fresh.
func TestDelayedAppendDoesNotMakeFollowerFresh(t *testing.T) {
	c := newCluster(t, 6, "a", "b", "c")
	c.run(2 * time.Second)
	f := c.replicas["a"]
	if c.leader() == f {
		f = c.replicas["b"]
	}
	c.run(time.Second)
	assert.Assert(t, f.node.Fresh(c.clock(f)))
	f.paused = true
	c.run(3 * time.Second)
	assert.Assert(t, c.propose(c.leader()))
	c.run(3 * time.Second)
	for _, fl := range c.inFlight { // only the oldest kept packet is delivered
		if fl.p.To == f.id {
			f.node.Step(c.clock(f), fl.p)
			break
		}
	}
	f.node.Ready()
	assert.Assert(t, !f.node.Fresh(c.clock(f)), "it lacks the command proposed three seconds ago")
}
