// Package decision keeps a typed record of what was decided for each request
// and why, in bounded memory, for the explain command, the log and the tests.
package decision

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/placement"
)

// Kind is what a step of a record tells.
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

// Step is one thing that was decided or seen.
type Step struct {
	At      time.Time `json:"at"`
	Kind    Kind      `json:"kind"`
	Attempt uint32    `json:"attempt,omitempty"`
	// Where is the process that wrote the step.
	Process string `json:"where,omitempty"`
	// Server is the backend server that it is about.
	Server string `json:"server,omitempty"`
	// Detail says more, in reports.
	Detail string `json:"detail,omitempty"`
	// Candidates are the servers that were looked at.
	Candidates []placement.Candidate `json:"candidates,omitempty"`
}

// String returns the step as one line, without its time.
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

// Record is the story of one request at one process.
type Record struct {
	ID       string `json:"id"`
	Customer string `json:"customer,omitempty"`
	Class    string `json:"class,omitempty"`
	Model    string `json:"model,omitempty"`
	Steps    []Step `json:"steps"`
	// Left counts the steps that found no room.
	Omitted int `json:"left_out,omitempty"`
}

// maxSteps bounds the steps of one record.
const maxSteps = 48

// Ring keeps the newest records.
type Ring struct {
	byID  map[string]*Record
	order []string
	next  int
}

// NewRing returns a ring for a number of records.
func NewRing(size int) *Ring {
	return &Ring{byID: make(map[string]*Record, size), order: make([]string, size)}
}

// Open returns the record of id, a new one if there is none; the oldest record
// makes room.
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

// Find returns a copy of the record of id.
func (r *Ring) Find(id string) (Record, bool) {
	rec := r.byID[id]
	if rec == nil {
		return Record{}, false
	}
	out := *rec
	out.Steps = append([]Step(nil), rec.Steps...)
	return out, true
}

// Len counts the records that are kept.
func (r *Ring) Len() int { return len(r.byID) }

// Add appends a step.
func (r *Record) Add(s Step) {
	if len(r.Steps) >= maxSteps {
		r.Omitted++
		return
	}
	r.Steps = append(r.Steps, s)
}

// Merge joins the records that several processes have of one request, in order
// of time.
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

// Write tells the story of the record, a step a line, with the time since the
// first step.
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
		if _, err := fmt.Fprintf(w, "and %d more steps that were not kept\n", r.Omitted); err != nil {
			return err
		}
	}
	return nil
}
