package consensus

import (
	"slices"
	"time"
)

func (n *Node) voter(id string) bool { return slices.Contains(n.members.Voters, id) }

func (n *Node) resetElection(now time.Time) {
	if n.idle {
		n.electionDue = n.idleElectionDue(now)
		return
	}
	spread := int64(n.cfg.ElectionMax - n.cfg.ElectionMin)
	n.electionDue = now.Add(n.cfg.ElectionMin + time.Duration(n.rng.Int64N(max(spread, 1))))
}

// becomeFollower makes the replica a follower in a term; leader is empty if it is not known.
func (n *Node) becomeFollower(now time.Time, term uint64, leader string) {
	if term > n.hard.Term {
		n.hard = Hard{Term: term}
		n.hardDirty = true
	}
	n.role = Follower
	n.leader = leader
	n.peers, n.votes, n.sentAt = nil, nil, nil
	n.resetElection(now)
}

func (n *Node) send(p Packet) {
	p.From = n.cfg.ID
	n.out.Packets = append(n.out.Packets, p)
}

// startPreVote asks the voters whether the replica would win an election, without starting a new
// term, so that a replica that was partitioned doesn't disrupt the leader.
func (n *Node) startPreVote(now time.Time) {
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.idleVoters = map[string]bool{n.cfg.ID: true}
	n.preRound++
	n.resetElection(now)
	n.requestVotes(PreVote, n.hard.Term+1)
	n.countVotes(now)
}

func (n *Node) startElection(now time.Time) {
	forced := n.allIdle()
	n.role = Candidate
	n.hard = Hard{Term: n.hard.Term + 1, Vote: n.cfg.ID}
	n.hardDirty = true
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElection(now)
	n.idleElection = forced
	n.requestVotes(Vote, n.hard.Term)
	n.countVotes(now)
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	for _, v := range n.members.Voters {
		if v != n.cfg.ID {
			n.send(Packet{Kind: kind, To: v, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Seq: n.preRound, Idle: kind == Vote && n.idleElection})
		}
	}
}

func (n *Node) countVotes(now time.Time) {
	granted := 0
	for _, v := range n.members.Voters {
		if n.votes[v] {
			granted++
		}
	}
	if n.role == PreCandidate && n.allIdle() {
		n.startElection(now)
		return
	}
	if granted < majority(len(n.members.Voters)) {
		return
	}
	if n.role == PreCandidate {
		n.startElection(now)
		return
	}
	n.becomeLeader(now)
}

// becomeLeader makes the replica the leader. It appends an entry without a command: once that
// entry is committed, all older entries are known to be committed.
func (n *Node) becomeLeader(now time.Time) {
	n.idle = false
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.peers = map[string]*progress{}
	n.sentAt = map[uint64]time.Time{}
	n.syncPeers(now)
	n.firstIndexOfTerm = n.append(Entry{})
	n.broadcast(now)
	n.advanceCommit(now)
}

// upToDate reports whether a candidate's log contains at least what this replica's log contains.
func (n *Node) upToDate(p Packet) bool {
	if p.LogTerm != n.log.lastTerm() {
		return p.LogTerm > n.log.lastTerm()
	}
	return p.Index >= n.log.lastIndex()
}

// leaseMayBeLive reports whether the last contact with a leader is so recent that its lease may
// still be live.
func (n *Node) leaseMayBeLive(now time.Time) bool {
	return n.role == Leader && n.IsLeader(now) || now.Sub(n.lastLeaderContact) < n.cfg.ElectionMin
}

func (n *Node) onPreVote(now time.Time, p Packet) {
	fits := p.Term > n.hard.Term && n.upToDate(p)
	ok := fits && !n.leaseMayBeLive(now)
	term := p.Term
	if !ok {
		// A candidate with a lower term but a longer log has to learn the current term; otherwise
		// neither of the two could ever be elected.
		term = n.hard.Term
	}
	n.send(Packet{Kind: PreVoted, To: p.From, Term: term, OK: ok, Seq: p.Seq, Idle: n.idle, Fits: fits})
}

func (n *Node) onVote(now time.Time, p Packet) {
	if n.leaseMayBeLive(now) && !(p.Idle && n.idle) || p.Term < n.hard.Term {
		n.send(Packet{Kind: Voted, To: p.From, Term: max(p.Term, n.hard.Term), OK: false})
		return
	}
	if p.Term > n.hard.Term {
		n.becomeFollower(now, p.Term, "")
	}
	ok := (n.hard.Vote == "" || n.hard.Vote == p.From) && n.upToDate(p)
	if ok {
		n.hard.Vote = p.From
		n.hardDirty = true
		n.resetElection(now)
	}
	n.send(Packet{Kind: Voted, To: p.From, Term: n.hard.Term, OK: ok})
}

func (n *Node) onVoted(now time.Time, p Packet) {
	wantRole := Candidate
	term := n.hard.Term
	if p.Kind == PreVoted {
		wantRole, term = PreCandidate, n.hard.Term+1
	}
	n.recordIdle(p)
	if n.role == PreCandidate && n.allIdle() {
		n.countVotes(now)
		return
	}
	if n.role != wantRole || p.Term != term || !p.OK {
		return
	}
	n.votes[p.From] = true
	n.countVotes(now)
}
