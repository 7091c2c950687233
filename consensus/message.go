package consensus

// Packet is a message between replicas. Kind determines which fields are used.
type Packet struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify a log entry: the last one of a candidate, or the one before
	// the entries of an Append.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	// OK reports that a vote was granted or that an Append matched the log; in an Append, that
	// the leader sent it under a live lease.
	OK bool `cbor:"9,keyasint,omitempty"`
	// Hint is the index of the follower's last entry if an Append did not match.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Seq numbers the heartbeat rounds, for the leader lease.
	Seq      uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Stamp is set by a follower in an Appended, and the leader returns it in its next Append:
	// only such a response shows the follower how old the leader's information is.
	Stamp uint64 `cbor:"13,keyasint,omitempty"`
	// Idle reports in a PreVoted that the replica has had no contact with a leader since its
	// start, and in a Vote that all voters have reported this; see idle.go.
	Idle bool `cbor:"14,keyasint,omitempty"`
	// Fits reports in a PreVoted that the replica would grant the vote if no leader's lease could
	// be live.
	Fits bool `cbor:"15,keyasint,omitempty"`
}

// Kind is the type of a Packet.
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
	// Data is the command; empty in the first entry of a term.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Members is the new membership; only set in entries that change it.
	Members *Members `cbor:"4,keyasint,omitempty"`
	// DecodeErr is set if the entry could not be decoded; all other fields are empty then.
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
	// DecodeErr is set if the snapshot could not be decoded; all other fields are empty then.
	DecodeErr error `cbor:"-"`
}
