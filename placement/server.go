package placement

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/retry"
)

// Priorities is the number of priorities.
const Priorities = 10

// Load is what an agent tells an entry of its server. It leaves out what the
// entry itself holds there.
type Load struct {
	// Others counts the slots that other entries hold.
	Others int `cbor:"1,keyasint"`
	// Slots counts all slots.
	Slots int `cbor:"2,keyasint"`
	// Backlog is the prefill work of other entries in tokens, by priority.
	Backlog []int32 `cbor:"3,keyasint,omitempty"`
	// Leaving tells that the server takes no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Cached lists prefix hashes that the engine has told of since the last
	// load; the list may have gaps.
	Cached []uint64 `cbor:"5,keyasint,omitempty"`
	// Models are the models that the engine has loaded now.
	Models []string `cbor:"6,keyasint,omitempty"`
	// Transfers counts the KV transfers of other entries on the server's link.
	Transfers int `cbor:"8,keyasint,omitempty"`
	// NoModels tells that the engine has none, so that it differs from a load
	// that does not speak of models.
	NoModels bool `cbor:"7,keyasint,omitempty"`
}

// Info is what the settings say of a server.
type ServerConfig struct {
	Name, Zone, Role string
	// Models are those that it has when it is entered; an entry leaves them to
	// the first report.
	Models []string
	Slots  int
	// LinkRate is in bytes a second.
	LinkRate float64
}

// The first guesses, until answers have taught better.
const (
	initialPrefillRate = 8000.0 // tokens a second
	initialTokenTime   = 30 * time.Millisecond
	smoothingWeight    = 0.2
)

// Server is one backend server as an entry sees it.
type Server struct {
	ServerConfig
	models    map[string]bool
	connected bool
	leaving   bool
	health    retry.Health

	slots       int
	otherSlots  int // slots of other entries, as reported
	ownSlots    int // slots of this entry
	otherTokens [Priorities]int32
	ownTokens   [Priorities]int32 // tokens of this entry
	ownPrefills [Priorities]int   // prefills of this entry

	prefillRate    float64 // prefill tokens a second, learnt
	tokenTime      time.Duration
	ownTransfers   int // transfers of this entry on the server's link
	otherTransfers int // those of others, as reported
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

// Free returns the slots that are thought to be free; it may be negative.
func (s *Server) Free() int { return s.slots - s.otherSlots - s.ownSlots }

// Mine counts the slots that this entry holds at the server.
func (s *Server) OwnSlots() int { return s.ownSlots }

// Outstanding counts the requests that are thought to be at the server.
func (s *Server) Outstanding() int { return s.otherSlots + s.ownSlots }

// Rate returns the learnt prefill rate in tokens a second.
func (s *Server) Rate() float64 { return s.prefillRate }

// TokenTime returns the learnt time between tokens.
func (s *Server) TokenTime() time.Duration { return s.tokenTime }

// Up tells whether the entry has a link to the server's agent.
func (s *Server) Connected() bool { return s.connected }

// Loaded lists the models that the server is thought to have loaded.
func (s *Server) LoadedModels() []string {
	out := make([]string, 0, len(s.models))
	for m := range s.models {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

// Leaving tells whether the server takes no new work.
func (s *Server) Leaving() bool { return s.leaving }

// QueuedTokens returns the prefill work that goes before a new request of a
// priority.
func (s *Server) QueuedTokens(priority int) int {
	sum := 0
	for i := 0; i <= priority && i < Priorities; i++ {
		sum += int(s.otherTokens[i] + s.ownTokens[i])
	}
	return sum
}

// ownAhead counts this entry's prefills up to a priority.
func (s *Server) ownPrefillsAhead(priority int) int {
	n := 0
	for i := 0; i <= priority; i++ {
		n += s.ownPrefills[i]
	}
	return n
}

// Block tells why a server can't take a request now; empty if it can.
type Exclusion string

// The reasons that rule a server out.
const (
	Eligible     Exclusion = ""
	Disconnected Exclusion = "no link to its agent"
	Leaving      Exclusion = "leaving"
	Ejected      Exclusion = "ejected after failures"
	NoModel      Exclusion = "model not loaded"
	NoSlot       Exclusion = "no free slot"
	Busy         Exclusion = "prefills ahead"
	JustFailed   Exclusion = "failed this request before"
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
