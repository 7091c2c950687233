package consensus

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the fixed parameters of a replica.
type Config struct {
	ID string
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// ElectionMin is the time after its last contact with a leader in which a voter grants no
	// vote. A replica starts an election after a random time from ElectionMin to ElectionMax
	// without contact.
	ElectionMin, ElectionMax time.Duration
	// MaxClockDrift is the largest share by which one clock runs faster than another. The leader
	// lease is shortened by it.
	MaxClockDrift float64
}

// Hard is the state that must be synced before any packet that depends on it is sent.
type Hard struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
}

// Restored is the state that a replica reads from its disk at its start.
type Restored struct {
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// Ready lists what the caller has to do after each call of a method, in this order: install
// Snapshot, sync Hard and Entries, send Packets, apply Committed.
type Ready struct {
	Snapshot  *Snapshot
	Hard      *Hard
	Entries   []Entry
	Packets   []Packet
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries)+len(r.Packets)+len(r.Committed) == 0
}

// Role is the role of a replica in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("consensus: not the leader with a live lease")
	ErrChangePending = errors.New("consensus: another membership change is not committed yet")
	ErrInvalidChange = errors.New("consensus: invalid membership change")
)

// progress is a leader's view of another replica.
type progress struct {
	next, match uint64
	// matchSeq is the round at which match was acknowledged: what the replica says about a later
	// one, it has said after that.
	matchSeq uint64
	// lostEntries is set once the replica has lacked entries that it had acknowledged.
	lostEntries bool
	stamp       uint64    // its last stamp, for the next Append
	ackAt       time.Time // when the newest acknowledged round was sent
	installing  bool
	installAt   time.Time
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	hard Hard
	log  log

	members      Members
	membersIndex uint64
	commit       uint64
	applied      uint64

	role              Role
	leader            string
	votes             map[string]bool
	peers             map[string]*progress
	lastLeaderContact time.Time
	// idle is set if the replica has had no contact with a leader since its start. idleVoters
	// are the voters that report the same in the round of pre-votes preRound, with whether they
	// would grant their vote.
	idle       bool
	idleVoters map[string]bool
	// lost holds the replicas that have permanently lost their disks.
	lost     map[string]bool
	preRound uint64
	// idleElection is set if the current candidacy relies on all voters being idle.
	idleElection     bool
	electionDue      time.Time
	heartbeatDue     time.Time
	seq              uint64
	sentAt           map[uint64]time.Time
	firstIndexOfTerm uint64 // index of the leader's first entry in its term
	failed           bool
	// freshAt is the latest time for which a leader under its lease has confirmed the commit
	// index. stamps holds when each stamp that the leader may return was sent.
	freshAt time.Time
	stamp   uint64
	stamps  map[uint64]time.Time

	out       Ready
	hardDirty bool
	unsynced  uint64 // lowest index not yet returned in a Ready; zero if none
}

// New returns a replica with the state from its disk. first is the membership if that state has
// none. A replica without members waits until a leader adds it.
func New(cfg Config, r Restored, first Members, now time.Time, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg, rng: rng, hard: r.Hard, log: newLog(r.Snapshot, r.Entries), stamps: map[uint64]time.Time{}, lost: map[string]bool{}}
	n.stamp = rng.Uint64() >> 1 // random, so that stamps of an earlier incarnation are not accepted
	n.commit, n.applied = r.Snapshot.Index, r.Snapshot.Index
	n.members = first
	if r.Snapshot.Index > 0 {
		n.members = r.Snapshot.Members
	}
	n.findMembers(n.members)
	// The replica may have acknowledged a leader just before it went down, and the lease of that leader may be live.
	n.lastLeaderContact = now
	n.idle = true
	n.resetElection(now)
	if len(n.members.Voters) == 1 && n.voter(cfg.ID) {
		n.electionDue = now // there are no other voters to wait for
	}
	return n
}

// Bootstrap returns the initial state on the disk of each first replica, which all have the same
// membership.
func Bootstrap(m Members) Restored {
	return Restored{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, Hard: Hard{Term: 1}}
}

// Ready returns the pending work and clears it.
func (n *Node) Ready() Ready {
	out := n.out
	n.out = Ready{}
	if n.failed {
		return Ready{}
	}
	if n.hardDirty {
		h := n.hard
		out.Hard = &h
		n.hardDirty = false
	}
	if n.unsynced > 0 {
		out.Entries = n.log.from(n.unsynced)
		n.unsynced = 0
	}
	if n.commit > n.applied {
		out.Committed = n.log.between(n.applied+1, n.commit)
		n.applied = n.commit
	}
	return out
}

// MarkFailed records that a write to or a sync of the disk failed. The replica sends no packets
// and grants no votes from now on.
func (n *Node) MarkFailed() {
	n.failed = true
	n.role = Follower
	n.leader = ""
}

// Failed reports whether MarkFailed or StopAt was called.
func (n *Node) Failed() bool { return n.failed }

// Tick starts elections and sends heartbeats that are due.
func (n *Node) Tick(now time.Time) {
	if n.failed {
		return
	}
	if n.role == Leader {
		n.leaderTick(now)
		return
	}
	if !now.Before(n.electionDue) && n.voter(n.cfg.ID) {
		n.startPreVote(now)
	}
}

func (n *Node) leaderTick(now time.Time) {
	if now.Sub(n.quorumAck(now)) > n.cfg.ElectionMax {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	if !now.Before(n.heartbeatDue) {
		n.broadcast(now)
	}
}

// IsLeader reports whether this replica is the leader under a live lease and has committed an
// entry of its own term: only then is its state current.
func (n *Node) IsLeader(now time.Time) bool {
	if n.role != Leader || n.failed || n.commit < n.firstIndexOfTerm {
		return false
	}
	leaseDuration := time.Duration(float64(n.cfg.ElectionMin) * (1 - n.cfg.MaxClockDrift))
	return now.Before(n.quorumAck(now).Add(leaseDuration))
}

// Fresh reports whether the committed state of this replica is at most ElectionMin old: it leads,
// or it has been confirmed by a leader under its lease.
func (n *Node) Fresh(now time.Time) bool {
	return n.IsLeader(now) || !n.failed && n.role == Follower && now.Sub(n.freshAt) < n.cfg.ElectionMin
}

// quorumAck returns the time at which the leader sent the newest heartbeat round that a majority
// of the voters has acknowledged.
func (n *Node) quorumAck(now time.Time) time.Time {
	times := make([]time.Time, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		if v == n.cfg.ID {
			times = append(times, now)
		} else if p := n.peers[v]; p != nil {
			times = append(times, p.ackAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	quorum := majority(len(n.members.Voters))
	if len(times) < quorum {
		return time.Time{}
	}
	return times[quorum-1]
}

func majority(n int) int { return n/2 + 1 }

// Propose appends a command and returns its index; the command is accepted once it is in
// Committed of a Ready.
func (n *Node) Propose(now time.Time, data []byte) (index uint64, err error) {
	if !n.IsLeader(now) {
		return 0, ErrNotLeader
	}
	e := n.append(Entry{Data: data})
	n.broadcast(now)
	n.advanceCommit(now)
	return e, nil
}

// append adds an entry of the current term to the leader's log.
func (n *Node) append(e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.hard.Term
	n.log.append(e)
	n.markUnsynced(e.Index)
	if e.Members != nil {
		n.setMembers(*e.Members, e.Index)
	}
	return e.Index
}

func (n *Node) markUnsynced(index uint64) {
	if n.unsynced == 0 || index < n.unsynced {
		n.unsynced = index
	}
}

// Compact drops the log up to an applied index; data is the state after it. It returns the
// snapshot that the caller has to store, and false if there is nothing to drop.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index > n.applied || index <= n.log.snap.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: n.log.term(index), Members: n.membersAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

// Entries returns the log after the snapshot, for rewriting the journal.
func (n *Node) Entries() []Entry { return n.log.from(n.log.snap.Index + 1) }

// LogBytes returns the size of the commands after the snapshot, and that of the snapshot's data.
func (n *Node) LogBytes() (commands, snapshot int) {
	for i := range n.log.entries {
		commands += len(n.log.entries[i].Data)
	}
	return commands, len(n.log.snap.Data)
}

// Hard returns the hard state.
func (n *Node) Hard() Hard { return n.hard }

// Status is the state of a replica for dumps and metrics.
type Status struct {
	ID      string  `json:"id"`
	Role    string  `json:"role"`
	Term    uint64  `json:"term"`
	Leader  string  `json:"leader"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Last    uint64  `json:"last"`
	First   uint64  `json:"first"`
	Members Members `json:"members"`
	// Pending reports that Members is in force but not committed: it is reverted if the replicas
	// that have it are lost.
	Pending bool `json:"members_pending"`
	Lease   bool `json:"lease"`
	Failed  bool `json:"failed"`
	// Lost holds the replicas that are considered to have lost their disks.
	Lost []string `json:"lost,omitempty"`
	// LostEntries holds the replicas that have lacked entries which they had acknowledged to this
	// leader.
	LostEntries []string `json:"lost_entries,omitempty"`
}

// Status returns the state of the replica.
func (n *Node) Status(now time.Time) Status {
	var lostEntries []string
	for _, id := range sortedPeers(n.peers) {
		if n.peers[id].lostEntries {
			lostEntries = append(lostEntries, id)
		}
	}
	return Status{
		ID: n.cfg.ID, Role: n.role.String(), Term: n.hard.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		Last: n.log.lastIndex(), First: n.log.snap.Index + 1, Members: n.members, Pending: n.membersIndex > n.commit,
		Lease: n.IsLeader(now), Failed: n.failed, Lost: slices.Sorted(maps.Keys(n.lost)), LostEntries: lostEntries,
	}
}

// TimeSinceAck returns the time since the sending of the newest round that another replica has
// acknowledged to this leader; zero if this replica does not lead or the other is no member.
func (n *Node) TimeSinceAck(now time.Time, id string) time.Duration {
	p := n.peers[id]
	if n.role != Leader || p == nil {
		return 0
	}
	return now.Sub(p.ackAt)
}

// HasLostEntries reports whether a replica has lacked entries that it had acknowledged to this
// leader. It may have lost the record of its votes as well.
func (n *Node) HasLostEntries(id string) bool {
	p := n.peers[id]
	return p != nil && p.lostEntries
}

// Leader returns the ID of the leader as far as the replica knows; empty if it knows none.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// CaughtUp reports whether a replica has all but a few entries of the leader's log.
func (n *Node) CaughtUp(id string) bool {
	const maxLag = 16
	p := n.peers[id]
	return n.role == Leader && p != nil && !p.installing && p.match+maxLag >= n.commit && p.match > 0
}
