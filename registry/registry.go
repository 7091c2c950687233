// Package registry holds the backend servers that are present, according to their own
// reports.
//
// It is soft state: servers repeat their reports, so that a process that has just started
// knows all of them within one interval. A server that restarts under its name gets
// another entry here: its later incarnation replaces the earlier one at once, and reports
// of the earlier one never restore it. Reports of one incarnation carry increasing
// sequence numbers, by which late ones are recognised.
package registry

import (
	"cmp"
	"sort"
	"time"
)

// State is the state that a server reports about itself.
type State string

// The states of a server.
const (
	Ready State = "ready"
	// Draining servers finish their work and accept no more.
	Draining State = "draining"
	// Gone servers have left and do not come back.
	Gone State = "gone"
)

// Roles of an engine in disaggregated serving.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Server is one incarnation of a backend server.
type Server struct {
	// ID identifies the incarnation; see IncarnationID.
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Address is an IP address and a port.
	Address string `cbor:"3,keyasint" json:"address"`
	Zone    string `cbor:"4,keyasint" json:"zone"`
	Slots   int    `cbor:"5,keyasint,omitempty" json:"slots"`
	State   State  `cbor:"6,keyasint" json:"state"`
	// Role is Prefill or Decode for an engine, empty for a plain service.
	Role string `cbor:"7,keyasint,omitempty" json:"role,omitempty"`
	// Sequence increases with every report of the incarnation.
	Sequence uint64 `cbor:"8,keyasint" json:"sequence"`
	// Age is the time since the newest report, in messages between processes.
	Age time.Duration `cbor:"9,keyasint,omitempty" json:"-"`
	// Name is the server's own name, the same in all its incarnations; empty if it equals
	// the ID.
	Name string `cbor:"10,keyasint,omitempty" json:"name,omitempty"`
	// Born is the start time in Unix milliseconds by the server's own clock; zero if it
	// is not reported.
	Born int64 `cbor:"11,keyasint,omitempty" json:"born,omitempty"`
	// Next is the start time of the incarnation that replaced this one; zero if none is
	// known.
	Next int64 `cbor:"12,keyasint,omitempty" json:"-"`
	// Cold is how long the server remains cold and can serve fewer requests than usual,
	// counted from the time of the report (see Age); zero if it is warm.
	Cold time.Duration `cbor:"13,keyasint,omitempty" json:"cold,omitempty"`
	// Version is the version of the server's software; empty if it is not reported, or if a peer
	// of an older build has forwarded the report.
	Version string `cbor:"14,keyasint,omitempty" json:"version,omitempty"`
}

// Newest returns the newest incarnation that a report names: the server itself, or the
// incarnation that replaced it, of which only the ID, name and start time are known.
func (s Server) Newest() Server {
	if s.Next == 0 {
		return s
	}
	return Server{ID: IncarnationID(s.StableName(), s.Next), Name: s.StableName(), Born: s.Next}
}

// Published returns the fields of a server that are sent to peers: all of them, or only
// its identity and Next if another incarnation has replaced it, since the rest is
// obsolete then.
func (s Server) Published() Server {
	if s.Next == 0 {
		return s
	}
	return Server{ID: s.ID, Name: s.Name, Born: s.Born, State: Gone, Next: s.Next}
}

// StableName returns the server's own name, which stays the same when it restarts.
func (s Server) StableName() string {
	if s.Name != "" {
		return s.Name
	}
	return s.ID
}

// sameReport reports whether two reports are equal except for Sequence, Age and Cold.
func sameReport(a, b Server) bool {
	a.Sequence, a.Age, a.Cold = b.Sequence, b.Age, b.Cold
	return a == b
}

type entry struct {
	server     Server
	reportedAt time.Time
	// coldUntil is when the server becomes warm, according to its newest report.
	coldUntil time.Time
}

// coldTolerance is the smallest change of the end of a cold period that is published.
// Reports arrive some tenths of a second late.
const coldTolerance = 400 * time.Millisecond

// coldEndChanged reports whether the end of a server's cold period differs from the known
// one.
func (e *entry) coldEndChanged(now, until time.Time) bool {
	if !e.coldUntil.After(now) && !until.After(now) {
		return false
	}
	return until.Sub(e.coldUntil).Abs() >= coldTolerance
}

// coldRemaining returns how long the server remains cold after from.
func (e *entry) coldRemaining(from time.Time) time.Duration { return max(e.coldUntil.Sub(from), 0) }

// Registry is the set of known servers. It is not safe for concurrent use.
type Registry struct {
	servers      map[string]*entry
	incarnations *Incarnations
	// ttl is how long a silent server stays listed.
	ttl time.Duration
}

// New returns an empty registry that forgets servers that are silent for ttl.
func New(ttl time.Duration) *Registry {
	return &Registry{servers: map[string]*entry{}, incarnations: NewIncarnations(), ttl: ttl}
}

// Update is a server that a report has changed.
type Update struct {
	Server Server
	// Previous is the server before the report; nil if it was unknown.
	Previous *Server
}

// Resolve returns a report with the incarnation that it is about filled in; see
// Incarnations.Resolve.
func (r *Registry) Resolve(s Server) Server { return r.incarnations.Resolve(s) }

// mismatches reports whether a report gives a known incarnation another service or
// address, which only another server can have.
func (r *Registry) mismatches(s Server) bool {
	old := r.servers[s.ID]
	return old != nil && s.State != Gone && old.server.State != Gone &&
		(old.server.Service != s.Service || s.Address != "" && old.server.Address != s.Address)
}

// Report stores a report and returns the servers that it changed: first the earlier
// incarnation that a new one replaces, then the reported one if it is new or differs. An
// incarnation that has reported Draining or Gone never becomes ready again. Report
// returns ErrInvalidText, ErrSuperseded or ErrMismatch if the report is rejected. A late report
// of a known incarnation is not an error.
func (r *Registry) Report(now time.Time, s Server) ([]Update, error) {
	if err := s.CheckTexts(); err != nil {
		return nil, err
	}
	s = r.Resolve(s)
	if r.mismatches(s) {
		return nil, ErrMismatch
	}
	replaced, err := r.incarnations.Record(now, s)
	if err != nil {
		return nil, err
	}
	var out []Update
	if replaced.ID != "" {
		out = append(out, r.replace(replaced, s))
	}
	if n, ok := r.store(now, s); ok {
		out = append(out, n)
	}
	return out, nil
}

// replace marks an incarnation as gone because a later one has reported. It returns an
// update even if the earlier one has gone or was forgotten before: a peer that knew only
// the earlier one may still wait for its answers.
func (r *Registry) replace(ended, successor Server) Update {
	ended.State, ended.Next = Gone, successor.Born
	old := r.servers[ended.ID]
	if old == nil {
		return Update{Server: ended}
	}
	before := old.server
	old.server.State, old.server.Next = Gone, successor.Born
	return Update{Server: old.server, Previous: &before}
}

// store replaces the previous report of an incarnation, and reports whether that is an
// update.
func (r *Registry) store(now time.Time, s Server) (Update, bool) {
	reported := now.Add(-s.Age)
	coldUntil := reported.Add(s.Cold)
	s.Age, s.Cold = 0, max(coldUntil.Sub(now), 0)
	old := r.servers[s.ID]
	if old == nil {
		r.servers[s.ID] = &entry{server: s, reportedAt: reported, coldUntil: coldUntil}
		return Update{Server: s}, true
	}
	if reported.After(old.reportedAt) {
		old.reportedAt = reported
	}
	if stateOrder(s.State) < stateOrder(old.server.State) || s.Sequence < old.server.Sequence && s.State == old.server.State {
		return Update{}, false
	}
	if s.State == Gone {
		s = old.server
		s.State = Gone
	}
	s.Version = cmp.Or(s.Version, old.server.Version)
	cold := s.State == Ready && old.coldEndChanged(now, coldUntil)
	if s.State == Ready {
		old.coldUntil = coldUntil
	}
	if sameReport(old.server, s) && !cold {
		old.server = s
		return Update{}, false
	}
	before := old.server // copied here, since most of the hundreds of reports per second change nothing
	old.server = s
	return Update{Server: s, Previous: &before}, true
}

func stateOrder(s State) int {
	switch s {
	case Draining:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// Get returns a server by the ID of its incarnation.
func (r *Registry) Get(id string) (Server, bool) {
	e := r.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// Reported returns an incarnation by its ID and the time of its newest report.
func (r *Registry) Reported(id string) (s Server, at time.Time, ok bool) {
	e := r.servers[id]
	if e == nil {
		return Server{}, time.Time{}, false
	}
	return e.server, e.reportedAt, true
}

// leftRetention is how long a server that is leaving or has left is remembered. An
// earlier report that arrives late must not restore it.
const leftRetention = time.Minute

// Refresh records that servers have reported at a time without any change.
func (r *Registry) Refresh(at time.Time, ids []string) {
	for _, id := range ids {
		if e := r.servers[id]; e != nil && at.After(e.reportedAt) {
			e.reportedAt = at
		}
	}
}

// Expire removes the servers that have been silent for too long and returns them.
func (r *Registry) Expire(now time.Time) []Server {
	var out []Server
	for id, e := range r.servers {
		ttl := r.ttl
		if e.server.State != Ready {
			ttl = max(ttl, leftRetention)
		}
		if now.Sub(e.reportedAt) > ttl {
			out = append(out, e.server)
			delete(r.servers, id)
		}
	}
	r.incarnations.Sweep(now)
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// List returns all servers with their ages, sorted by ID.
func (r *Registry) List(now time.Time) []Server {
	out := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		s := e.server
		s.Age, s.Cold = now.Sub(e.reportedAt), e.coldRemaining(e.reportedAt)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
