package consensus_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
)

// TestVoterThatLostEntriesGetsThemAgain takes entries from the disk of a voter while the group keeps
// its leader: it stayed empty for good, counted as if it had them, and the two exchanged refusals as
// fast as they could.
func TestVoterThatLostEntriesGetsThemAgain(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(d *disk)
	}{
		{"all", func(d *disk) { *d = disk{} }},
		{"the last", func(d *disk) { d.entries = d.entries[:len(d.entries)/2] }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 7, "a", "b", "c")
			c.run(2 * time.Second)
			leader := c.leader()
			for range 40 {
				assert.Assert(t, c.propose(leader))
				c.run(20 * time.Millisecond)
			}
			var voter, other *replica
			for _, id := range c.order {
				switch r := c.replicas[id]; {
				case r == leader:
				case voter == nil:
					voter = r
				default:
					other = r
				}
			}
			calm := c.sent
			c.run(time.Second)
			calm = c.sent - calm

			c.crash(voter.id)
			c.entriesLost = true
			tt.lose(&voter.disk)
			c.startReplica(voter)
			sent := c.sent
			c.run(time.Second)
			assert.Equal(t, c.leader(), leader)
			assert.Assert(t, c.sent-sent < 2*calm, "%d packets in a second, %d before", c.sent-sent, calm)
			assert.DeepEqual(t, voter.applied, leader.applied)
			assert.DeepEqual(t, leader.node.Status(c.clock(leader)).LostEntries, []string{voter.id})

			c.crash(other.id)
			assert.Assert(t, c.propose(leader))
			c.run(time.Second)
			assert.DeepEqual(t, voter.applied, leader.applied)
		})
	}
}

// TestLostEntriesDoNotCommit checks that the leader stops counting what a voter no longer holds.
func TestLostEntriesDoNotCommit(t *testing.T) {
	d := newDisk(1, nil)
	n := newLoneNode(d, start)
	now := start.Add(time.Second)
	n.Tick(now)
	round := takePackets(n, d, consensus.PreVote)[0].Seq
	n.Step(now, consensus.Packet{Kind: consensus.PreVoted, From: "b", To: "a", Term: 2, OK: true, Seq: round})
	n.Step(now, consensus.Packet{Kind: consensus.Voted, From: "b", To: "a", Term: 2, OK: true})
	answer := func(from string, ok bool, index uint64) []consensus.Packet {
		n.Tick(now)
		var seq uint64
		for _, p := range takePackets(n, d, consensus.Append) {
			seq = max(seq, p.Seq)
		}
		n.Step(now, consensus.Packet{Kind: consensus.Appended, From: from, To: "a", Term: 2, OK: ok, Index: index, Hint: index, Seq: seq})
		now = now.Add(cfg.HeartbeatInterval)
		return takePackets(n, d, consensus.Append)
	}
	answer("b", true, 2)
	assert.Equal(t, n.Status(now).Commit, uint64(2))
	index, err := n.Propose(now, []byte("x"))
	assert.NilError(t, err)
	answer("b", true, index)
	assert.Equal(t, n.Status(now).Commit, index)

	assert.Equal(t, len(answer("b", false, 1)), 1, "the entries are sent again")
	assert.DeepEqual(t, n.Status(now).LostEntries, []string{"b"})
	next, err := n.Propose(now, []byte("y"))
	assert.NilError(t, err)
	answer("b", true, index)
	assert.Equal(t, n.Status(now).Commit, index)
	answer("b", true, next)
	assert.Equal(t, n.Status(now).Commit, next)
}
