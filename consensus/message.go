package consensus

// Packet is one message between replicas. Which fields count depends on Kind.
type Packet struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm name a log entry: the last of a candidate, or the one
	// before the entries of an Append.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	// OK tells that a vote was granted or an Append matched; in an Append, that
	// the leader sent it under a live lease.
	OK bool `cbor:"9,keyasint,omitempty"`
	// Hint is where the follower's log ends, if an Append did not match.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Seq numbers the rounds of heartbeats, for the leader lease.
	Seq      uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Stamp is a follower's mark in an Appended, which the leader's next Append
	// gives back: only an answer shows how old the leader's report is.
	Stamp uint64 `cbor:"13,keyasint,omitempty"`
	// Idle tells in a PreVoted that the replica has heard no leader since its
	// start, and in a Vote that all voters have said so; see boot.go.
	Idle bool `cbor:"14,keyasint,omitempty"`
	// Fits tells in a PreVoted that the vote would be granted if no leader's
	// lease could be live.
	Fits bool `cbor:"15,keyasint,omitempty"`
}

// Kind is what a Packet is.
type Kind uint8

// The kinds of packets.
const (
	PreVote Kind = iota + 1
	PreVoted
	Vote
	Voted
	Append
	Appended
	Install
	Installed
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Data is the command; empty in the entry that opens a term.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Members is the new membership, in the entries that change it.
	Members *Members `cbor:"4,keyasint,omitempty"`
	// Unread tells why the entry could not be read; it has nothing else then.
	DecodeErr error `cbor:"-"`
}

// Members is the membership of the group.
type Members struct {
	Voters   []string `cbor:"1,keyasint" json:"voters"`
	Learners []string `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
}

// Snapshot is the state after all entries up to Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
	// Unread tells why the snapshot could not be read; it has nothing else then.
	DecodeErr error `cbor:"-"`
}
