package consensus

import "time"

// After its start a replica grants no votes for the election time, since it may
// have acknowledged a leader just before it went down, and that leader's lease
// may be live. When all voters start together, as after a loss of power, that
// wait is for nothing: a leader is one of the voters, and a voter that has
// heard no leader since its start is none. So a candidate to which every voter
// says that it is idle in this sense may ask for votes at once, and voters that
// are still idle grant them.
//
// A voter that has lost its disk can say nothing: what runs in its place has
// another identity, and no vote. But it leads nobody either, so it does not hold
// the others up.
//
// A voter that has heard a leader meanwhile is not idle any more and keeps to
// the election time, so a new leader's lease is as safe as ever. The answers
// count for one round of pre-votes only.

// bootElection bounds the time between two rounds of pre-votes of an idle
// replica, as a share of the least election time.
const idleElectionDivisor = 10

// idleDue returns when an idle replica asks for pre-votes next.
func (n *Node) idleElectionDue(now time.Time) time.Time {
	interval := n.cfg.ElectionMin / idleElectionDivisor
	return now.Add(interval/2 + time.Duration(n.rng.Int64N(int64(max(interval, 1)))))
}

// noteIdle takes what a voter says about itself in a round of pre-votes.
func (n *Node) recordIdle(p Packet) {
	if p.Kind == PreVoted && n.role == PreCandidate && p.Seq == n.preRound && p.Idle {
		n.idleVoters[p.From] = p.Fits
	}
}

// NoteLost takes that a replica has lost its disk, and that its process has ended:
// another identity answers at its address. It never votes or leads again.
func (n *Node) MarkLost(id string) { n.lost[id] = true }

// allIdle tells whether every voter is idle, or lost, and a majority would grant
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
