package soak

import (
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// RequestKind is what a request may be.
type RequestKind string

// The kinds of requests. Their routes have the same names.
const (
	Checkout RequestKind = "checkout" // may not be repeated
	Rates    RequestKind = "rates"    // may be repeated
	Review   RequestKind = "review"   // a stream that may not be resumed
	Desk     RequestKind = "desk"     // a stream that may be resumed
)

// Request is one request as its caller saw it.
type Request struct {
	ID      string
	Kind    RequestKind
	Gateway int
	// Caller is who sends it, if that one may come back; Try counts its tries from 1 on,
	// and LastID is the last event that it had when it came.
	Caller string
	Try    int
	LastID string
	// Events are those that came, of a caller that may come back.
	Events []Event
	// Organisation is whose key the request names.
	Organisation string
	// Content is the body that it sends.
	Content string
	// Sent and Ended are times since the start of the run.
	Sent, Ended time.Duration
	// Status is zero if no answer came.
	Status int
	Body   string
	// Cut tells that the answer broke off, or that none came.
	Cut bool
	// Unconnected tells that no connection could be opened.
	Unconnected bool
	// LeftAt is when the caller left, zero if it waited for the end.
	LeftAt time.Duration
}

// Arrival is one request as a server saw it.
type Arrival struct {
	standin.Arrival
	Server  string
	Service string
	Zone    string
	At      time.Duration
	// Ended is when the server stopped working on it; zero if it never did, or
	// did not work on it.
	Ended time.Duration
}

// Outage is a time during which a process, a server or the way to it was
// disturbed.
type Outage struct {
	Step
	// Process is the name of the process or server.
	Process string
	From    time.Duration
	To      time.Duration
}

// Put is one change of the routing table.
type Put struct {
	Version     int
	Sent, Ended time.Duration
	// Status is zero if no clear answer came.
	Status int
	// Valid tells whether the table was one.
	Valid bool
}

// Read is one reading of the table at a replica of control.
type Read struct {
	Control     int
	Sent, Ended time.Duration
	Status      int
	Version     int
}

// Probe asks a gateway for the route that only one version has.
type Probe struct {
	Gateway     int
	Incarnation int
	Version     int
	Sent, Ended time.Duration
	Status      int
}

// Drain is a server's report that it leaves, taken by control.
type Drain struct {
	Server string
	At     time.Duration
}

// Evacuation is an order that a zone gets no new work, from its acknowledgement to the time at
// which the order was withdrawn.
type Evacuation struct {
	Zone            string
	Acked, Finished time.Duration
}

// BadReport is a report about a server that can't be read, or that another server must have said,
// and how control answered it.
type BadReport struct {
	Text   string
	Status int
	// Foreign tells that it can be read and is another server's.
	Foreign bool
}

// RoleOrder is an order that an engine got.
type RoleOrder struct {
	Server string
	Holder string
	Fence  uint64
	At     time.Duration
}

// HeldKV is a KV cache that nobody has taken or freed.
type HeldKV struct {
	Request string
	MadeAt  time.Duration
}

// Gap is a time in which a process, or all of control, lacked something.
type Gap struct {
	Process     string
	Incarnation int
	// First tells that the process had not had it since its start.
	First    bool
	From, To time.Duration
}

// Refusal is how often a process has told that a link was refused.
type Refusal struct {
	Process string
	Count   int
	// First is the line of the log that told it first.
	First string
}

// History is all that was seen in a run.
type History struct {
	Seed       uint64
	Length     time.Duration
	Shape      Shape
	Plan       []Step
	Requests   []Request
	Arrivals   []Arrival
	Outages    []Outage
	Puts       []Put
	Reads      []Read
	BadReports []BadReport
	Probes     []Probe
	Drains     []Drain
	// Evacuations are those that control has acknowledged.
	Evacuations []Evacuation
	Orders      []RoleOrder
	// Limits are the limits that servers named, Limited what came to these servers.
	Limits  []ServerLimit
	Limited []LimitedArrival
	// Asked is what came to servers that had said something of themselves.
	Asked []SelfReportArrival
	// HeldKV are the KV caches that engines still held for nobody after the end,
	// and HeldRoom is the number of holds.
	HeldKV   []HeldKV
	HeldRoom int
	// Cold are the times in which servers were cold.
	Cold []ColdSpan
	// MostHeld are the most bytes that each gateway has held for callers, LeftHeld those that
	// it still holds after the end.
	MostHeld, LeftHeld map[string]int64
	// Troubles counts what went wrong at servers by intent: calls, streams, answers that
	// came again.
	Troubles map[string]int
	// Order and Path say how builds were replaced, Skipped is the number of those steps for
	// which no time was left.
	Order, Path string
	Skipped     int
	// NoTable are the times in which a gateway that ran had no table, NoLeader those in
	// which no replica of control led.
	NoTable, NoLeader []Gap
	Refusals          []Refusal
	// Exits are the processes that ended by themselves.
	Exits []string
}

// recorder collects a history from many goroutines.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	h     History
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// length is how long callers send requests.
func (r *recorder) loadDuration() time.Duration { return r.h.Length }

// add changes the history under its lock.
func (r *recorder) update(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.h)
}

// count counts what went wrong by intent.
func (r *recorder) countTrouble(what string) {
	r.update(func(h *History) {
		if h.Troubles == nil {
			h.Troubles = map[string]int{}
		}
		h.Troubles[what]++
	})
}
