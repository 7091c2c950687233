// Package registry keeps which backend servers are there, by what they say of
// themselves.
//
// It is soft state: servers repeat their reports, so that a process which has
// just started knows all of them within one interval. A server that starts again under
// its name is another one here: its later start replaces the earlier at once, and reports of
// the earlier one never bring it back. Reports of one start carry rising sequence numbers;
// a late one is known by its number.
package registry

import (
	"sort"
	"time"
)

// State is what a server says of itself.
type State string

// The states of a server.
const (
	Ready State = "ready"
	// Draining servers finish their work and take no more.
	Draining State = "draining"
	// Gone servers have left for good.
	Gone State = "gone"
)

// Roles of an engine in disaggregated serving.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Server is one start of a backend server.
type Server struct {
	// ID names the start (StartID).
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Address is an IP number and a port.
	Address string `cbor:"3,keyasint" json:"address"`
	Zone    string `cbor:"4,keyasint" json:"zone"`
	Slots   int    `cbor:"5,keyasint,omitempty" json:"slots"`
	State   State  `cbor:"6,keyasint" json:"state"`
	// Role is prefill or decode for an engine, empty for a plain service.
	Role string `cbor:"7,keyasint,omitempty" json:"role,omitempty"`
	// Sequence rises with every report of the incarnation.
	Sequence uint64 `cbor:"8,keyasint" json:"sequence"`
	// Age is how long ago the newest report came, when sent between processes.
	Age time.Duration `cbor:"9,keyasint,omitempty" json:"-"`
	// Name is what the server calls itself, in all its starts; empty if it is the ID.
	Name string `cbor:"10,keyasint,omitempty" json:"name,omitempty"`
	// Born is when it started, in Unix milliseconds by its own clock; zero if it does
	// not tell.
	Born int64 `cbor:"11,keyasint,omitempty" json:"born,omitempty"`
	// Next is when the start began that has replaced this one; zero if none is known.
	Next int64 `cbor:"12,keyasint,omitempty" json:"-"`
	// Cold is how much longer it bears fewer requests than usual, from the time of the
	// report on (Age); zero if it is warm.
	Cold time.Duration `cbor:"13,keyasint,omitempty" json:"cold,omitempty"`
}

// Newest returns the newest start of a server that a report tells of: the one itself, or the
// one that has replaced it, of which no more is known.
func (s Server) Newest() Server {
	if s.Next == 0 {
		return s
	}
	return Server{ID: IncarnationID(s.StableName(), s.Next), Name: s.StableName(), Born: s.Next}
}

// Published returns what is told of a server: all, or only when the next start began if one has
// replaced this one, which makes the rest worthless.
func (s Server) Published() Server {
	if s.Next == 0 {
		return s
	}
	return Server{ID: s.ID, Name: s.Name, Born: s.Born, State: Gone, Next: s.Next}
}

// StableName returns what the server calls itself.
func (s Server) StableName() string {
	if s.Name != "" {
		return s.Name
	}
	return s.ID
}

// sameReport tells whether two reports differ only in their number.
func sameReport(a, b Server) bool {
	a.Sequence, a.Age, a.Cold = b.Sequence, b.Age, b.Cold
	return a == b
}

type entry struct {
	server     Server
	reportedAt time.Time
	// coldUntil is when it is warm, by its newest report.
	coldUntil time.Time
}

// coldTolerance is the difference from which on another end of a cold span is news: reports come
// some tenths of a second late.
const coldTolerance = 400 * time.Millisecond

// coldEndChanged tells whether a server is cold until another time than was known.
func (e *entry) coldEndChanged(now, until time.Time) bool {
	if !e.coldUntil.After(now) && !until.After(now) {
		return false
	}
	return until.Sub(e.coldUntil).Abs() >= coldTolerance
}

// coldRemaining returns how much longer a server is cold, from a time on.
func (e *entry) coldRemaining(from time.Time) time.Duration { return max(e.coldUntil.Sub(from), 0) }

// Registry is the set of known servers. It is not safe for concurrent use.
type Registry struct {
	servers      map[string]*entry
	incarnations *Incarnations
	// ttl is how long a silent server stays listed.
	ttl time.Duration
}

// New returns an empty registry that forgets servers that are silent for keep.
func New(ttl time.Duration) *Registry {
	return &Registry{servers: map[string]*entry{}, incarnations: NewIncarnations(), ttl: ttl}
}

// Update is a server of which a report tells something new.
type Update struct {
	Server Server
	// Previous is what was known of it; nil if nothing was.
	Previous *Server
}

// Resolve returns a report about a server with the start that it is about.
func (r *Registry) Resolve(s Server) Server { return r.incarnations.Resolve(s) }

// mismatches tells whether a report says of a start that is known what only another server
// can say.
func (r *Registry) mismatches(s Server) bool {
	old := r.servers[s.ID]
	return old != nil && s.State != Gone && old.server.State != Gone &&
		(old.server.Service != s.Service || s.Address != "" && old.server.Address != s.Address)
}

// Report takes a report and returns the servers of which it tells something new: a new
// one, another report of a known one, and first of all the earlier start that a new one
// replaces. A start that has said that it drains or is gone never becomes ready again. An
// error tells why a report is not taken: ErrEarlier or ErrAnother. A late report is none.
func (r *Registry) Report(now time.Time, s Server) ([]Update, error) {
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

// replace ends a start since a later one has come. It is news also if the earlier one has
// gone or was forgotten before: who was told only that may still wait for its answers.
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

// store puts a report in the place of the one before.
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
	cold := s.State == Ready && old.coldEndChanged(now, coldUntil)
	if s.State == Ready {
		old.coldUntil = coldUntil
	}
	if sameReport(old.server, s) && !cold {
		old.server = s
		return Update{}, false
	}
	before := old.server // copied for news only: most reports have none, by hundreds a second
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

// Get returns a server by the name of its incarnation.
func (r *Registry) Get(id string) (Server, bool) {
	e := r.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// leftRetention is how long a server that leaves or has left is remembered: a report
// from before may come late, and must not bring it back.
const leftRetention = time.Minute

// Refresh takes that servers have reported themselves, with nothing new, at a time.
func (r *Registry) Refresh(at time.Time, ids []string) {
	for _, id := range ids {
		if e := r.servers[id]; e != nil && at.After(e.reportedAt) {
			e.reportedAt = at
		}
	}
}

// Expire forgets servers that have been silent for too long, and returns them.
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

// List returns all servers, with their ages, in the order of their names.
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
