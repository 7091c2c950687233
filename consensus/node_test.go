package consensus_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
)

var threeVoters = consensus.Members{Voters: []string{"a", "b", "c"}}

// newLoneNode returns replica a with a disk; the test sends the packets of its peers.
func newLoneNode(d *disk, now time.Time) *consensus.Node {
	conf := cfg
	conf.ID = "a"
	return consensus.New(conf, d.restored(), threeVoters, now, rand.New(rand.NewPCG(1, 1)))
}

func entriesOf(term uint64, from, to uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Data: []byte{byte(i)}})
	}
	return out
}

func newDisk(term uint64, entries []consensus.Entry) *disk {
	return &disk{hard: consensus.Hard{Term: term}, snap: consensus.Snapshot{Index: 1, Term: 1, Members: threeVoters}, entries: entries}
}

// takePackets syncs the node's Ready to its disk and returns its packets of one kind.
func takePackets(n *consensus.Node, d *disk, kind consensus.Kind) []consensus.Packet {
	r := n.Ready()
	d.sync(r)
	var out []consensus.Packet
	for _, p := range r.Packets {
		if p.Kind == kind {
			out = append(out, p)
		}
	}
	return out
}

func TestVoteSurvivesRestart(t *testing.T) {
	d := newDisk(1, nil)
	n := newLoneNode(d, start)
	now := start.Add(time.Second)
	// The term is synced first, so that only the vote changes.
	n.Step(now, consensus.Packet{Kind: consensus.Vote, From: "c", To: "a", Term: 5})
	assert.Assert(t, !takePackets(n, d, consensus.Voted)[0].OK, "c has a shorter log")
	n.Step(now, consensus.Packet{Kind: consensus.Vote, From: "b", To: "a", Term: 5, Index: 1, LogTerm: 1})
	assert.Assert(t, takePackets(n, d, consensus.Voted)[0].OK)
	n = newLoneNode(d, now)
	now = now.Add(time.Second)
	n.Step(now, consensus.Packet{Kind: consensus.Vote, From: "c", To: "a", Term: 5, Index: 1, LogTerm: 1})
	assert.Assert(t, !takePackets(n, d, consensus.Voted)[0].OK, "its vote of term 5 went to b")
}

func TestNoVoteRightAfterStart(t *testing.T) {
	d := newDisk(1, nil)
	n := newLoneNode(d, start)
	n.Step(start.Add(cfg.ElectionMin/2), consensus.Packet{Kind: consensus.Vote, From: "b", To: "a", Term: 5, Index: 1, LogTerm: 1})
	assert.Assert(t, !takePackets(n, d, consensus.Voted)[0].OK, "it may have acknowledged a leader before it went down")
}

// elect makes replica a the leader with the vote of b.
func elect(n *consensus.Node, d *disk, now time.Time) {
	n.Tick(now)
	pre := takePackets(n, d, consensus.PreVote)[0]
	n.Step(now, consensus.Packet{Kind: consensus.PreVoted, From: "b", To: "a", Term: pre.Term, OK: true})
	vote := takePackets(n, d, consensus.Vote)[0]
	n.Step(now, consensus.Packet{Kind: consensus.Voted, From: "b", To: "a", Term: vote.Term, OK: true})
}

func TestEntriesOfOldTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	d := newDisk(2, entriesOf(2, 2, 4))
	n := newLoneNode(d, start)
	now := start.Add(time.Second)
	elect(n, d, now)
	sent := takePackets(n, d, consensus.Append)[0]
	ack := consensus.Packet{Kind: consensus.Appended, From: "b", To: "a", Term: sent.Term, OK: true, Seq: sent.Seq, Index: 4}
	n.Step(now, ack)
	assert.Equal(t, n.Status(now).Commit, uint64(1), "a later leader could still replace entries of term 2")
	ack.Index = 5
	n.Step(now, ack)
	assert.Equal(t, n.Status(now).Commit, uint64(5))
}

func TestStaleSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	d := newDisk(2, entriesOf(2, 2, 10))
	n := newLoneNode(d, start)
	snap := consensus.Snapshot{Index: 5, Term: 2, Members: threeVoters}
	n.Step(start, consensus.Packet{Kind: consensus.Install, From: "b", To: "a", Term: 2, Snapshot: &snap})
	s := n.Status(start)
	assert.Equal(t, s.Last, uint64(10), "entries up to 10 were acknowledged")
	assert.Equal(t, s.Commit, uint64(5))
}

func TestCandidateWithLowerTermLearnsCurrentTerm(t *testing.T) {
	d := newDisk(7, nil)
	n := newLoneNode(d, start)
	now := start.Add(time.Second)
	n.Step(now, consensus.Packet{Kind: consensus.PreVote, From: "b", To: "a", Term: 4, Index: 9, LogTerm: 3})
	got := takePackets(n, d, consensus.PreVoted)[0]
	assert.Assert(t, !got.OK)
	assert.Equal(t, got.Term, uint64(7))
}

func BenchmarkPropose(b *testing.B) {
	d := newDisk(1, nil)
	n := newLoneNode(d, start)
	now := start.Add(time.Second)
	elect(n, d, now)
	for _, p := range takePackets(n, d, consensus.Append) {
		n.Step(now, consensus.Packet{Kind: consensus.Appended, From: p.To, To: "a", Term: p.Term, OK: true, Seq: p.Seq, Index: 2})
	}
	b.ReportAllocs()
	data := make([]byte, 300)
	for b.Loop() {
		i, err := n.Propose(now, data)
		if err != nil {
			b.Fatal(err)
		}
		n.Step(now, consensus.Packet{Kind: consensus.Appended, From: "b", To: "a", Term: n.Term(), OK: true, Index: i})
		n.Ready()
		n.Compact(i, nil)
	}
}
