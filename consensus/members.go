package consensus

import (
	"slices"
	"time"
)

// setMembers puts a membership into force. It is in force as soon as it is in the log, committed
// or not.
func (n *Node) setMembers(m Members, index uint64) {
	n.members, n.membersIndex = m, index
	if n.role == Leader {
		n.syncPeers(time.Time{})
	}
}

// findMembers puts the newest membership of the log into force, or base if the log has none.
func (n *Node) findMembers(base Members) {
	n.members, n.membersIndex = base, n.log.snap.Index
	for _, e := range n.log.entries {
		if e.Members != nil {
			n.members, n.membersIndex = *e.Members, e.Index
		}
	}
}

// membersAt returns the membership in force at an index.
func (n *Node) membersAt(index uint64) Members {
	m := n.log.snap.Members
	if n.log.snap.Index == 0 {
		m = n.members
	}
	for _, e := range n.log.entries {
		if e.Members != nil && e.Index <= index {
			m = *e.Members
		}
	}
	return m
}

// syncPeers keeps a progress for each other replica. A new one counts as having acknowledged a
// heartbeat round at now. setMembers passes the zero time, so that the new replica doesn't extend
// the leader lease.
func (n *Node) syncPeers(now time.Time) {
	want := append(slices.Clone(n.members.Voters), n.members.Learners...)
	for _, id := range want {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, ackAt: now}
		}
	}
	for id := range n.peers {
		if !slices.Contains(want, id) {
			delete(n.peers, id)
		}
	}
}

// Change is one membership change.
type Change struct {
	// Add is the ID of a new learner, Promote that of a learner that becomes a voter, Remove
	// that of a replica to be removed. Exactly one is set.
	Add, Promote, Remove string
}

// ChangeMembers proposes a membership change and returns its index in the log. Only one change may
// be uncommitted at a time, and a learner is promoted only after it has caught up.
func (n *Node) ChangeMembers(now time.Time, c Change) (uint64, error) {
	if !n.IsLeader(now) {
		return 0, ErrNotLeader
	}
	if n.membersIndex > n.commit {
		return 0, ErrChangePending
	}
	m, ok := n.applyChange(c)
	if !ok {
		return 0, ErrInvalidChange
	}
	index := n.append(Entry{Members: &m})
	n.broadcast(now)
	n.advanceCommit(now)
	return index, nil
}

func (n *Node) applyChange(c Change) (Members, bool) {
	m := Members{Voters: slices.Clone(n.members.Voters), Learners: slices.Clone(n.members.Learners)}
	isVoter, isLearner := slices.Contains(m.Voters, c.Add+c.Promote+c.Remove), slices.Contains(m.Learners, c.Add+c.Promote+c.Remove)
	switch {
	case c.Add != "" && !isVoter && !isLearner:
		m.Learners = append(m.Learners, c.Add)
	case c.Promote != "" && isLearner && n.CaughtUp(c.Promote):
		m.Learners = remove(m.Learners, c.Promote)
		m.Voters = append(m.Voters, c.Promote)
	case c.Remove != "" && (isLearner || isVoter && len(m.Voters) > 1):
		m.Learners = remove(m.Learners, c.Remove)
		m.Voters = remove(m.Voters, c.Remove)
	default:
		return m, false
	}
	return m, true
}

func remove(list []string, id string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == id })
}
