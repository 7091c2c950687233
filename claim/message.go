package claim

import "time"

// Ask asks a voter to grant a key to an attempt.
type VoteRequest struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Body is the hash of the call, so that a key reused for another call is
	// noticed.
	Body uint64 `cbor:"3,keyasint"`
	// Lifetime is how long the key is kept.
	Lifetime time.Duration `cbor:"4,keyasint"`
	// Group names the group that the key belongs to.
	Group string `cbor:"5,keyasint"`
}

// Vote is a voter's answer to an Ask.
type Vote struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	Voter   string `cbor:"3,keyasint"`
	// Incarnation is the voter's own; Known are those it knows of others.
	Incarnation uint64            `cbor:"4,keyasint"`
	Known       map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// OK tells that the attempt holds the voter's grant.
	OK bool `cbor:"6,keyasint"`
	// Cold tells that the voter does not vote yet.
	Cold bool `cbor:"7,keyasint,omitempty"`
	// Holder is the attempt that holds the grant, if another one does.
	Holder string `cbor:"8,keyasint,omitempty"`
	// Other tells that the key was used with another body.
	Other bool `cbor:"9,keyasint,omitempty"`
	// Answer is the recorded answer of the holder, if it is known.
	Answer *Answer `cbor:"10,keyasint,omitempty"`
}

// Answer is the recorded outcome of a call.
type Answer struct {
	Status int    `cbor:"1,keyasint" json:"status"`
	Type   string `cbor:"2,keyasint" json:"type"`
	Body   []byte `cbor:"3,keyasint" json:"body"`
}

// Record tells a voter what became of an attempt: its answer, or that it was
// given up before anything was sent.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Answer is nil if the attempt was given up.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Keep is how long the key and its answer are kept from now on; zero leaves
	// the lifetime of the Ask.
	Keep time.Duration `cbor:"4,keyasint,omitempty"`
}

// Copy asks a voter for a part of its grants, for a voter that restarted. It
// also tells the incarnation of the asker, which is noted before the first
// part is read.
type CopyRequest struct {
	Voter       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// From is the number of grants that the asker has got.
	From int `cbor:"3,keyasint,omitempty"`
}

// Copied answers a Copy.
type CopyReply struct {
	Voter       string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Known       map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// For is the incarnation that asked.
	For  uint64    `cbor:"4,keyasint"`
	Cold bool      `cbor:"5,keyasint,omitempty"`
	Held []HeldKey `cbor:"6,keyasint,omitempty"`
	// From is the number of grants before this part; More tells that there are
	// others after it.
	From int  `cbor:"7,keyasint,omitempty"`
	More bool `cbor:"8,keyasint,omitempty"`
}

// Held is one granted key.
type HeldKey struct {
	Key     string        `cbor:"1,keyasint"`
	Attempt string        `cbor:"2,keyasint"`
	Body    uint64        `cbor:"3,keyasint"`
	Left    time.Duration `cbor:"4,keyasint"`
	Answer  *Answer       `cbor:"5,keyasint,omitempty"`
}
