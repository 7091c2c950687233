package claim

import "time"

// VoteRequest requests a key for an attempt.
type VoteRequest struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Body is the hash of the call, which detects a key that is reused for another
	// call.
	Body uint64 `cbor:"3,keyasint"`
	// Lifetime is the time for which the key is kept.
	Lifetime time.Duration `cbor:"4,keyasint"`
	// Group is the name of the claim group of the key.
	Group string `cbor:"5,keyasint"`
}

// Vote is a voter's answer to a VoteRequest.
type Vote struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	Voter   string `cbor:"3,keyasint"`
	// Incarnation is that of the voter; Known holds the latest known incarnations
	// of the other voters.
	Incarnation uint64            `cbor:"4,keyasint"`
	Known       map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// OK reports whether the key is granted to the attempt.
	OK bool `cbor:"6,keyasint"`
	// Cold reports whether the voter has restarted and can't vote yet.
	Cold bool `cbor:"7,keyasint,omitempty"`
	// Holder is the attempt that the key is granted to, if it is another one.
	Holder string `cbor:"8,keyasint,omitempty"`
	// Other reports whether the key was used with another body.
	Other bool `cbor:"9,keyasint,omitempty"`
	// Answer is the recorded answer of the holder, if any.
	Answer *Answer `cbor:"10,keyasint,omitempty"`
}

// Answer is the recorded outcome of a call.
type Answer struct {
	Status int    `cbor:"1,keyasint" json:"status"`
	Type   string `cbor:"2,keyasint" json:"type"`
	Body   []byte `cbor:"3,keyasint" json:"body"`
}

// Record reports the outcome of an attempt to a voter: its answer, or that it was
// abandoned before the call was sent.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Answer is nil if the attempt was abandoned.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Keep is the time for which the key and its answer are kept from now on; zero
	// means the lifetime of the VoteRequest.
	Keep time.Duration `cbor:"4,keyasint,omitempty"`
}

// CopyRequest requests a batch of a voter's grants for another voter that
// restarted. The receiver records the incarnation of the requester before it
// reads the first batch.
type CopyRequest struct {
	Voter       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// From is the number of grants that the requester has received.
	From int `cbor:"3,keyasint,omitempty"`
}

// CopyReply is the answer to a CopyRequest.
type CopyReply struct {
	Voter       string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Known       map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// For is the incarnation of the requester.
	For  uint64    `cbor:"4,keyasint"`
	Cold bool      `cbor:"5,keyasint,omitempty"`
	Held []HeldKey `cbor:"6,keyasint,omitempty"`
	// From is the number of grants before this batch; More reports whether there
	// are others after it.
	From int  `cbor:"7,keyasint,omitempty"`
	More bool `cbor:"8,keyasint,omitempty"`
}

// HeldKey is a granted key. Left is the time until it expires.
type HeldKey struct {
	Key     string        `cbor:"1,keyasint"`
	Attempt string        `cbor:"2,keyasint"`
	Body    uint64        `cbor:"3,keyasint"`
	Left    time.Duration `cbor:"4,keyasint"`
	Answer  *Answer       `cbor:"5,keyasint,omitempty"`
}
