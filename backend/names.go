// Package backend speaks HTTP/1.1 to backend servers: model engines and plain
// services that gateways call directly.
//
// It keeps its own connections and never sends a request a second time by
// itself. Each error tells whether the server may have seen the request, so
// that the caller can decide what a retry would mean.
package backend

import "time"

// Headers are the names of the header fields between callers, gateways and
// backend servers. A deployment whose servers use other names brings its own.
type Headers struct {
	// RequestID names one attempt of a caller; answers carry it back.
	RequestID string
	// Deadline is the time in milliseconds that the sender will still wait.
	Deadline string
	// Signature marks an answer as a server's own.
	Signature string
	// NotRun in an answer tells that the server did not run the request.
	NotRun string
	// ExpectInstance names the incarnation that a request is meant for.
	ExpectInstance string
	// Tokens gives the tokens of the prompt and the most tokens of the answer.
	Tokens string
	// LengthHint is the caller's estimate of the tokens of the answer.
	LengthHint string
	// Role asks an engine for one phase of a request.
	Role string
	// KVSource tells a decode engine where the KV cache of the prompt is.
	KVSource string
	// Hold names room that was set aside at an engine for the request.
	Hold string
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// Private are further fields that only gateways set.
	Private []string
}

// DefaultHeaders are ledgepin's own names.
var DefaultHeaders = Headers{
	RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", Signature: "X-Answer-Signature", NotRun: "X-Not-Run",
	ExpectInstance: "X-Expect-Instance", Tokens: "X-Tokens", LengthHint: "X-Length-Hint",
	Role: "X-Engine-Role", KVSource: "X-KV-Source", Hold: "X-Hold", LastEventID: "Last-Event-Id",
}

// KV is the result of a prefill.
type KV struct {
	// Handle names the KV cache at its engine.
	Handle string
	// Tokens is its length.
	Tokens int
}

// Protocol is what a deployment's servers speak.
type Protocol struct {
	Headers Headers
	// ParseKV reads the answer to a prefill.
	ParseKV func(body []byte) (KV, error)
	// FreeKV returns the call that frees a KV cache.
	FreeKV func(handle string) Call
	// CopyRun returns the call that copies the KV cache of a run to the engine at
	// another address; stop ends the run first, so that nothing is added to it
	// any more. ParseKV reads the answer, whose handle names the copy. Engines
	// whose runs can't go on elsewhere have none.
	CopyRun func(id, target string, stop bool) Call
	// TakeHold returns the call that sets a slot and memory aside at an engine
	// for a time, ParseHold reads the name of the hold from the answer, and
	// DropHold returns the call that gives it back. Engines without holds have
	// none of them.
	TakeHold  func(tokens int, d time.Duration) Call
	ParseHold func(body []byte) (string, error)
	DropHold  func(hold string) Call
	// RoleOrder returns the call that changes an engine's role, and Report the
	// call that asks for its state; ParseReport reads the answer.
	RoleOrder   func(o RoleOrder) Call
	Report      func() Call
	ParseReport func(body []byte) (Report, error)
}

// Call is a call to a server that is not a caller's request.
type Call struct {
	Method, Path, ContentType string
	Body                      []byte
}

// RoleOrder changes the role of an engine. Engines refuse an order whose fence
// is below one that they have seen, or whose sequence is not theirs.
type RoleOrder struct {
	Role   string
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine has taken before.
	Sequence uint64
}

// Report is the state of an engine.
type Report struct {
	Role string
	// Busy tells that an order is under way.
	Busy     bool
	Sequence uint64
}
