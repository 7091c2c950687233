package consensus

import "time"

// A replica grants no votes during the election timeout after its start: it may have acknowledged
// a leader just before it went down, and the lease of that leader may still be live. When all
// voters restart together, for example after a power failure, this wait is unnecessary: a leader
// is one of the voters, and a voter that has had no contact with a leader since its start does not
// lead. Such a voter is idle. A candidate may request votes at once if every voter has reported
// that it is idle, and voters that are still idle grant them.
//
// A voter that has lost its disk can't report: the replica that runs in its place has another
// identity and no vote. But the lost voter can't lead either, so the election doesn't wait for it.
//
// A voter that receives an Append or a snapshot from a leader is no longer idle and waits for the
// election timeout, so the lease of a new leader stays safe. The reports count for one round of
// pre-votes only.

// idleElectionDivisor sets the average time between two rounds of pre-votes of an idle replica:
// ElectionMin divided by it.
const idleElectionDivisor = 10

// idleElectionDue returns when an idle replica starts its next round of pre-votes.
func (n *Node) idleElectionDue(now time.Time) time.Time {
	interval := n.cfg.ElectionMin / idleElectionDivisor
	return now.Add(interval/2 + time.Duration(n.rng.Int64N(int64(max(interval, 1)))))
}

// recordIdle records that a voter reports itself idle in the current round of pre-votes, and
// whether it would grant its vote.
func (n *Node) recordIdle(p Packet) {
	if p.Kind == PreVoted && n.role == PreCandidate && p.Seq == n.preRound && p.Idle {
		n.idleVoters[p.From] = p.Fits
	}
}

// MarkLost records that a replica has lost its disk and that its process has ended: a replica
// with another identity answers at its address. The lost replica never votes or leads again.
func (n *Node) MarkLost(id string) { n.lost[id] = true }

// allIdle reports whether every voter is idle or lost, and a majority of the voters would grant
// its vote.
func (n *Node) allIdle() bool {
	if !n.idle {
		return false
	}
	fits := 0
	for _, v := range n.members.Voters {
		fit, idle := n.idleVoters[v]
		if n.lost[v] {
			continue
		}
		if !idle {
			return false
		}
		if fit {
			fits++
		}
	}
	return fits >= majority(len(n.members.Voters))
}
