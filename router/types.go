package router

import (
	"time"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
)

// Request is a request as the router sees it.
type Request struct {
	ID       string
	Customer string
	Share    int
	Class    string
	Model    string
	Priority int
	// Tokens is the estimated length of the prompt.
	Tokens   int
	Prefixes []uint64
	KVBytes  int64
	// TTFT and TBT are the targets of the class.
	TTFT, TBT time.Duration
	// Keep lets the work go on after the caller has left.
	Keep bool
}

// Role tells which half of the work a reservation is for.
type Role uint8

// The halves of the work.
const (
	Prefill Role = iota
	Decode
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"prefill", "decode"}[r] }

// Effect is something that the shell has to do. Its type tells what.
type Effect interface{ effect() }

// Reserve asks the agent beside Server for a slot.
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

// StartPrefill starts the prefill at Server.
type StartPrefill struct {
	ID     lease.ID
	Server string
}

// StartDecode starts the transfer and the decode at Server.
type StartDecode struct {
	ID     lease.ID
	Server string
	KV     engine.KV
}

// Free gives up whatever the attempt holds at Server.
type Release struct {
	ID     lease.ID
	Server string
}

// Refuse tells the caller that the request did not run.
type Refuse struct {
	Req        string
	Code       *fault.Code
	Detail     string
	RetryAfter time.Duration
}

// Fail ends a request that ran and has no whole answer.
type Fail struct {
	Req    string
	Code   *fault.Code
	Step   fault.Step
	Peer   string
	Detail string
}

// Attempt tells the stream that a newer attempt gives the chunks from now on.
type SwitchAttempt struct {
	ID lease.ID
}

// EjectedServer tells that a server was ejected after failures.
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

// Chooser picks servers for a request. The one of production is
// placement.View.Choose; the policy benchmark has others to compare with.
type Chooser func(v *placement.View, now time.Time, q placement.Query) placement.Choice

// DecodeChooser picks a decode server for a KV cache that is there.
type DecodeChooser func(v *placement.View, now time.Time, q placement.Query, from *placement.Server) *placement.Server

// Policy turns parts of the decisions off, so that the policy benchmark can
// measure what each is worth.
type Policy struct {
	Choose       Chooser
	ChooseDecode DecodeChooser
	// ReserveFirst holds a decode slot before the prefill starts.
	ReserveDecodeFirst bool
	// Admit defers and refuses by deadline; without it all start at once.
	EnforceDeadlines bool
}

// DefaultPolicy is the one of production.
func DefaultPolicy() Policy {
	choose := func(v *placement.View, now time.Time, q placement.Query) placement.Choice { return v.Choose(now, q) }
	decode := func(v *placement.View, now time.Time, q placement.Query, from *placement.Server) *placement.Server {
		s, _ := v.ChooseDecode(now, q, from)
		return s
	}
	return Policy{Choose: choose, ChooseDecode: decode, ReserveDecodeFirst: true, EnforceDeadlines: true}
}

// Options are the limits of one entry.
type Options struct {
	Policy Policy
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// RetryPercent bounds retries to a share of live traffic.
	RetryPercent int
	// StallAfter is the silence after which a transfer is given up.
	StallAfter time.Duration
	// Records bounds the decision records.
	MaxRecords int
	// Name is the entry's name in the records.
	Name string
}

// Stats counts what the router did.
type Stats struct {
	Admitted, Refused, Done, Failed, Cancelled int
	// WastedTokens is prefill work whose result was thrown away, by cause.
	WastedTokens map[WasteCause]int
	// PrefillTokens is all prefill work that was started.
	PrefillTokens int
}

// Waste is why the result of a prefill was thrown away.
type WasteCause string

// The causes of wasted prefill.
const (
	WasteCallerGone     WasteCause = "caller_gone"
	WastePrefillFailed  WasteCause = "prefill_failed"
	WasteTransferFailed WasteCause = "transfer_failed"
	WasteDecodeFailed   WasteCause = "decode_failed"
	WasteKVExpired      WasteCause = "kv_expired"
)
