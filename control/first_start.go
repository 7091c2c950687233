package control

import (
	"slices"

	"github.com/ledgepin/ledgepin/consensus"
)

// A replica that has lost its disk has lost the record of its votes, so it must not take part
// under its old identity. A replica may also end, or its disk fail, after each single write of its
// first start. What it finds at the next start determines its identity:
//
//   - With an identity and a record in the log, which is written before the first vote, it goes on.
//   - A founder writes the founding snapshot, the log and its identity, in this order. Until it has
//     an identity it sends nothing, so it has not voted, and a later start completes the founding.
//   - A replica that joins writes a new identity and a record of the log, in this order. If it ends
//     in between, the next start gives it another identity.
//   - Everything else is a disk of which something is missing, or the unfinished first start of an
//     older build, which wrote the identity of a founder first. Such a replica can't be told from
//     one that has voted, so it joins under a new identity.

// stored is what a replica finds in its data folder at its start.
type stored struct {
	// name is the name of the replica in the settings.
	name string
	// identity is the stored identity; empty if there is none.
	identity string
	// recorded reports that the log holds a record.
	recorded bool
	restored consensus.Restored
}

// startAction is how a replica gets its identity.
type startAction int

const (
	// keepIdentity: the replica has its identity and the record of its votes.
	keepIdentity startAction = iota
	// completeFounding: an earlier start ended before it had founded the group.
	completeFounding
	// startEmpty: the folder holds neither votes nor accepted commands. The replica founds the
	// group if it may, and joins it otherwise.
	startEmpty
	// joinWithData: the record of the votes or the identity is missing. What the folder holds is
	// kept, and the replica joins under a new identity.
	joinWithData
)

// firstHard is the hard state of a founder that has neither voted nor had a leader.
var firstHard = consensus.Bootstrap(consensus.Members{}).Hard

func (s *stored) action() startAction {
	switch {
	case s.identity != "" && s.recorded:
		return keepIdentity
	case s.identity == "" && s.hasFoundingSnapshot() && slices.Contains(s.restored.Snapshot.Members.Voters, s.name):
		return completeFounding
	case s.restored.Snapshot.Index == 0 && !s.recorded:
		return startEmpty
	case s.identity == s.name && s.hasFoundingSnapshot():
		return startEmpty // a founder that ended before its first record
	}
	return joinWithData
}

// hasFoundingSnapshot reports whether the folder holds the snapshot of a founder and nothing newer.
func (s *stored) hasFoundingSnapshot() bool {
	first := consensus.Bootstrap(s.restored.Snapshot.Members).Snapshot
	snap := s.restored.Snapshot
	return snap.Index == first.Index && snap.Term == first.Term && len(snap.Data) == 0 && len(s.restored.Entries) == 0 &&
		(!s.recorded || s.restored.Hard == firstHard)
}

// mayFoundGroup reports whether a replica with an empty folder may found the group, as far as the
// folder tells: not if it has been given an identity to join under.
func (s *stored) mayFoundGroup() bool { return s.identity == "" || s.identity == s.name }
