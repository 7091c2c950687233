// Package spread brings the accepted settings to every process and never back.
//
// Each process keeps the newest revision that it has seen, on disk where it
// has one. A push carries a delta to the revision before, or the whole text. A
// process that missed a push sees a higher revision in a heartbeat and pulls.
// Store is the plain state of one process.
package spread

import (
	"crypto/sha256"
	"time"

	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// Outcome is what became of a message with settings.
type Outcome uint8

// The outcomes.
const (
	// Old means that the revision is not higher than the one held.
	Stale Outcome = iota
	// Taken means that the revision is in force now.
	Applied
	// NeedWhole means that the delta does not fit, so the whole text is needed.
	NeedFullText
	// Bad means that the text does not parse or has another hash.
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
	// last is the newest delta, kept to be passed on.
	lastDelta *wire.Settings
}

// Load enters settings that the process kept on its disk. They are not
// confirmed: the process must not act on them until it has heard from others.
func (s *Store) Load(revision uint64, text []byte) error {
	tree, err := settings.Parse("settings", text)
	if err != nil {
		return err
	}
	s.revision, s.text, s.tree, s.sum = revision, text, tree, sha256.Sum256(text)
	return nil
}

// Apply takes settings from control, a relay or an entry.
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

// confirm notes that control vouched for the revision that is held.
func (s *Store) confirm(m *wire.Settings) {
	if m.Revision == s.revision && m.Sum == s.sum {
		s.confirmed = s.confirmed || m.Confirmed
	}
}

// Tree returns the settings in force, or nil.
func (s *Store) Tree() *settings.Tree { return s.tree }

// Revision returns the revision held; zero if none.
func (s *Store) Revision() uint64 { return s.revision }

// Confirmed tells whether control has vouched for the revision since the
// process started.
func (s *Store) Confirmed() bool { return s.confirmed && s.tree != nil }

// Since tells when the revision came into force here.
func (s *Store) Since() time.Time { return s.since }

// Text returns the text of the settings.
func (s *Store) Text() []byte { return s.text }

// Push returns the message for a peer that holds revision have: nothing if it
// has the newest, a delta if it is one behind, else the whole text.
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
