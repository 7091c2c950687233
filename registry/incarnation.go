package registry

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// A server keeps the name that it gives itself when it starts again, and holds nothing of
// before. So processes know a server by its start: everything that is kept by ID (loads,
// evidence, holds, kept prompts, connections, roles, blocked contents) is that of one start.

// incarnationHashBytes is the length of a start's hash: 600 servers that start a thousand times each
// share one by chance once in a hundred million years of such days.
const incarnationHashBytes = 8

// IncarnationID names one start of a server: its name if it does not tell when it was born, else
// a hash that is no longer than a name, so that what passes between processes does not
// grow.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(name), uint64(born)))
	return base64.RawURLEncoding.EncodeToString(sum[:incarnationHashBytes])
}

// MaxBorn is the latest time of a start that is taken, in Unix milliseconds: above it
// other programs lose digits.
const MaxBorn = 1 << 53

// SameIncarnation tells whether a time of a start that a server has told of itself is that of s. One
// that either does not tell is taken to be.
func (s Server) SameIncarnation(born int64) bool { return born == 0 || s.Born == 0 || born == s.Born }

// newestRetention is how long the newest start of a name is remembered after its last report: an
// earlier one must not come back, however late its reports are.
const newestRetention = time.Hour

// Incarnations knows the newest start of each server.
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
	// ErrSuperseded tells that a later start of the server is known.
	ErrSuperseded = errors.New("registry: a later start of the server is known")
	// ErrMismatch tells that the start is known with another service or address.
	ErrMismatch = errors.New("registry: the start is known with another service or address")
)

// Resolve returns a report about a server with the start that it is about. A report that tells
// no start is about the newest if it says that the server has gone, since some servers say
// only that; else it is a report of an earlier start.
func (in *Incarnations) Resolve(s Server) Server {
	if n, known := in.newest[s.StableName()]; known && s.Born == 0 && n.born > 0 && s.State == Gone {
		s.ID, s.Name, s.Born = n.id, s.StableName(), n.born
	}
	return s
}

// Record notes a start. It returns what names the one that it replaces, nothing if there is
// none, and ErrEarlier if a later one is known.
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

// Sweep forgets servers of which nothing was heard for long.
func (in *Incarnations) Sweep(now time.Time) {
	for name, n := range in.newest {
		if now.Sub(n.at) > newestRetention {
			delete(in.newest, name)
		}
	}
}
