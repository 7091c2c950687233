package fleet

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/settings"
)

// Change is an operator's change of the settings tree.
type Change struct {
	// ID is the operator's name for the change; a resent one gets the first
	// answer again.
	ID string `cbor:"1,keyasint"`
	// Base is the revision that the change is based on.
	Base uint64 `cbor:"2,keyasint"`
	// Delta leads from the text of Base to the new text, whose hash is Sum.
	Delta settings.Delta `cbor:"3,keyasint"`
	Sum   settings.Sum   `cbor:"4,keyasint"`
	Who   string         `cbor:"5,keyasint"`
	// When is the clock of the replica that took the change, in nanoseconds.
	When int64  `cbor:"6,keyasint"`
	Note string `cbor:"7,keyasint,omitempty"`
	// Edits are the first values that differ, for the history.
	Edits []string `cbor:"8,keyasint,omitempty"`
	// Table is a whole routing table; the other fields but ID are empty then.
	Table *route.Table `cbor:"9,keyasint,omitempty"`
	// Version raises the fleet's version; the other fields but ID are empty then.
	Version int `cbor:"10,keyasint,omitempty"`
	// Evacuation begins or ends that of an availability zone; the other fields but ID and
	// When are empty then.
	Evacuation *Evacuation `cbor:"11,keyasint,omitempty"`
}

// Result is the answer to a change.
type Result struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Revision is the new revision, or the newest one if OK is not set.
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	OK       bool   `cbor:"3,keyasint" json:"ok"`
	// Detail tells why the change was not made.
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
}

// Past is one change that was made.
type Past struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Note     string    `json:"note,omitempty"`
	Edits    []string  `json:"edits,omitempty"`
}

// Bounds of what is kept.
const (
	// MaxResults bounds the change IDs that are remembered: ten days at the
	// size that the design is for.
	MaxResults = 20000
	maxHistory = 2000
	// MaxEdits bounds the edits that the history shows of one change.
	MaxEdits = 20
)

// State is the replicated state.
type State struct {
	revision  uint64
	text      []byte
	results   map[string]Result
	resultIDs []string // change IDs, the oldest first
	history   []Past
	table     *route.Table // nil before the first
	version   int          // zero while it is the base version
	// evacuated are the zones that are being evacuated, and evacuations counts the changes
	// of that.
	evacuated   map[string]time.Time
	evacuations uint64
}

// New returns the state before any change: revision zero, no settings.
func New() *State { return &State{results: map[string]Result{}, evacuated: map[string]time.Time{}} }

// Revision returns the newest revision.
func (s *State) Revision() uint64 { return s.revision }

// Text returns the settings of the newest revision; callers must not change it.
func (s *State) Text() []byte { return s.text }

// Table returns the routing table with the highest version, or nil; callers
// must not change it.
func (s *State) Table() *route.Table { return s.table }

// Result returns the answer to an earlier change.
func (s *State) Result(id string) (Result, bool) {
	r, ok := s.results[id]
	return r, ok
}

// History returns the changes after a revision, the oldest first.
func (s *State) History(after uint64) []Past {
	for i, p := range s.history {
		if p.Revision > after {
			return s.history[i:]
		}
	}
	return nil
}

// Apply takes one committed command. The same commands in the same order give
// the same state everywhere. A command that can't be read whole is an error and changes
// nothing: whoever went on without it would differ from the others.
func (s *State) Apply(data []byte) (Result, error) {
	var c Change
	if err := decode(data, &c); err != nil {
		return Result{}, err
	}
	if c.Table != nil {
		return s.applyTable(c), nil
	}
	if c.Version != 0 {
		return s.applyVersion(c), nil
	}
	if c.Evacuation != nil {
		return s.applyEvacuation(c), nil
	}
	if r, ok := s.results[c.ID]; ok {
		return r, nil
	}
	r := s.applySettings(c)
	s.addResult(r)
	return r, nil
}

func (s *State) applySettings(c Change) Result {
	if c.Base != s.revision {
		return Result{ID: c.ID, Revision: s.revision,
			Detail: fmt.Sprintf("based on revision %d, and %d is the newest", c.Base, s.revision)}
	}
	text, err := c.Delta.Apply(s.text)
	if err != nil || sha256.Sum256(text) != c.Sum {
		return Result{ID: c.ID, Revision: s.revision, Detail: "the change does not fit the settings"}
	}
	s.revision++
	s.text = text
	s.history = append(s.history, Past{
		Revision: s.revision, ID: c.ID, Who: c.Who, When: time.Unix(c.When/int64(time.Second), 0).UTC(), Note: c.Note, Edits: c.Edits,
	})
	if len(s.history) > maxHistory {
		s.history = append([]Past(nil), s.history[len(s.history)-maxHistory:]...)
	}
	return Result{ID: c.ID, Revision: s.revision, OK: true}
}

// applyTable takes a routing table if its version is above the one that is
// held. One that is not changes nothing and counts as taken: it was overtaken.
func (s *State) applyTable(c Change) Result {
	if s.table == nil || c.Table.Version > s.table.Version {
		s.table = c.Table
	}
	return Result{ID: c.ID, Revision: s.table.Version, OK: true}
}

func (s *State) addResult(r Result) {
	s.results[r.ID] = r
	s.resultIDs = append(s.resultIDs, r.ID)
	if len(s.resultIDs) > MaxResults {
		delete(s.results, s.resultIDs[0])
		s.resultIDs = s.resultIDs[1:]
	}
}

// Encode returns the command of a change.
func Encode(c Change) ([]byte, error) { return cbor.Marshal(c) }

// snapshot is the state as it is kept.
type snapshot struct {
	Revision uint64   `cbor:"1,keyasint"`
	Text     []byte   `cbor:"2,keyasint"`
	Results  []Result `cbor:"3,keyasint"`
	History  []Past   `cbor:"4,keyasint"`
	// Table is the routing table; nil before the first.
	Table *route.Table `cbor:"5,keyasint,omitempty"`
	// Version is the fleet's version; missing while it is the base version, so that builds
	// of that version read the snapshot.
	Version int `cbor:"6,keyasint,omitempty"`
	// Evacuated are the zones that are being evacuated, by name, and Evacuations counts the
	// changes of that.
	Evacuated   []EvacuatedZone `cbor:"7,keyasint,omitempty"`
	Evacuations uint64          `cbor:"8,keyasint,omitempty"`
}

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{Revision: s.revision, Text: s.text, History: s.history, Table: s.table, Version: s.version, Evacuated: s.EvacuatedZones(), Evacuations: s.evacuations, Results: make([]Result, 0, len(s.resultIDs))}
	for _, id := range s.resultIDs {
		out.Results = append(out.Results, s.results[id])
	}
	return cbor.Marshal(out)
}

// Restore returns the state of a snapshot; empty bytes give a new state.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	in, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	s.revision, s.text, s.history, s.table, s.version = in.Revision, in.Text, in.History, in.Table, in.Version
	for _, r := range in.Results {
		s.addResult(r)
	}
	s.evacuations = in.Evacuations
	for _, z := range in.Evacuated {
		s.evacuated[z.Zone] = time.Unix(z.Since, 0).UTC()
	}
	return s, nil
}
