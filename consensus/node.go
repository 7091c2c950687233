package consensus

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Config are the fixed values of a replica.
type Config struct {
	ID string
	// HeartbeatEvery is the time between two rounds of a leader.
	HeartbeatInterval time.Duration
	// ElectionMin is how long a voter that heard from a leader grants no
	// other votes; elections start between ElectionMin and ElectionMax.
	ElectionMin, ElectionMax time.Duration
	// Drift bounds how much faster one clock runs than another, as a share.
	// The leader lease is shortened by it.
	MaxClockDrift float64
}

// Hard is the state that must be synced before any answer.
type Hard struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
}

// Restored is what a replica finds on its disk at the start.
type Restored struct {
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// Ready is what the shell has to do after each call, in this order: install
// Snapshot, sync Hard and Entries, send Packets, apply Committed.
type Ready struct {
	Snapshot  *Snapshot
	Hard      *Hard
	Entries   []Entry
	Packets   []Packet
	Committed []Entry
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries)+len(r.Packets)+len(r.Committed) == 0
}

// Role is what a replica is at present.
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
	ErrInvalidChange = errors.New("consensus: the membership change makes no sense")
)

// progress is what a leader knows of another replica.
type progress struct {
	next, match uint64
	stamp       uint64    // the mark to give back to it
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
	// idle tells that no leader was heard since the start; idles are the voters
	// that say the same in the round of pre-votes preRound, and whether they
	// would grant their vote.
	idle       bool
	idleVoters map[string]bool
	// lost are replicas that have lost their disks for good.
	lost     map[string]bool
	preRound uint64
	// forced tells that this candidacy rests on all voters being idle.
	idleElection     bool
	electionDue      time.Time
	heartbeatDue     time.Time
	seq              uint64
	sentAt           map[uint64]time.Time
	firstIndexOfTerm uint64 // index of the entry that opened the leader's term
	failed           bool
	// freshAt is the latest moment of which a leader under its lease has told
	// the commit index; stamps are the marks that it may give back.
	freshAt time.Time
	stamp   uint64
	stamps  map[uint64]time.Time

	out       Ready
	hardDirty bool
	unsynced  uint64 // lowest index that is not in a Ready yet; zero if none
}

// New returns a replica with what was on its disk. A replica without any
// members waits to be added by a leader.
func New(cfg Config, r Restored, first Members, now time.Time, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg, rng: rng, hard: r.Hard, log: newLog(r.Snapshot, r.Entries), stamps: map[uint64]time.Time{}, lost: map[string]bool{}}
	n.stamp = rng.Uint64() >> 1 // marks of an earlier life mean nothing
	n.commit, n.applied = r.Snapshot.Index, r.Snapshot.Index
	n.members = first
	if r.Snapshot.Index > 0 {
		n.members = r.Snapshot.Members
	}
	n.findMembers(n.members)
	// It may have granted a lease to a leader just before it went down.
	n.lastLeaderContact = now
	n.idle = true
	n.resetElection(now)
	if len(n.members.Voters) == 1 && n.voter(cfg.ID) {
		n.electionDue = now // there is nobody to wait for
	}
	return n
}

// Bootstrap returns what the disk of a first replica holds: a membership that
// all first replicas share.
func Bootstrap(m Members) Restored {
	return Restored{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, Hard: Hard{Term: 1}}
}

// Take returns what is to be done, and forgets it.
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

// Fail tells that the disk refused a write or a sync: the replica answers
// nothing and votes for nobody from now on.
func (n *Node) MarkFailed() {
	n.failed = true
	n.role = Follower
	n.leader = ""
}

// Failed tells whether the replica has been told that its disk failed.
func (n *Node) Failed() bool { return n.failed }

// Tick does what is due by time.
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

// Lead tells whether this replica is the leader under a live lease, and has
// committed an entry of its own term: only then is what it knows current.
func (n *Node) IsLeader(now time.Time) bool {
	if n.role != Leader || n.failed || n.commit < n.firstIndexOfTerm {
		return false
	}
	leaseDuration := time.Duration(float64(n.cfg.ElectionMin) * (1 - n.cfg.MaxClockDrift))
	return now.Before(n.quorumAck(now).Add(leaseDuration))
}

// Fresh tells whether what is committed here is current to within the election
// time: this replica leads, or has heard from a leader under its lease.
func (n *Node) Fresh(now time.Time) bool {
	return n.IsLeader(now) || !n.failed && n.role == Follower && now.Sub(n.freshAt) < n.cfg.ElectionMin
}

// quorumAck returns the time at which the newest round was sent that a
// majority of the voters has acknowledged.
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

// Propose appends a command; it is accepted once it is in Committed.
func (n *Node) Propose(now time.Time, data []byte) (index uint64, err error) {
	if !n.IsLeader(now) {
		return 0, ErrNotLeader
	}
	e := n.append(Entry{Data: data})
	n.broadcast(now)
	n.advanceCommit(now)
	return e, nil
}

// append adds an entry of the present term to the leader's log.
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

// Compact drops the log up to an index that has been applied; data is the
// state after it. It returns the snapshot to be kept.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index > n.applied || index <= n.log.snap.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: n.log.term(index), Members: n.membersAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

// Entries returns the log after the snapshot, for a journal that is rewritten.
func (n *Node) Entries() []Entry { return n.log.from(n.log.snap.Index + 1) }

// Hard returns the hard state.
func (n *Node) Hard() Hard { return n.hard }

// Status is the state of a replica for the dump and the metrics.
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
	// Pending tells that Members is in force but not committed: the loss of the
	// replicas that have it takes it back.
	Pending bool `json:"members_pending"`
	Lease   bool `json:"lease"`
	Failed  bool `json:"failed"`
	// Lost are the replicas that are taken to have lost their disks.
	Lost []string `json:"lost,omitempty"`
}

// Status returns the state of the replica.
func (n *Node) Status(now time.Time) Status {
	return Status{
		ID: n.cfg.ID, Role: n.role.String(), Term: n.hard.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		Last: n.log.lastIndex(), First: n.log.snap.Index + 1, Members: n.members, Pending: n.membersIndex > n.commit,
		Lease: n.IsLeader(now), Failed: n.failed, Lost: slices.Sorted(maps.Keys(n.lost)),
	}
}

// Silence returns how long another replica has not acknowledged this leader;
// zero if this replica does not lead, or knows none of that name.
func (n *Node) TimeSinceAck(now time.Time, id string) time.Duration {
	p := n.peers[id]
	if n.role != Leader || p == nil {
		return 0
	}
	return now.Sub(p.ackAt)
}

// Leader returns the leader as far as the replica knows; empty if none.
func (n *Node) Leader() string { return n.leader }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Caught tells whether a replica has all but a few entries of the leader's log.
func (n *Node) CaughtUp(id string) bool {
	const maxLag = 16
	p := n.peers[id]
	return n.role == Leader && p != nil && !p.installing && p.match+maxLag >= n.commit && p.match > 0
}
