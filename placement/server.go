package placement

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/retry"
)

// Priorities is the number of priorities; 0 is the highest.
const Priorities = 10

// Load is an agent's report to an entry about its server. It does not include
// the entry's own load.
type Load struct {
	// Others is the number of slots that other entries use.
	Others int `cbor:"1,keyasint"`
	// Slots is the number of all slots.
	Slots int `cbor:"2,keyasint"`
	// Backlog is the prefill work of other entries in tokens, by priority.
	Backlog []int32 `cbor:"3,keyasint,omitempty"`
	// Leaving reports whether the server accepts no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Cached lists prefix hashes that the engine has cached since the last
	// report; the list may be incomplete.
	Cached []uint64 `cbor:"5,keyasint,omitempty"`
	// Models are the models that the engine has loaded now.
	Models []string `cbor:"6,keyasint,omitempty"`
	// Transfers is the number of KV transfers of other entries on the server's
	// link.
	Transfers int `cbor:"8,keyasint,omitempty"`
	// NoModels reports whether the engine has no model loaded, as opposed to a
	// report that does not include the models.
	NoModels bool `cbor:"7,keyasint,omitempty"`
}

// ServerConfig holds the settings of a server.
type ServerConfig struct {
	Name, Zone, Role string
	// Models are the models that are assumed to be loaded until the first report;
	// an entry leaves them empty.
	Models []string
	Slots  int
	// LinkRate is the rate of the server's link in bytes a second.
	LinkRate float64
}

// Initial estimates of a server's speed, and the weight of each measurement in
// their exponential moving averages.
const (
	initialPrefillRate = 8000.0 // tokens a second
	initialTokenTime   = 30 * time.Millisecond
	smoothingWeight    = 0.2
)

// Server is the state of a backend server in the view of an entry.
type Server struct {
	ServerConfig
	models    map[string]bool
	software  string // version of its software; empty if it is not reported
	connected bool
	leaving   bool
	health    retry.Health

	slots       int
	otherSlots  int               // slots used by other entries, as reported
	ownSlots    int               // slots used by this entry
	otherTokens [Priorities]int32 // prefill work of other entries, as reported
	ownTokens   [Priorities]int32 // prefill work of this entry
	ownPrefills [Priorities]int   // prefills of this entry

	prefillRate    float64       // tokens a second, moving average
	tokenTime      time.Duration // moving average
	ownTransfers   int           // transfers of this entry on the server's link
	otherTransfers int           // transfers of other entries, as reported
	cachedPrefixes *prefixSet
}

func newServer(i ServerConfig) *Server {
	s := &Server{ServerConfig: i, prefillRate: initialPrefillRate, tokenTime: initialTokenTime, cachedPrefixes: newPrefixSet(maxPrefixes)}
	s.slots = i.Slots
	s.setModels(i.Models)
	return s
}

func (s *Server) setModels(names []string) {
	s.models = make(map[string]bool, len(names))
	for _, m := range names {
		s.models[m] = true
	}
}

// Free returns the estimated number of free slots; it may be negative.
func (s *Server) Free() int { return s.slots - s.otherSlots - s.ownSlots }

// OwnSlots returns the number of slots that this entry uses at the server.
func (s *Server) OwnSlots() int { return s.ownSlots }

// Outstanding returns the estimated number of slots in use.
func (s *Server) Outstanding() int { return s.otherSlots + s.ownSlots }

// Rate returns the average prefill rate in tokens a second.
func (s *Server) Rate() float64 { return s.prefillRate }

// TokenTime returns the average time between tokens.
func (s *Server) TokenTime() time.Duration { return s.tokenTime }

// Connected reports whether the entry has a link to the server's agent.
func (s *Server) Connected() bool { return s.connected }

// LoadedModels returns the models that the server last reported as loaded, sorted
// by name.
func (s *Server) LoadedModels() []string {
	out := make([]string, 0, len(s.models))
	for m := range s.models {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

// Leaving reports whether the server accepts no new work.
func (s *Server) Leaving() bool { return s.leaving }

// QueuedTokens returns the prefill work, in tokens, that is served before a new
// request of a priority.
func (s *Server) QueuedTokens(priority int) int {
	sum := 0
	for i := 0; i <= priority && i < Priorities; i++ {
		sum += int(s.otherTokens[i] + s.ownTokens[i])
	}
	return sum
}

// ownPrefillsAhead returns the number of prefills of this entry whose priority
// is the given one or higher.
func (s *Server) ownPrefillsAhead(priority int) int {
	n := 0
	for i := 0; i <= priority; i++ {
		n += s.ownPrefills[i]
	}
	return n
}

// Exclusion is the reason why a server can't accept a request now.
type Exclusion string

// The reasons. Eligible means that the server can accept the request.
const (
	Eligible     Exclusion = ""
	Disconnected Exclusion = "no link to its agent"
	Leaving      Exclusion = "leaving"
	Ejected      Exclusion = "ejected after failures"
	NoModel      Exclusion = "model not loaded"
	NoSlot       Exclusion = "no free slot"
	Busy         Exclusion = "prefills ahead"
	JustFailed   Exclusion = "failed this request before"
	OtherVersion Exclusion = "another software version than the one that began the stream"
)

func (s *Server) exclusion(now time.Time, q *Query) Exclusion {
	switch {
	case !s.connected:
		return Disconnected
	case s.leaving:
		return Leaving
	case !s.models[q.Model]:
		return NoModel
	case q.Avoid != "" && q.Avoid == s.Name:
		return JustFailed
	case !s.health.Usable(now):
		return Ejected
	}
	return Eligible
}

// Software returns the version of the server's software; empty if it is not reported.
func (s *Server) Software() string { return s.software }
