package soak

import (
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// RequestKind is a kind of request.
type RequestKind string

// The kinds of requests, named like their routes.
const (
	Checkout RequestKind = "checkout" // may not be repeated
	Rates    RequestKind = "rates"    // may be repeated
	Review   RequestKind = "review"   // a stream that can't be resumed
	Desk     RequestKind = "desk"     // a stream that can be resumed
	// Streams like Review, on routes that are more and less urgent than all others.
	Urgent     RequestKind = "urgent"
	Background RequestKind = "background"
)

// isStream reports whether requests of a kind are answered with a stream of events.
func (k RequestKind) isStream() bool { return k == Desk || k.runsOnce() && k != Checkout }

// runsOnce reports whether requests of a kind may not be repeated.
func (k RequestKind) runsOnce() bool {
	return k == Checkout || k == Review || k == Urgent || k == Background
}

// Request is a request as its caller observed it.
type Request struct {
	// padding is the number of bytes that the body has in addition to Content.
	padding int
	ID      string
	Kind    RequestKind
	Gateway int
	// Caller is the name of a caller that may reconnect. Try counts its attempts from 1 on, and
	// LastID is the ID of the last event that it had received before.
	Caller string
	Try    int
	LastID string
	// Events are the events that a caller of a resumable stream received.
	Events []Event
	// Organisation is the organisation whose API key the request has.
	Organisation string
	// Content is the body of the request.
	Content string
	// Parts are the parts of its prompt, without the last; nil for those of a sound request.
	Parts []string
	// Sent and Ended are times since the start of the run.
	Sent, Ended time.Duration
	// FirstByte is when the first byte of the body arrived, zero if none did or it was not recorded.
	FirstByte time.Duration
	// Status is zero if no answer arrived.
	Status int
	Body   string
	// RetryAfter is the Retry-After header of a refusal.
	RetryAfter string
	// Cut reports that the answer was cut off or that none arrived.
	Cut bool
	// Unconnected reports that no connection could be opened.
	Unconnected bool
	// LeftAt is when the caller disconnected, zero if it waited for the end.
	LeftAt time.Duration
}

// Arrival is a request as a server observed it.
type Arrival struct {
	standin.Arrival
	Server  string
	Service string
	Zone    string
	At      time.Duration
	// Ended is when the server stopped working on the request; zero if it never stopped or never
	// started.
	Ended time.Duration
}

// Outage is a time in which a process, a server or its link was disturbed.
type Outage struct {
	Step
	// Process is the name of the process or server.
	Process string
	From    time.Duration
	To      time.Duration
}

// Put is a change of the routing table.
type Put struct {
	Version     int
	Sent, Ended time.Duration
	// Status is zero if there was no clear answer.
	Status int
	// Valid reports whether the table was valid.
	Valid bool
}

// Read is a read of the table at a replica of control.
type Read struct {
	Control     int
	Sent, Ended time.Duration
	Status      int
	Version     int
}

// Probe is a request to a gateway for the route that only one version of the table has.
type Probe struct {
	Gateway     int
	Incarnation int
	Version     int
	Sent, Ended time.Duration
	Status      int
}

// Drain is a server's report, accepted by control, that it leaves.
type Drain struct {
	Server string
	At     time.Duration
}

// Evacuation is an order that a zone receives no new work, from its acknowledgement until the order
// was withdrawn.
type Evacuation struct {
	Zone            string
	Acked, Finished time.Duration
}

// BadReport is a report about a server that is unreadable or describes another server, with
// control's answer.
type BadReport struct {
	Text   string
	Status int
	// Foreign reports that the report is readable and describes another server.
	Foreign bool
}

// RoleOrder is an order that an engine received.
type RoleOrder struct {
	Server string
	Holder string
	Fence  uint64
	At     time.Duration
}

// HeldKV is a KV cache that was neither fetched nor freed.
type HeldKV struct {
	Request string
	MadeAt  time.Duration
}

// Gap is a time in which a process lacked a table, or control a leader.
type Gap struct {
	Process     string
	Incarnation int
	// First reports that the process had none since its start.
	First    bool
	From, To time.Duration
}

// Refusal counts the log lines of a process about refused links.
type Refusal struct {
	Process string
	Count   int
	// First is the first such line.
	First string
}

// History is everything that was observed in a run.
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
	// Evacuations are those that control acknowledged.
	Evacuations []Evacuation
	Orders      []RoleOrder
	// Limits are the limits that servers reported, Limited the requests that arrived at these
	// servers.
	Limits  []ServerLimit
	Limited []LimitedArrival
	// Asked are the requests to servers that had reported a pause or that they leave.
	Asked []SelfReportArrival
	// HeldKV are the KV caches that engines still held after the end, HeldRoom is the number of
	// remaining holds.
	HeldKV   []HeldKV
	HeldRoom int
	// Cold are the times in which servers were cold.
	Cold []ColdSpan
	// MostHeld is the maximum number of bytes that each gateway held for callers, LeftHeld the
	// number of bytes that it still held after the end.
	MostHeld, LeftHeld map[string]int64
	// MostResident is the largest memory of each gateway's process in bytes.
	MostResident map[string]int64
	// Troubles counts the injected disturbances at servers by name, such as refused calls, broken
	// streams and repeated answers.
	Troubles map[string]int
	// Order and Path describe how builds were replaced. Skipped is the number of replacements for
	// which no time remained.
	Order, Path string
	Skipped     int
	// NoTable are the times in which a running gateway had no table, NoLeader those in which no
	// replica of control was leader.
	NoTable, NoLeader []Gap
	Refusals          []Refusal
	// Exits are the processes that ended unexpectedly.
	Exits []string
}

// recorder collects a history from several goroutines.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	h     History
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// loadDuration returns how long callers send requests.
func (r *recorder) loadDuration() time.Duration { return r.h.Length }

// update changes the history under its lock.
func (r *recorder) update(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.h)
}

// countDisturbance counts an injected disturbance.
func (r *recorder) countDisturbance(what string) {
	r.update(func(h *History) {
		if h.Troubles == nil {
			h.Troubles = map[string]int{}
		}
		h.Troubles[what]++
	})
}
