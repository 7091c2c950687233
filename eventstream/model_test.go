package eventstream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// streamEvent is an event of the reference stream; number is 0 if it has none.
type streamEvent struct {
	number int
	text   string
}

func (e streamEvent) block() Block {
	if e.number == 0 {
		return Block{Kind: Event, Raw: []byte(e.text)}
	}
	return Block{Kind: Event, Raw: []byte(e.text), HasID: true, ID: fmt.Append(nil, e.number)}
}

// generateStream returns a stream of numbered events with some unnumbered ones in
// between.
func generateStream(t *rapid.T) []streamEvent {
	var stream []streamEvent
	bare := rapid.IntRange(0, 3).Draw(t, "bare") // out of ten events
	for number := range rapid.IntRange(1, 15).Draw(t, "events") {
		stream = append(stream, streamEvent{number + 1, fmt.Sprint("event ", number+1)})
		for range 2 {
			if rapid.IntRange(0, 9).Draw(t, "has one after") < bare {
				stream = append(stream, streamEvent{0, fmt.Sprint("bare ", len(stream))})
			}
		}
	}
	return stream
}

// indexOf returns the index of the event with a number, or the length of the stream.
func indexOf(stream []streamEvent, number int) int {
	for i, m := range stream {
		if m.number >= number {
			return i
		}
	}
	return len(stream)
}

// serveRun simulates an engine that is asked for the events after Last. A faulty one may
// begin too early or too late, repeat, skip, begin again at 1, and stop anywhere. The
// first event of the answer is always a correct one, since a Sequence accepts any number
// there. serveRun returns the events that were passed, and whether the stream was
// complete.
func serveRun(t *rapid.T, s *Sequence, stream []streamEvent, have int, faulty bool) (passed []string, complete bool) {
	next, last := 0, 0
	if s.Last() != "" {
		_, err := fmt.Sscan(s.Last(), &last)
		assert.NilError(t, err)
		next = indexOf(stream, last) + 1
	}
	breaks := len(stream) * 3
	if faulty {
		breaks = rapid.IntRange(0, len(stream)).Draw(t, "breaks after")
	}
	for i := range breaks {
		if jump := faulty && s.Last() != "" && rapid.IntRange(0, 4).Draw(t, "jumps") == 0; jump {
			number := rapid.IntRange(1, len(stream)).Draw(t, "to number")
			if to := indexOf(stream, number); to < len(stream) && jumpDetectable(stream, have+len(passed), to) {
				next = to
			}
		}
		if next == len(stream) {
			return passed, true
		}
		verdict := s.Check(stream[next].block())
		assert.Assert(t, faulty || verdict.Passes(), "%v at %d of a good run", verdict, i)
		if verdict.Decision == Missing {
			return passed, false
		}
		if verdict.Passes() {
			passed = append(passed, stream[next].text)
		}
		next++
	}
	return passed, false
}

// jumpDetectable reports whether a Sequence can detect a jump: back to a number that the
// caller has, to the expected event, or over a number that the caller does not have. A
// jump over unnumbered events only can't be detected.
func jumpDetectable(stream []streamEvent, have, to int) bool {
	if to <= have {
		return true
	}
	for _, m := range stream[have:to] {
		if m.number > 0 {
			return true
		}
	}
	return false
}

// TestPassedEventsArePrefixOfStream serves one caller by faulty runs, both within one
// answer and across answers that the caller resumes itself. The passed events must always
// be a prefix of the reference stream, each event once, and a run without faults must
// then complete it.
func TestPassedEventsArePrefixOfStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := generateStream(t)
		s := &Sequence{}
		var got []string
		for range rapid.IntRange(0, 8).Draw(t, "runs") {
			passed, _ := serveRun(t, s, stream, len(got), true)
			got = append(got, passed...)
			checkPrefix(t, stream, got)
			if !s.Resumable() {
				return
			}
			if rapid.Bool().Draw(t, "the caller comes back") {
				last := s.Last()
				s = &Sequence{}
				s.Resume(last)
			} else {
				s.SwitchRun()
			}
		}
		passed, complete := serveRun(t, s, stream, len(got), false)
		got = append(got, passed...)
		checkPrefix(t, stream, got)
		assert.Assert(t, complete && len(got) == len(stream), "%d of %d events", len(got), len(stream))
	})
}

func checkPrefix(t *rapid.T, stream []streamEvent, got []string) {
	t.Helper()
	for i, text := range got {
		assert.Assert(t, i < len(stream) && text == stream[i].text, "got %q of %v", got, stream)
	}
}

// FuzzSequence sends IDs in any order and checks that passed numbers are consecutive,
// apart from numbers that came without data.
func FuzzSequence(f *testing.F) {
	f.Add([]byte{1, 2, 3, 3, 5, 4})
	f.Add([]byte{1, 2, 0x40, 2, 0x80, 3, 0xC0, 5})
	f.Add([]byte{0x87, 7, 9, 8, 0x48, 0x49, 10, 9, 0x40, 9})
	f.Fuzz(func(t *testing.T, ops []byte) {
		var s Sequence
		last, bare := -1, map[int]bool{}
		for _, op := range ops {
			n := int(op & 0x3F)
			id := fmt.Append(nil, n)
			switch op >> 6 {
			case 0:
				v := s.Check(Block{Kind: Event, HasID: true, ID: id})
				if v.Passes() {
					checkConsecutive(t, last, n, bare)
					last = n
					assert.Equal(t, s.Last(), string(id))
				} else {
					assert.Assert(t, last >= 0 && (v.Decision == Repeated) == (n <= last), "%v after %d", v, last)
				}
			case 1:
				if v := s.Check(Block{Kind: NoData, HasID: true, ID: id}); v.Passes() {
					bare[n] = true
				}
			case 2:
				s.Resume(string(id))
				last, bare = n, map[int]bool{}
			case 3:
				s.Check(Block{Kind: Event})
				if n%2 == 0 {
					s.SwitchRun()
					clear(bare)
				}
			}
		}
	})
}

func checkConsecutive(t *testing.T, last, n int, bare map[int]bool) {
	t.Helper()
	if last < 0 {
		return
	}
	assert.Assert(t, n > last, "%d after %d", n, last)
	for missing := last + 1; missing < n; missing++ {
		assert.Assert(t, bare[missing], "%d after %d", n, last)
	}
}
