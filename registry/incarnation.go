package registry

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// A server keeps its name when it restarts, but nothing of its state. Processes therefore
// identify a server by its incarnation: everything that is kept by ID (loads, evidence,
// holds, kept prompts, connections, roles, blocked contents) belongs to one incarnation.

// incarnationHashBytes is the length of the hash in an incarnation's ID. With 600 servers
// that restart a thousand times a day each, two IDs collide once in a hundred million
// years.
const incarnationHashBytes = 8

// IncarnationID returns the ID of an incarnation: the name of the server if its start
// time is not reported, else a hash that is no longer than a name, so that messages
// between processes do not grow.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(name), uint64(born)))
	return base64.RawURLEncoding.EncodeToString(sum[:incarnationHashBytes])
}

// MaxBorn is the latest start time that is accepted, in Unix milliseconds. Programs that
// hold numbers as float64 lose digits above it.
const MaxBorn = 1 << 53

// SameIncarnation reports whether a start time that a server reported belongs to s. If
// either side has no start time, they are assumed to match.
func (s Server) SameIncarnation(born int64) bool { return born == 0 || s.Born == 0 || born == s.Born }

// newestRetention is how long the newest incarnation of a name is remembered after its
// last report. Late reports of an earlier incarnation must not restore it.
const newestRetention = time.Hour

// Incarnations holds the newest incarnation of each server.
type Incarnations struct{ newest map[string]incarnation }

type incarnation struct {
	id   string
	born int64
	at   time.Time
}

// NewIncarnations returns an empty set.
func NewIncarnations() *Incarnations { return &Incarnations{newest: map[string]incarnation{}} }

// Errors of reports about servers.
var (
	// ErrSuperseded reports that a later incarnation of the server is known.
	ErrSuperseded = errors.New("registry: a later incarnation of the server is known")
	// ErrMismatch reports that the incarnation is known with another service or address.
	ErrMismatch = errors.New("registry: the incarnation is known with another service or address")
)

// Resolve returns a report with the incarnation that it is about filled in. A report
// without a start time is about the newest incarnation if its state is Gone, because some
// servers report only that when they leave; otherwise it belongs to an earlier
// incarnation.
func (in *Incarnations) Resolve(s Server) Server {
	if n, known := in.newest[s.StableName()]; known && s.Born == 0 && n.born > 0 && s.State == Gone {
		s.ID, s.Name, s.Born = n.id, s.StableName(), n.born
	}
	return s
}

// Record stores an incarnation. It returns the ID, name and start time of the incarnation
// that it replaces, the zero Server if there is none, and ErrSuperseded if a later one is
// known.
func (in *Incarnations) Record(now time.Time, s Server) (replaced Server, err error) {
	n, known := in.newest[s.StableName()]
	switch {
	case known && n.born > s.Born:
		return Server{}, ErrSuperseded
	case known && n.born < s.Born:
		replaced = Server{ID: n.id, Born: n.born}
		if n.born != 0 {
			replaced.Name = s.StableName()
		}
	}
	in.newest[s.StableName()] = incarnation{id: s.ID, born: s.Born, at: now}
	return replaced, nil
}

// Sweep removes servers without a report for longer than newestRetention.
func (in *Incarnations) Sweep(now time.Time) {
	for name, n := range in.newest {
		if now.Sub(n.at) > newestRetention {
			delete(in.newest, name)
		}
	}
}
