// Package decision records what was decided for each request and why, in bounded
// memory. The records serve the explain command, the log and the tests.
package decision

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/placement"
)

// Kind is the kind of a step.
type Kind string

// The kinds of steps.
const (
	Arrived            Kind = "arrived"
	Deferred           Kind = "deferred"
	Chosen             Kind = "chosen"
	Refused            Kind = "refused"
	Reserved           Kind = "reserved"
	ReservationRefused Kind = "reservation refused"
	Prefilling         Kind = "prefill started"
	Prefilled          Kind = "prefill done"
	Transfer           Kind = "transfer started"
	Imported           Kind = "transfer done"
	FirstToken         Kind = "first token"
	Done               Kind = "done"
	Failure            Kind = "failure"
	Retried            Kind = "retried"
	Cancelled          Kind = "cancelled"
	Confirmed          Kind = "cancel confirmed"
	Expired            Kind = "lease expired"
	Claimed            Kind = "claim"
	Called             Kind = "call"
)

// Step is one decision or event of a request.
type Step struct {
	At      time.Time `json:"at"`
	Kind    Kind      `json:"kind"`
	Attempt uint32    `json:"attempt,omitempty"`
	// Process is the name of the process that recorded the step.
	Process string `json:"where,omitempty"`
	// Server is the backend server that the step concerns.
	Server string `json:"server,omitempty"`
	// Detail is free text for the reader of a report.
	Detail string `json:"detail,omitempty"`
	// Candidates are servers that were considered.
	Candidates []placement.Candidate `json:"candidates,omitempty"`
}

// String returns the step without its time, followed by a line for each
// candidate.
func (s Step) String() string {
	var b strings.Builder
	b.WriteString(string(s.Kind))
	if s.Server != "" {
		fmt.Fprintf(&b, " at %s", s.Server)
	}
	if s.Attempt > 0 {
		fmt.Fprintf(&b, " (attempt %d)", s.Attempt)
	}
	if s.Detail != "" {
		fmt.Fprintf(&b, ": %s", s.Detail)
	}
	for _, c := range s.Candidates {
		if c.Exclusion != "" {
			fmt.Fprintf(&b, "\n      not %s: %s", c.Server, c.Exclusion)
		} else {
			fmt.Fprintf(&b, "\n      could be %s: ready in %s, %d tokens cached", c.Server, c.ReadyIn.Round(time.Millisecond), c.Cached)
		}
	}
	return b.String()
}

// Record holds the steps of a request that one process recorded, in order of
// time.
type Record struct {
	ID       string `json:"id"`
	Customer string `json:"customer,omitempty"`
	Class    string `json:"class,omitempty"`
	Model    string `json:"model,omitempty"`
	Steps    []Step `json:"steps"`
	// Omitted is the number of steps beyond the maximum, which are not kept.
	Omitted int `json:"left_out,omitempty"`
}

// maxSteps is the maximum number of steps of a record.
const maxSteps = 48

// Ring is a ring buffer of the newest records.
type Ring struct {
	byID  map[string]*Record
	order []string
	next  int
}

// NewRing returns a ring for size records.
func NewRing(size int) *Ring {
	return &Ring{byID: make(map[string]*Record, size), order: make([]string, size)}
}

// GetOrCreate returns the record of id. If there is none, it replaces the oldest
// record by a new one.
func (r *Ring) GetOrCreate(id string) *Record {
	if rec := r.byID[id]; rec != nil {
		return rec
	}
	delete(r.byID, r.order[r.next])
	rec := &Record{ID: id}
	r.byID[id] = rec
	r.order[r.next] = id
	r.next = (r.next + 1) % len(r.order)
	return rec
}

// Find returns a copy of the record of id, if it is still kept.
func (r *Ring) Find(id string) (Record, bool) {
	rec := r.byID[id]
	if rec == nil {
		return Record{}, false
	}
	out := *rec
	out.Steps = append([]Step(nil), rec.Steps...)
	return out, true
}

// Len returns the number of records that are kept.
func (r *Ring) Len() int { return len(r.byID) }

// Add appends a step, or counts it as omitted if the record is full.
func (r *Record) Add(s Step) {
	if len(r.Steps) >= maxSteps {
		r.Omitted++
		return
	}
	r.Steps = append(r.Steps, s)
}

// Merge merges the records that several processes have of one request, with the
// steps in order of time.
func Merge(records []Record) Record {
	var out Record
	for _, r := range records {
		if out.ID == "" || out.Class == "" && r.Class != "" {
			out.ID, out.Customer, out.Class, out.Model = r.ID, r.Customer, r.Class, r.Model
		}
		out.Steps = append(out.Steps, r.Steps...)
		out.Omitted += r.Omitted
	}
	sort.SliceStable(out.Steps, func(i, j int) bool { return out.Steps[i].At.Before(out.Steps[j].At) })
	return out
}

// Write writes the record as text: a step per line, with the time since the first
// step.
func (r Record) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s of %s, class %s, model %s\n", r.ID, r.Customer, r.Class, r.Model); err != nil {
		return err
	}
	for _, s := range r.Steps {
		at := s.At.Sub(r.Steps[0].At).Round(100 * time.Microsecond)
		if _, err := fmt.Fprintf(w, "%10s  %-10s %s\n", at, s.Process, s); err != nil {
			return err
		}
	}
	if r.Omitted > 0 {
		if _, err := fmt.Fprintf(w, "%d more steps were not kept\n", r.Omitted); err != nil {
			return err
		}
	}
	return nil
}
