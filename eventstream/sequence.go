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
	last          []byte
	known         bool
	number, quiet uint64
	// extra tells that events without a number were passed after number, and
	// nameless that the last event passed had no ID.
	extra, nameless bool
	// begun tells that the answer has a block, joined that the run has passed no event
	// yet.
	begun, joined bool
	place         place
}

// place is where in the stream the run is that serves now.
type place uint8

const (
	// follows: what comes follows what the caller has.
	follows place = iota
	// behind: the last number that came was one that the caller has.
	behind
	// ahead: numbers before the one that came last are missing.
	ahead
	// unsure: the last number came again, and whether what follows it without a
	// number is what the caller has can't be told.
	unsure
)

// Resume sets the ID of the last event that the caller says it has, as of
// `Last-Event-ID`; an empty one means that it has none. All else is forgotten: a
// new answer begins.
func (s *Sequence) Resume(last string) {
	*s = Sequence{last: append(s.last[:0], last...), joined: true}
	s.number, s.known = number(last)
	s.quiet = s.number
}

// SwitchRun tells that another run serves from here, asked for what follows Last.
func (s *Sequence) SwitchRun() {
	s.quiet, s.place, s.joined = s.number, follows, true
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
	return !s.nameless
}

// Check judges the next block of the run that serves. A block that passes counts as
// passed on.
func (s *Sequence) Check(b Block) Verdict {
	v := Verdict{Received: b.ID}
	if s.known {
		v.Expected = s.quiet + 1
	}
	n, numbered := number(b.ID)
	switch {
	case b.Kind == BOM && s.begun:
		v.Decision = Repeated
	case b.Kind == Event && numbered:
		v.Decision = s.event(n, b.ID)
	case b.Kind == Event:
		v.Decision = s.unnumbered(b.ID)
	case numbered:
		v.Decision = s.dataless(n)
	default:
		v.Decision = Pass
	}
	s.begun = s.begun || v.Passes()
	return v
}

// event judges an event with a number.
func (s *Sequence) event(n uint64, id []byte) Decision {
	if d := s.find(n); d != Pass {
		return d
	}
	if s.known && n <= s.number {
		return Repeated
	}
	*s = Sequence{last: append(s.last[:0], id...), known: true, number: n, quiet: n}
	return Pass
}

// dataless judges a block that has a number and no data.
func (s *Sequence) dataless(n uint64) Decision {
	d := s.find(n)
	if d == Pass && s.known {
		s.quiet = max(s.quiet, n)
	}
	return d
}

// find notes at which place a run is that sends a number. It may not go back
// behind the last one, nor beyond the one due.
func (s *Sequence) find(n uint64) Decision {
	s.place = follows
	switch {
	case !s.known:
	case n < s.number:
		s.place = behind
		return Repeated
	case n > s.quiet+1:
		s.place = ahead
		return Missing
	case n == s.number && s.extra:
		s.place = unsure
	}
	return Pass
}

// unnumbered judges an event without a number.
func (s *Sequence) unnumbered(id []byte) Decision {
	switch s.place {
	case behind:
		return Repeated
	case ahead, unsure:
		return Missing
	}
	if s.joined && len(id) > 0 && bytes.Equal(id, s.last) {
		return Repeated
	}
	s.extra, s.nameless, s.joined = true, len(id) == 0, false
	if len(id) > 0 {
		s.last = append(s.last[:0], id...)
	}
	return Unnumbered
}
