// Package spread distributes the accepted settings to every process. The revision of a
// process never decreases.
//
// Each process stores the newest revision that it has received, on disk if it has one. An
// update contains a delta to the previous revision, or the full text. A process that missed
// an update sees a higher revision in a heartbeat and pulls it. Store is the state of one
// process, without I/O.
package spread

import (
	"crypto/sha256"
	"time"

	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// Outcome is the result of applying an update.
type Outcome uint8

// The outcomes.
const (
	// Stale means that the revision is not higher than that of the store.
	Stale Outcome = iota
	// Applied means that the store has the new revision.
	Applied
	// NeedFullText means that the delta does not apply to the text of the store.
	NeedFullText
	// Invalid means that the update is empty, or its text does not parse or has another hash.
	Invalid
)

// Store holds the settings of one process.
type Store struct {
	revision  uint64
	text      []byte
	sum       settings.Sum
	tree      *settings.Tree
	confirmed bool
	since     time.Time
	// lastDelta is the update from the previous revision, to be sent on to peers; nil if the
	// store had no text before.
	lastDelta *wire.Settings
}

// Load sets the settings that the process stored on its disk. They are not confirmed: the
// process must not act on them until other processes have confirmed them, since control may
// have accepted newer ones in the meantime.
func (s *Store) Load(revision uint64, text []byte) error {
	tree, err := settings.Parse("settings", text)
	if err != nil {
		return err
	}
	s.revision, s.text, s.tree, s.sum = revision, text, tree, sha256.Sum256(text)
	return nil
}

// Apply applies an update from control, a relay, an entry or an agent.
func (s *Store) Apply(now time.Time, m *wire.Settings) Outcome {
	if m.Revision < s.revision || m.Revision == s.revision && s.tree != nil {
		s.confirm(m)
		return Stale
	}
	text := m.Whole
	if text == nil {
		if m.Delta == nil {
			return Invalid
		}
		var err error
		if text, err = m.Delta.Apply(s.text); err != nil {
			return NeedFullText
		}
	}
	if sha256.Sum256(text) != m.Sum {
		return Invalid
	}
	tree, err := settings.Parse("settings", text)
	if err != nil {
		return Invalid
	}
	s.set(now, m, text, tree)
	return Applied
}

func (s *Store) set(now time.Time, m *wire.Settings, text []byte, tree *settings.Tree) {
	previous := s.text
	s.revision, s.text, s.tree, s.sum = m.Revision, text, tree, m.Sum
	s.confirmed = m.Confirmed
	s.since = now
	s.lastDelta = nil
	if previous != nil {
		delta := settings.NewDelta(previous, text)
		s.lastDelta = &wire.Settings{Revision: m.Revision, Sum: m.Sum, Delta: &delta}
	}
}

// confirm marks the revision as confirmed by control, if the update is about the same text.
func (s *Store) confirm(m *wire.Settings) {
	if m.Revision == s.revision && m.Sum == s.sum {
		s.confirmed = s.confirmed || m.Confirmed
	}
}

// Tree returns the settings of the store, or nil.
func (s *Store) Tree() *settings.Tree { return s.tree }

// Revision returns the revision of the settings, or zero if there are none.
func (s *Store) Revision() uint64 { return s.revision }

// Confirmed reports whether control has confirmed the revision since the process started.
func (s *Store) Confirmed() bool { return s.confirmed && s.tree != nil }

// Since returns when the revision was applied here.
func (s *Store) Since() time.Time { return s.since }

// Text returns the text of the settings.
func (s *Store) Text() []byte { return s.text }

// UpdateFor returns the update for a peer that has the given revision: one without text if it
// is the same, which reports only whether the revision is confirmed, a delta if the peer is one
// revision behind, otherwise the full text. It returns nil if the peer has a higher revision or
// the store has no settings.
func (s *Store) UpdateFor(have uint64) *wire.Settings {
	if s.tree == nil || have > s.revision {
		return nil
	}
	if have == s.revision {
		return &wire.Settings{Revision: s.revision, Sum: s.sum, Confirmed: s.confirmed}
	}
	if s.lastDelta != nil && have == s.revision-1 {
		m := *s.lastDelta
		m.Confirmed = s.confirmed
		return &m
	}
	return &wire.Settings{Revision: s.revision, Sum: s.sum, Whole: s.text, Confirmed: s.confirmed}
}
