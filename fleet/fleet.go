package fleet

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/settings"
)

// Change is a command of the replicated log. It changes the settings tree, unless one of Table,
// Version and Evacuation is set.
type Change struct {
	// ID identifies the change, so that one that is sent again gets the result of the first.
	ID string `cbor:"1,keyasint"`
	// Base is the revision of the settings that the change is based on.
	Base uint64 `cbor:"2,keyasint"`
	// Delta transforms the text of Base into the new text, whose SHA-256 hash is Sum.
	Delta settings.Delta `cbor:"3,keyasint"`
	Sum   settings.Sum   `cbor:"4,keyasint"`
	Who   string         `cbor:"5,keyasint"`
	// When is the time in Unix nanoseconds by the clock of the replica that accepted the change.
	When int64  `cbor:"6,keyasint"`
	Note string `cbor:"7,keyasint,omitempty"`
	// Edits are the first MaxEdits values that differ, for the history.
	Edits []string `cbor:"8,keyasint,omitempty"`
	// Table is a new routing table; the other fields but ID are empty then.
	Table *route.Table `cbor:"9,keyasint,omitempty"`
	// Version is a new version of the fleet; the other fields but ID are empty then.
	Version int `cbor:"10,keyasint,omitempty"`
	// Evacuation is an order about an availability zone; the other fields but ID and When are
	// empty then.
	Evacuation *Evacuation `cbor:"11,keyasint,omitempty"`
}

// Result is the outcome of a change. Replicas store it, so the same change must have the same
// result at all of them.
type Result struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Revision is the new revision, or the current one if OK is not set.
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	OK       bool   `cbor:"3,keyasint" json:"ok"`
	// Detail is why the change was not made.
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
}

// Past is a change of the settings in the history.
type Past struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Note     string    `json:"note,omitempty"`
	Edits    []string  `json:"edits,omitempty"`
}

// Bounds of the stored state.
const (
	// MaxResults is the maximum number of results that are stored, to recognise changes that
	// are sent again: those of ten days in the largest supported fleet.
	MaxResults = 20000
	maxHistory = 2000
	// MaxEdits is the maximum number of edits of one change in the history.
	MaxEdits = 20
)

// State is the replicated state.
type State struct {
	revision  uint64
	text      []byte
	results   map[string]Result
	resultIDs []string // IDs of results, the oldest first
	history   []Past
	table     *route.Table // nil before the first one
	version   int          // zero while it is the base version
	// evacuated holds the start of the evacuation of each evacuated zone, and evacuations
	// counts its changes.
	evacuated   map[string]time.Time
	evacuations uint64
}

// New returns the state before any change, with revision zero and no settings.
func New() *State { return &State{results: map[string]Result{}, evacuated: map[string]time.Time{}} }

// Revision returns the current revision of the settings.
func (s *State) Revision() uint64 { return s.revision }

// Text returns the settings of the current revision. Callers must not modify it.
func (s *State) Text() []byte { return s.text }

// Table returns the routing table with the highest version, or nil. Callers
// must not modify it.
func (s *State) Table() *route.Table { return s.table }

// Result returns the result of an earlier change, if it is still stored.
func (s *State) Result(id string) (Result, bool) {
	r, ok := s.results[id]
	return r, ok
}

// History returns the stored changes after a revision, the oldest first.
func (s *State) History(after uint64) []Past {
	for i, p := range s.history {
		if p.Revision > after {
			return s.history[i:]
		}
	}
	return nil
}

// Apply applies a committed command. The same commands in the same order produce
// the same state at every replica. A command that can't be decoded completely is an
// error and changes nothing: a replica that skipped it would diverge from the others.
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

// applyTable replaces the routing table if the new one has a higher version. Otherwise a newer
// table was committed before: the change has no effect and succeeds.
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

// Encode returns the encoded command for a change.
func Encode(c Change) ([]byte, error) { return cbor.Marshal(c) }

// snapshot is the encoded form of the state.
type snapshot struct {
	Revision uint64   `cbor:"1,keyasint"`
	Text     []byte   `cbor:"2,keyasint"`
	Results  []Result `cbor:"3,keyasint"`
	History  []Past   `cbor:"4,keyasint"`
	// Table is the routing table; nil before the first one.
	Table *route.Table `cbor:"5,keyasint,omitempty"`
	// Version is the version of the fleet. It is absent while it is the base version, so that
	// builds of that version can read the snapshot.
	Version int `cbor:"6,keyasint,omitempty"`
	// Evacuated lists the evacuated zones, sorted by name, and Evacuations counts the
	// changes of the set.
	Evacuated   []EvacuatedZone `cbor:"7,keyasint,omitempty"`
	Evacuations uint64          `cbor:"8,keyasint,omitempty"`
}

// Snapshot returns the whole state in encoded form.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{Revision: s.revision, Text: s.text, History: s.history, Table: s.table, Version: s.version, Evacuated: s.EvacuatedZones(), Evacuations: s.evacuations, Results: make([]Result, 0, len(s.resultIDs))}
	for _, id := range s.resultIDs {
		out.Results = append(out.Results, s.results[id])
	}
	return cbor.Marshal(out)
}

// Restore returns the state of a snapshot, or a new state if data is empty.
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
