package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// step is a block and the expected verdict on it, or a call of SwitchRun or Resume if
// that field is set.
type step struct {
	kind      Kind
	id        string
	noID      bool
	want      Decision
	due       uint64
	switchRun bool
	resume    bool
}

func event(id string, want Decision, due uint64) step {
	return step{kind: Event, id: id, want: want, due: due}
}

func eventWithoutID(want Decision, due uint64) step {
	return step{kind: Event, noID: true, want: want, due: due}
}

func noData(id string, want Decision, due uint64) step {
	return step{kind: NoData, id: id, want: want, due: due}
}

func bomBlock(want Decision, due uint64) step {
	return step{kind: BOM, noID: true, want: want, due: due}
}

func resumeAt(id string) step { return step{resume: true, id: id} }

var (
	switchRun = step{switchRun: true}
	comment   = step{kind: NoData, noID: true, want: Pass}
)

// TestSequence checks the verdicts on the blocks of one caller's answer.
func TestSequence(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
		last  string
		// notResumable reports that another run can't continue the stream.
		notResumable bool
	}{
		{name: "nothing"},
		{name: "in order", steps: []step{event("1", Pass, 0), event("2", Pass, 2), event("3", Pass, 3)}, last: "3"},
		{name: "from 0", steps: []step{event("0", Pass, 0), event("0", Repeated, 1), event("1", Pass, 1)}, last: "1"},
		{name: "from any number", steps: []step{event("41", Pass, 0), event("42", Pass, 42), event("44", Missing, 43)}, last: "42"},
		{name: "twice", steps: []step{event("1", Pass, 0), event("2", Pass, 2), event("2", Repeated, 3), event("3", Pass, 3)}, last: "3"},
		{name: "one too early", steps: []step{event("1", Pass, 0), event("2", Pass, 2), switchRun, event("2", Repeated, 3), event("3", Pass, 3)}, last: "3"},
		{name: "one too late", steps: []step{event("1", Pass, 0), switchRun, event("3", Missing, 2), event("4", Missing, 2), switchRun, event("2", Pass, 2)}, last: "2"},
		{name: "begins again", steps: []step{event("1", Pass, 0), event("2", Pass, 2), switchRun, event("1", Repeated, 3), event("2", Repeated, 3), event("3", Pass, 3)}, last: "3"},
		{name: "resumed", steps: []step{resumeAt("7"), event("7", Repeated, 8), event("9", Missing, 8), event("8", Pass, 8)}, last: "8"},
		{name: "resumed and begun again", steps: []step{resumeAt("7"), event("1", Repeated, 8)}, last: "7"},
		{name: "resumed without an ID", steps: []step{resumeAt(""), event("5", Pass, 0)}, last: "5"},
		{name: "resumed after a text", steps: []step{resumeAt("abc"), event("5", Pass, 0), event("5", Repeated, 6)}, last: "5"},
		{name: "resumed without events", steps: []step{resumeAt("abc")}, last: "abc"},
		{name: "resumed at an earlier event", steps: []step{event("1", Pass, 0), eventWithoutID(Unnumbered, 2), resumeAt("0"), event("1", Pass, 1)}, last: "1"},
		{name: "IDs with leading zeros stay as received", steps: []step{event("007", Pass, 0), event("7", Repeated, 8), event("08", Pass, 8)}, last: "08"},
		{name: "up to the highest number", steps: []step{resumeAt("9223372036854775806"), event("9223372036854775807", Pass, MaxNumber),
			event("9223372036854775808", Unnumbered, MaxNumber+1), event("9223372036854775807", Repeated, MaxNumber+1)}, last: "9223372036854775808"},
		{name: "texts", steps: []step{event("a", Unnumbered, 0), event("a", Unnumbered, 0), event("+1", Unnumbered, 0)}, last: "+1"},
		{name: "no IDs", steps: []step{eventWithoutID(Unnumbered, 0), eventWithoutID(Unnumbered, 0)}, notResumable: true},
		{name: "no ID, then numbers", steps: []step{eventWithoutID(Unnumbered, 0), event("1", Pass, 0), event("2", Pass, 2)}, last: "2"},
		{name: "an empty ID", steps: []step{event("1", Pass, 0), event("", Unnumbered, 2)}, last: "1", notResumable: true},
		{name: "a text after no ID", steps: []step{eventWithoutID(Unnumbered, 0), event("a", Unnumbered, 0)}, last: "a"},
		{name: "no ID amid numbers", steps: []step{event("1", Pass, 0), eventWithoutID(Unnumbered, 2), event("2", Pass, 2), eventWithoutID(Unnumbered, 3)}, last: "2", notResumable: true},
		{name: "no ID after a duplicate", steps: []step{event("1", Pass, 0), event("2", Pass, 2), switchRun, event("1", Repeated, 3),
			eventWithoutID(Repeated, 3), event("x", Repeated, 3), event("2", Repeated, 3), eventWithoutID(Unnumbered, 3), event("3", Pass, 3)}, last: "3"},
		{name: "no ID after a gap", steps: []step{event("1", Pass, 0), event("3", Missing, 2), eventWithoutID(Missing, 2), event("2", Pass, 2), eventWithoutID(Unnumbered, 3)}, last: "2", notResumable: true},
		{name: "no ID at an ambiguous position", steps: []step{event("1", Pass, 0), event("x", Unnumbered, 2), switchRun, event("1", Repeated, 2), event("x", Missing, 2)}, last: "x"},
		{name: "a run that begins without ID", steps: []step{event("1", Pass, 0), event("3", Missing, 2), switchRun, eventWithoutID(Unnumbered, 2)}, last: "1", notResumable: true},
		{name: "comments", steps: []step{comment, resumeAt("4"), step{kind: NoData, noID: true, want: Pass, due: 5}, event("9", Missing, 5),
			step{kind: NoData, noID: true, want: Pass, due: 5}, step{kind: LineEnd, noID: true, want: Pass, due: 5}, event("5", Pass, 5)}, last: "5"},
		{name: "marks", steps: []step{bomBlock(Pass, 0), bomBlock(Repeated, 0), event("1", Pass, 0), switchRun, bomBlock(Repeated, 2), event("2", Pass, 2), resumeAt("2"), bomBlock(Pass, 3)}, last: "2"},
		{name: "a mark after a refused event", steps: []step{resumeAt("2"), event("2", Repeated, 3), bomBlock(Pass, 3), event("3", Pass, 3), bomBlock(Repeated, 4)}, last: "3"},
		{name: "data-less, then data", steps: []step{event("1", Pass, 0), noData("2", Pass, 2), event("2", Pass, 3), event("3", Pass, 3)}, last: "3"},
		{name: "data-less instead of data", steps: []step{event("1", Pass, 0), noData("2", Pass, 2), event("3", Pass, 3), event("2", Repeated, 4)}, last: "3"},
		{name: "data-less, the same", steps: []step{event("1", Pass, 0), noData("1", Pass, 2), event("2", Pass, 2)}, last: "2"},
		{name: "data-less, first", steps: []step{noData("0", Pass, 0), event("1", Pass, 0)}, last: "1"},
		{name: "data-less and a text", steps: []step{event("1", Pass, 0), noData("x", Pass, 2), noData("", Pass, 2)}, last: "1"},
		{name: "data-less, back", steps: []step{event("1", Pass, 0), event("2", Pass, 2), noData("1", Repeated, 3), eventWithoutID(Repeated, 3)}, last: "2"},
		{name: "data-less, after a gap", steps: []step{event("1", Pass, 0), noData("3", Missing, 2), eventWithoutID(Missing, 2)}, last: "1"},
		{name: "data-less at another run", steps: []step{event("1", Pass, 0), noData("2", Pass, 2), switchRun, event("3", Missing, 2), event("2", Pass, 2)}, last: "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Sequence
			for i, step := range c.steps {
				switch {
				case step.switchRun:
					s.SwitchRun()
				case step.resume:
					s.Resume(step.id)
				default:
					got := s.Check(Block{Kind: step.kind, HasID: !step.noID, ID: []byte(step.id)})
					assert.DeepEqual(t, got, Verdict{Decision: step.want, Expected: step.due, Received: []byte(step.id)})
					assert.Equal(t, got.Passes(), step.want == Pass || step.want == Unnumbered, "step %d", i)
				}
			}
			assert.Equal(t, s.Last(), c.last)
			assert.Equal(t, s.Resumable(), !c.notResumable)
		})
	}
}

// TestLastDoesNotAliasBlock changes the bytes that a block came in.
func TestLastDoesNotAliasBlock(t *testing.T) {
	var s Sequence
	id := []byte("12")
	s.Check(Block{Kind: Event, HasID: true, ID: id})
	last := s.Last()
	copy(id, "99")
	assert.Equal(t, s.Last(), "12")
	s.Check(Block{Kind: Event, HasID: true, ID: []byte("13")})
	assert.Equal(t, last, "12")
}

// TestStringMethods checks the texts for logs.
func TestStringMethods(t *testing.T) {
	assert.Equal(t, Verdict{Decision: Repeated, Expected: 4, Received: []byte("2")}.String(), `repeated: expected 4, received "2"`)
	assert.Equal(t, Verdict{Decision: Unnumbered}.String(), `unnumbered: any number expected, received ""`)
	assert.Equal(t, Missing.String()+Pass.String()+Decision(0).String()+Decision(9).String(), "missingpassunknownunknown")
	assert.Equal(t, None.String()+BOM.String()+LineEnd.String()+Kind(9).String(), "nonemarkline endunknown")
}
