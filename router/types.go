package router

import (
	"time"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
)

// Request holds what the router needs to know about a request.
type Request struct {
	ID       string
	Customer string
	Share    int
	Class    string
	Model    string
	Priority int
	// Tokens is the estimated length of the prompt in tokens.
	Tokens   int
	Prefixes []uint64
	KVBytes  int64
	// TTFT and TBT are the targets of the class for the time to first token and
	// the time between tokens.
	TTFT, TBT time.Duration
	// Keep lets the request continue after its caller disconnected.
	Keep bool
}

// Role is the stage of a request that a reservation is for.
type Role uint8

// The stages of a request.
const (
	Prefill Role = iota
	Decode
)

// String returns the role in lower case.
func (r Role) String() string { return [...]string{"prefill", "decode"}[r] }

// Effect is an action that the caller of a Core method must carry out, one of
// the types below.
type Effect interface{ effect() }

// Reserve requests a slot from the agent of Server, for at most Hold until the
// work starts.
type Reserve struct {
	ID       lease.ID
	Server   string
	Role     Role
	Model    string
	Priority int
	Tokens   int
	Hold     time.Duration
	Keep     bool
}

// StartPrefill starts the prefill of an attempt at Server.
type StartPrefill struct {
	ID     lease.ID
	Server string
}

// StartDecode starts the transfer of KV to Server and the decode there.
type StartDecode struct {
	ID     lease.ID
	Server string
	KV     engine.KV
}

// Release releases all that the attempt holds at Server.
type Release struct {
	ID     lease.ID
	Server string
}

// Refuse ends a request that did not run.
type Refuse struct {
	Req        string
	Code       *fault.Code
	Detail     string
	RetryAfter time.Duration
}

// Fail ends a request that ran and has no complete answer.
type Fail struct {
	Req    string
	Code   *fault.Code
	Step   fault.Step
	Peer   string
	Detail string
}

// SwitchAttempt makes the stream accept the chunks of a newer attempt only.
type SwitchAttempt struct {
	ID lease.ID
}

// ServerEjected reports that a server was ejected because of failures.
type ServerEjected struct {
	Server string
}

func (Reserve) effect()       {}
func (StartPrefill) effect()  {}
func (StartDecode) effect()   {}
func (Release) effect()       {}
func (Refuse) effect()        {}
func (Fail) effect()          {}
func (SwitchAttempt) effect() {}
func (ServerEjected) effect() {}

// Chooser chooses the servers of a request. Production uses
// placement.View.Choose; the policy benchmark compares it with others.
type Chooser func(v *placement.View, now time.Time, q placement.Query) placement.Choice

// DecodeChooser chooses the decode server for a KV cache that the prefill
// server from holds already.
type DecodeChooser func(v *placement.View, now time.Time, q placement.Query, from *placement.Server) *placement.Server

// Policy selects how servers are chosen and which rules apply, so that the
// policy benchmark can measure the effect of each rule.
type Policy struct {
	Choose       Chooser
	ChooseDecode DecodeChooser
	// ReserveDecodeFirst reserves a decode slot before the prefill ends.
	ReserveDecodeFirst bool
	// EnforceDeadlines refuses requests that would miss their deadline.
	EnforceDeadlines bool
}

// DefaultPolicy returns the policy of production.
func DefaultPolicy() Policy {
	choose := func(v *placement.View, now time.Time, q placement.Query) placement.Choice { return v.Choose(now, q) }
	decode := func(v *placement.View, now time.Time, q placement.Query, from *placement.Server) *placement.Server {
		s, _ := v.ChooseDecode(now, q, from)
		return s
	}
	return Policy{Choose: choose, ChooseDecode: decode, ReserveDecodeFirst: true, EnforceDeadlines: true}
}

// Options configures a Core.
type Options struct {
	Policy Policy
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// RetryPercent limits retries to a percentage of the requests.
	RetryPercent int
	// StallAfter is added to the expected time of a prefill or a transfer to get
	// the time after which it counts as stalled.
	StallAfter time.Duration
	// MaxRecords is the number of decision records that are kept.
	MaxRecords int
	// Name is the name of the entry in the records.
	Name string
}

// Stats counts the outcomes of requests and the prefill work.
type Stats struct {
	Admitted, Refused, Done, Failed, Cancelled int
	// WastedTokens is the prefill work whose result was discarded, by cause.
	WastedTokens map[WasteCause]int
	// PrefillTokens is the prefill work that was started.
	PrefillTokens int
}

// WasteCause is the reason why the result of a prefill was discarded. The values
// are labels of a metric.
type WasteCause string

// The causes of wasted prefill.
const (
	WasteCallerGone     WasteCause = "caller_gone"
	WastePrefillFailed  WasteCause = "prefill_failed"
	WasteTransferFailed WasteCause = "transfer_failed"
	WasteDecodeFailed   WasteCause = "decode_failed"
	WasteKVExpired      WasteCause = "kv_expired"
)
