package eventstream

import "bytes"

// Sequence decides on the events of one caller's answer, over all engines and
// tries that serve it. The zero value knows nothing. Not to be copied after its
// first use, nor for use by several goroutines at once.
//
// Events with numbers: the first may have any number if nothing is known, so that
// what is missing before it can't be seen; each further one has to have the next
// number.
//
// Events without one (no ID, an empty one, or one that is no whole number up to
// MaxNumber) are part of the stream and pass, also amid numbered ones, where they
// belong after the number before: after a number that the caller has already got
// they are Repeated, after one that was Missing they are Missing. Where it can't be
// told (the last number came again, and such events had been passed after it)
// they are Missing too: an event twice and one too few are both worse than a cut.
// A run that begins with them is believed: nothing can be compared until its first
// number.
//
// Blocks without data pass. One whose ID is a number moves the caller's last ID,
// though, so that it is judged too: it may repeat the last number or be the next
// one, which may then come again with data. It never changes Last. A byte order mark
// passes only before all else of an answer.
type Sequence struct {
	// last is the ID of the last event that the caller has; its bytes are kept for
	// the next one. known tells that an event had a number, number is the last
	// one, and quiet the last one after it that came without data.
	last                 []byte
	known                bool
	number, noDataNumber uint64
	// extra tells that events without a number were passed after number, and
	// lastWithoutID that the last event passed had no ID.
	unnumberedSince, lastWithoutID bool
	// started tells that the answer has a block, atRunStart that the run has passed no event
	// yet.
	started, atRunStart bool
	position            position
}

// position is where in the stream the run is that serves now.
type position uint8

const (
	// inOrder: what comes inOrder what the caller has.
	inOrder position = iota
	// duplicate: the last number that came was one that the caller has.
	duplicate
	// gap: numbers before the one that came last are missing.
	gap
	// ambiguous: the last number came again, and whether what inOrder it without a
	// number is what the caller has can't be told.
	ambiguous
)

// Resume sets the ID of the last event that the caller says it has, as of
// `Last-Event-ID`; an empty one means that it has none. All else is forgotten: a
// new answer begins.
func (s *Sequence) Resume(last string) {
	*s = Sequence{last: append(s.last[:0], last...), atRunStart: true}
	s.number, s.known = number(last)
	s.noDataNumber = s.number
}

// SwitchRun tells that another run serves from here, asked for what inOrder Last.
func (s *Sequence) SwitchRun() {
	s.noDataNumber, s.position, s.atRunStart = s.number, inOrder, true
}

// Last returns the ID to ask the next engine with, as it came; empty if the caller
// has none.
func (s *Sequence) Last() string {
	return string(s.last)
}

// Resumable tells whether the stream can go on after Last at another run without
// an event coming twice: not if the last event passed had no ID, since it would
// come again.
func (s *Sequence) Resumable() bool {
	return !s.lastWithoutID
}

// Check judges the next block of the run that serves. A block that passes counts as
// passed on.
func (s *Sequence) Check(b Block) Verdict {
	v := Verdict{Received: b.ID}
	if s.known {
		v.Expected = s.noDataNumber + 1
	}
	n, numbered := number(b.ID)
	switch {
	case b.Kind == BOM && s.started:
		v.Decision = Repeated
	case b.Kind == Event && numbered:
		v.Decision = s.event(n, b.ID)
	case b.Kind == Event:
		v.Decision = s.unnumbered(b.ID)
	case numbered:
		v.Decision = s.noData(n)
	default:
		v.Decision = Pass
	}
	s.started = s.started || v.Passes()
	return v
}

// event judges an event with a number.
func (s *Sequence) event(n uint64, id []byte) Decision {
	if d := s.locate(n); d != Pass {
		return d
	}
	if s.known && n <= s.number {
		return Repeated
	}
	*s = Sequence{last: append(s.last[:0], id...), known: true, number: n, noDataNumber: n}
	return Pass
}

// noData judges a block that has a number and no data.
func (s *Sequence) noData(n uint64) Decision {
	d := s.locate(n)
	if d == Pass && s.known {
		s.noDataNumber = max(s.noDataNumber, n)
	}
	return d
}

// locate notes at which position a run is that sends a number. It may not go back
// duplicate the last one, nor beyond the one due.
func (s *Sequence) locate(n uint64) Decision {
	s.position = inOrder
	switch {
	case !s.known:
	case n < s.number:
		s.position = duplicate
		return Repeated
	case n > s.noDataNumber+1:
		s.position = gap
		return Missing
	case n == s.number && s.unnumberedSince:
		s.position = ambiguous
	}
	return Pass
}

// unnumbered judges an event without a number.
func (s *Sequence) unnumbered(id []byte) Decision {
	switch s.position {
	case duplicate:
		return Repeated
	case gap, ambiguous:
		return Missing
	}
	if s.atRunStart && len(id) > 0 && bytes.Equal(id, s.last) {
		return Repeated
	}
	s.unnumberedSince, s.lastWithoutID, s.atRunStart = true, len(id) == 0, false
	if len(id) > 0 {
		s.last = append(s.last[:0], id...)
	}
	return Unnumbered
}
