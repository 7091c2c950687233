// Package backend speaks HTTP/1.1 to backend servers: model engines and plain
// services that gateways call directly.
//
// It keeps its own connections and never sends a request a second time by
// itself. Each error tells whether the server may have seen the request, so
// that the caller can decide what a retry would mean.
package backend

import (
	"reflect"
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// Headers are the names of the header fields between callers, gateways and
// backend servers, by who sets them. A deployment whose servers use other names
// brings its own.
type Headers struct {
	CallerFields
	GatewayFields
	ServerFields
}

// CallerFields are set by callers and passed on.
type CallerFields struct {
	// RequestID names one attempt of a caller; answers carry it back.
	RequestID string
	// Deadline is the time in milliseconds that the sender will still wait;
	// each send has its own.
	Deadline string
	// Tokens gives the tokens of the prompt and the most tokens of the answer.
	Tokens string
	// LengthHint is the caller's estimate of the tokens of the answer.
	LengthHint string
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// PromptParts names the parts of the prompt in order, each with its tokens.
	PromptParts string
}

// GatewayFields are set by gateways only: what a caller sends of them reaches no
// server.
type GatewayFields struct {
	// ExpectInstance names the incarnation that a request is meant for.
	ExpectInstance string
	// Role asks an engine for one phase of a request.
	Role string
	// KVSource tells a decode engine where the KV cache of the prompt is.
	KVSource string
	// Hold names room that was set aside at an engine for the request.
	Hold string
	// Organisation names whose request it is, where callers have keys.
	Organisation string
	// Unused are those that servers know and no gateway sets.
	Unused []string
}

// ServerFields are set by servers in their answers only.
type ServerFields struct {
	// Signature marks an answer as a server's own.
	Signature string
	// NotRun tells that the server did not run the request.
	NotRun string
	// Cold tells how much longer the server bears fewer requests than usual.
	Cold string
	// Limit names the requests a second that the server takes from all gateways together,
	// for as long as its answers say so.
	Limit string
	// Leaving tells that the server takes no new work.
	Leaving string
}

// Private returns the names of the fields that are no caller's to set. It goes
// through all fields of the two structs, so that a new one can't be forgotten.
func (h *Headers) Private() []string {
	return append(fieldNames(h.GatewayFields), fieldNames(h.ServerFields)...)
}

// ForServers returns the names of the fields of callers that servers read.
func (h *Headers) ForServers() []string { return fieldNames(h.CallerFields) }

// fieldNames returns the strings and the lists of strings of a struct.
func fieldNames(fields any) []string {
	var out []string
	v := reflect.ValueOf(fields)
	for i := range v.NumField() {
		switch name := v.Field(i).Interface().(type) {
		case string:
			out = append(out, name)
		case []string:
			out = append(out, name...)
		}
	}
	return out
}

// DefaultHeaders are ledgepin's own names.
var DefaultHeaders = Headers{
	CallerFields{
		RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", Tokens: "X-Tokens", LengthHint: "X-Length-Hint",
		LastEventID: "Last-Event-Id", PromptParts: "X-Prompt-Parts",
	},
	GatewayFields{ExpectInstance: "X-Expect-Instance", Role: "X-Engine-Role", KVSource: "X-KV-Source", Hold: "X-Hold", Organisation: "X-Organisation"},
	ServerFields{Signature: "X-Answer-Signature", NotRun: "X-Not-Run", Cold: "X-Cold-Ms", Limit: "X-Server-Limit", Leaving: "X-Server-Leaving"},
}

// KV is the result of a prefill, or the copy of a run.
type KV struct {
	// Handle names the KV cache at its engine.
	Handle string
	// Tokens is its length.
	Tokens int
	// Generated is the number of events that a copied run had made by its engine's own
	// count; zero if the engine does not tell.
	Generated int
}

// Protocol is what a deployment's servers speak.
type Protocol struct {
	Headers Headers
	// ConsecutiveEventIDs tells that engines give the events of a stream whole numbers that rise by
	// one, so that a gateway sees what is missing. Otherwise their IDs are only names.
	ConsecutiveEventIDs bool
	// ParseKV reads the answer to a prefill.
	ParseKV func(body []byte) (KV, error)
	// FreeKV returns the call that frees a KV cache.
	FreeKV func(handle string) Call
	// CopyRun returns the call that copies the KV cache of a run to the engine at
	// another address; stop ends the run first, so that nothing is added to it
	// any more. ParseKV reads the answer, whose handle names the copy. Engines
	// whose runs can't go on elsewhere have none.
	CopyRun func(id, target string, stop bool) Call
	// ReserveHold returns the call that sets a slot and memory aside at an engine
	// for a time, ParseHold reads the name of the hold from the answer, and
	// ReleaseHold returns the call that gives it back. Engines without holds have
	// none of them.
	ReserveHold func(tokens int, d time.Duration) Call
	ParseHold   func(body []byte) (string, error)
	ReleaseHold func(hold string) Call
	// ListCachedParts returns the call that lists the prompt parts whose KV cache an engine
	// keeps, and ParseCachedParts reads the answer. Engines that do not tell have neither.
	ListCachedParts  func() Call
	ParseCachedParts func(body []byte) ([]route.PromptPart, error)
	// ParseParts reads the field PromptParts of a caller; what can't be read is none.
	ParseParts func(field string) []route.PromptPart
	// RoleOrder returns the call that changes an engine's role, and Report the
	// call that asks for its state; ParseReport reads the answer.
	RoleOrder   func(o RoleOrder) Call
	Report      func() Call
	ParseReport func(body []byte) (Report, error)
	// ParseCold reads the field Cold of a server; false if it can't be read. Nil if servers
	// do not tell.
	ParseCold func(field string) (time.Duration, bool)
	// ParseLimit reads the values of the field Limit in requests a second; false if they can't
	// be read. Nil if servers do not name limits.
	ParseLimit func(values []string) (float64, bool)
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
	// Born is when it started, in Unix milliseconds; zero if it does not tell.
	Born int64
}
