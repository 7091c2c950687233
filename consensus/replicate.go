package consensus

import (
	"slices"
	"time"
)

// Limits of replication.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
	// installRetryInterval is the time between two attempts to send a snapshot.
	installRetryInterval = time.Second
	// maxRounds is the number of rounds whose send times are kept.
	maxRounds = 256
)

// Step processes a packet from another replica. Packets that can't be decoded are ignored.
func (n *Node) Step(now time.Time, p Packet) {
	if n.failed || p.To != n.cfg.ID || p.DecodeErr() != nil {
		return
	}
	switch p.Kind {
	case PreVote:
		n.onPreVote(now, p)
	case Vote:
		n.onVote(now, p)
	case PreVoted, Voted:
		if !p.OK && p.Term > n.hard.Term {
			n.becomeFollower(now, p.Term, "")
			return
		}
		n.onVoted(now, p)
	case Append, Install:
		n.onLeaderPacket(now, p)
	case Appended, Installed:
		n.onAck(now, p)
	}
}

// onLeaderPacket processes a packet that only a leader sends.
func (n *Node) onLeaderPacket(now time.Time, p Packet) {
	if p.Term < n.hard.Term {
		n.send(Packet{Kind: Appended, To: p.From, Term: n.hard.Term})
		return
	}
	n.idle = false
	n.becomeFollower(now, p.Term, p.From)
	n.lastLeaderContact = now
	if p.Kind == Install && p.Snapshot != nil {
		n.onInstall(p)
		return
	}
	n.onAppend(p, n.newStamp(now))
	if at, ok := n.stamps[p.Stamp]; ok && p.OK && n.commit >= p.Commit && at.After(n.freshAt) {
		n.freshAt = at
	}
}

// newStamp returns a stamp for the leader to return and records the time of its creation.
func (n *Node) newStamp(now time.Time) uint64 {
	n.stamp++
	n.stamps[n.stamp] = now
	delete(n.stamps, n.stamp-maxRounds)
	return n.stamp
}

func (n *Node) onAppend(p Packet, stamp uint64) {
	reply := Packet{Kind: Appended, To: p.From, Term: n.hard.Term, Seq: p.Seq, Stamp: stamp}
	if p.Index > n.log.lastIndex() || p.Index >= n.log.snap.Index && n.log.term(p.Index) != p.LogTerm {
		reply.Hint = min(n.log.lastIndex(), p.Index-1)
		n.send(reply)
		return
	}
	for _, e := range p.Entries {
		n.storeEntry(e)
	}
	last := p.Index + uint64(len(p.Entries))
	reply.OK, reply.Index = true, max(last, n.log.snap.Index)
	if c := min(p.Commit, last); c > n.commit {
		n.commit = c
	}
	n.send(reply)
}

// storeEntry adds a leader's entry to the log. If the log has an entry of another term at that
// index, that entry and all after it are dropped.
func (n *Node) storeEntry(e Entry) {
	if e.Index <= n.log.snap.Index {
		return
	}
	if n.log.hasTerm(e.Index) {
		if n.log.term(e.Index) == e.Term {
			return
		}
		n.log.truncateFrom(e.Index)
		if n.membersIndex >= e.Index {
			n.findMembers(n.log.snap.Members)
		}
	}
	n.log.append(e)
	n.markUnsynced(e.Index)
	if e.Members != nil {
		n.setMembers(*e.Members, e.Index)
	}
}

// onInstall processes a snapshot. If the log already covers it, only the commit index changes:
// entries after it may have been acknowledged and must stay.
func (n *Node) onInstall(p Packet) {
	s := *p.Snapshot
	reply := Packet{Kind: Installed, To: p.From, Term: n.hard.Term, Seq: p.Seq, OK: true}
	switch {
	case s.Index <= n.commit:
	case n.log.hasTerm(s.Index) && n.log.term(s.Index) == s.Term:
		n.commit = s.Index
	default:
		n.log.reset(s)
		n.commit, n.applied, n.unsynced = s.Index, s.Index, 0
		n.setMembers(s.Members, s.Index)
		n.out.Snapshot = &s
		n.out.Committed = nil
	}
	reply.Index = n.commit
	n.send(reply)
}

// broadcast sends an Append to all other replicas.
func (n *Node) broadcast(now time.Time) {
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
	n.seq++
	n.sentAt[n.seq] = now
	delete(n.sentAt, n.seq-maxRounds)
	for _, id := range sortedPeers(n.peers) {
		n.sendAppend(now, id)
	}
}

func sortedPeers(m map[string]*progress) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (n *Node) sendAppend(now time.Time, id string) {
	p := n.peers[id]
	prev := p.next - 1
	if prev < n.log.snap.Index {
		n.sendInstall(now, id, p)
		return
	}
	entries := limitSize(n.log.between(p.next, min(n.log.lastIndex(), prev+maxAppendEntries)))
	n.send(Packet{
		Kind: Append, To: id, Term: n.hard.Term, Index: prev, LogTerm: n.log.term(prev),
		Entries: entries, Commit: n.commit, Seq: n.seq, OK: n.IsLeader(now), Stamp: p.stamp,
	})
	p.next += uint64(len(entries))
}

// limitSize returns the first entries that fit into one Append, at least one.
func limitSize(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// sendInstall sends the snapshot, or only a heartbeat while the previous attempt is recent.
func (n *Node) sendInstall(now time.Time, id string, p *progress) {
	if p.installing && now.Sub(p.installAt) < installRetryInterval {
		last := n.log.snap.Index
		n.send(Packet{Kind: Append, To: id, Term: n.hard.Term, Index: last, LogTerm: n.log.snap.Term, Seq: n.seq})
		return
	}
	p.installing, p.installAt = true, now
	s := n.log.snap
	n.send(Packet{Kind: Install, To: id, Term: n.hard.Term, Seq: n.seq, Snapshot: &s})
}

// onAck processes the response to an Append or an Install.
func (n *Node) onAck(now time.Time, a Packet) {
	if a.Term > n.hard.Term {
		n.becomeFollower(now, a.Term, "")
		return
	}
	p := n.peers[a.From]
	if n.role != Leader || a.Term < n.hard.Term || p == nil {
		return
	}
	if at, ok := n.sentAt[a.Seq]; ok && at.After(p.ackAt) {
		p.ackAt = at
	}
	p.stamp = a.Stamp // not the highest: a follower that has restarted begins with another number
	if !a.OK {
		n.onRefusal(now, p, a)
		return
	}
	if a.Kind == Installed || a.Index > p.match {
		p.installing = false
	}
	if a.Index > p.match {
		p.match, p.matchSeq = a.Index, n.seq
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
	if n.role == Leader && p.next <= n.log.lastIndex() {
		n.sendAppend(now, a.From)
	}
}

// onRefusal processes the response of a replica that lacks the entry before those of an Append.
func (n *Node) onRefusal(now time.Time, p *progress, a Packet) {
	if p.installing {
		return
	}
	if a.Hint < p.match && a.Seq > p.matchSeq {
		// It no longer holds what it had acknowledged, so it doesn't count until it does again.
		p.match, p.lostEntries = 0, true
	}
	next := max(min(a.Hint+1, p.next-1), p.match+1)
	if next >= p.next {
		return // an Append would be refused again; the next heartbeat asks later
	}
	p.next = next
	n.sendAppend(now, a.From)
}

// advanceCommit commits what a majority of the voters has. Entries of older terms are only
// committed together with one of the current term.
func (n *Node) advanceCommit(now time.Time) {
	if n.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		if v == n.cfg.ID {
			matches = append(matches, n.log.lastIndex())
		} else if p := n.peers[v]; p != nil {
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	i := len(matches) - majority(len(n.members.Voters))
	if i < 0 || matches[i] <= n.commit || n.log.term(matches[i]) != n.hard.Term {
		return
	}
	n.commit = matches[i]
	if n.membersIndex <= n.commit && !n.voter(n.cfg.ID) {
		n.broadcast(now) // send the commit index to the others before stepping down
		n.becomeFollower(now, n.hard.Term, "")
	}
}
