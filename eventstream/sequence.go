package eventstream

import "bytes"

// Sequence is the Sequencer of events with numbers as IDs. The zero value is ready for a
// new answer. It must not be copied after its first use, and is not safe for concurrent
// use.
//
// Numbered events: if nothing is known, the first may have any number, so that missing
// events before it can't be detected; each further one must have the next number.
//
// Unnumbered events (without ID, with an empty ID, or with one that is not a whole number
// up to MaxNumber) belong to the stream and pass, also between numbered ones, where they
// belong after the preceding number. After a number that the caller already has, they are
// Repeated; after one that was Missing, they are Missing. If that can't be decided (the
// last number came again, and unnumbered events had been passed after it), they are
// Missing too: a duplicate event and a lost event are both worse than the end of the
// stream. If a run begins with unnumbered events, they pass: nothing can be compared
// until its first number.
//
// Blocks without data pass. If the ID of one is a number, it changes the caller's last
// ID, so it is checked as well: it may repeat the last number or be the next one, which
// may then come again with data. It never changes Last. A byte order mark passes only
// before all other blocks of an answer.
type Sequence struct {
	// last is the ID of the last event that the caller has; its buffer is reused. known
	// reports that an event had a number. number is the last one, and noDataNumber the
	// last number after it that came without data.
	last                 []byte
	known                bool
	number, noDataNumber uint64
	// unnumberedSince reports that unnumbered events were passed after number,
	// lastWithoutID that the last event passed had no ID.
	unnumberedSince, lastWithoutID bool
	// started reports that a block of the answer was passed, atRunStart that the run has
	// passed no event yet.
	started, atRunStart bool
	position            position
}

// position is where the present run is in the stream.
type position uint8

const (
	// inOrder: the next block follows what the caller has.
	inOrder position = iota
	// duplicate: the caller already has the last number received.
	duplicate
	// gap: numbers before the last one received are missing.
	gap
	// ambiguous: the last number came again, and it can't be decided whether the caller
	// has the unnumbered events after it.
	ambiguous
)

// Resume sets the ID of the last event that the caller reports to have, as in
// `Last-Event-ID`; an empty ID means that it has none. It resets all other state, for a
// new answer.
func (s *Sequence) Resume(last string) {
	*s = Sequence{last: append(s.last[:0], last...), atRunStart: true}
	s.number, s.known = number(last)
	s.noDataNumber = s.number
}

// SwitchRun starts another run, which was asked for the events after Last.
func (s *Sequence) SwitchRun() {
	s.noDataNumber, s.position, s.atRunStart = s.number, inOrder, true
}

// Last returns the ID to send to the next engine, as received; empty if the caller has
// none.
func (s *Sequence) Last() string {
	return string(s.last)
}

// Resumable reports whether another run can continue the stream after Last without a
// duplicate event. It can't if the last event passed had no ID, since that event would
// come again.
func (s *Sequence) Resumable() bool {
	return !s.lastWithoutID
}

// Check returns the verdict on the next block of the present run. A block that passes is
// assumed to be forwarded.
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

// event checks an event with a number.
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

// noData checks a block that has a number and no data.
func (s *Sequence) noData(n uint64) Decision {
	d := s.locate(n)
	if d == Pass && s.known {
		s.noDataNumber = max(s.noDataNumber, n)
	}
	return d
}

// locate sets the position of the run after a number. The number may be neither below the
// last one nor above the expected one.
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

// unnumbered checks an event without a number.
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
