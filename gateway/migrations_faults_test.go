package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/standin"
)

// TestEventTextIsNotParsedAsFields checks that the ID of an event is that of its id field, whatever
// its text contains: the gateway does not interpret callers' texts.
func TestEventTextIsNotParsedAsFields(t *testing.T) {
	for _, c := range []migrationCase{
		{name: "id: in the text", event: eventFormat("id: %[1]d\ndata: %[1]d id: 1\n\n")},
		{name: "id: ends the text", event: eventFormat("id: %[1]d\ndata: %[1]d id:\n\n")},
		{name: "a word that ends so", event: eventFormat("id: %[1]d\ndata: paid:%[1]d0\n\n")},
		{name: "a comment", event: eventFormat("id: %[1]d\ndata: %[1]d\n: id: 7\n\n")},
		{name: "a field with another name", event: eventFormat("id: %[1]d\ngrid: 12\ndata: %[1]d\n\n")},
		{name: "several lines of text", event: eventFormat("id: %[1]d\ndata: %[1]d\ndata:\ndata: id: 40\n\n")},
	} {
		c.drawFault = faultOneIn(standin.CutStream, 2)
		runScenarios(t, &c)
	}
}

// TestUnframedStreamsAreNotTakenForComplete checks that a stream without length or chunks whose run
// was stopped, or that ends within an event, is not taken for complete because its connection was
// closed properly.
func TestUnframedStreamsAreNotTakenForComplete(t *testing.T) {
	closes := func(_ *lockedRand, m *standin.Behaviour) { m.Unframed, m.Reset = true, false }
	for _, c := range []migrationCase{
		{name: "stopped", adjustManner: closes},
		{name: "ended within an event", adjustManner: closes, drawFault: faultOneIn(standin.CutStream, 2)},
	} {
		runScenarios(t, &c)
	}
}

// TestEnginesResumingAtWrongEvent checks that a caller gets no event twice, and that no events are
// missing, if engines continue from a copy by a wrong count of their own. A gateway can't restore
// what they lose, but its answer must not look complete.
func TestEnginesResumingAtWrongEvent(t *testing.T) {
	for _, c := range []migrationCase{
		{name: "after what was made", adjustManner: func(_ *lockedRand, m *standin.Behaviour) { m.ContinueFrom = standin.AfterGenerated }},
		{name: "at the last that was made", adjustManner: func(_ *lockedRand, m *standin.Behaviour) { m.ContinueFrom = standin.AtGenerated }},
		{name: "after what was made, two runs", drawFault: faultOneIn(standin.CutStream, 2), adjustManner: func(lr *lockedRand, m *standin.Behaviour) {
			lingeringRuns(lr, m)
			m.ContinueFrom, m.OldestFirst = standin.AfterGenerated, true
		}},
		{name: "at the last that was made, two runs", drawFault: randomFault, adjustManner: func(lr *lockedRand, m *standin.Behaviour) {
			lingeringRuns(lr, m)
			m.ContinueFrom = standin.AtGenerated
		}},
	} {
		runScenarios(t, &c)
	}
}

// TestDuplicateCopyAnswers checks that no run continues with the handle in the answer to another
// call: an answer may come a second time, late, where the next one is due.
func TestDuplicateCopyAnswers(t *testing.T) {
	duplicates := func(lr *lockedRand, m *standin.Behaviour) {
		m.DuplicateAnswer = func(string, bool) bool { return lr.oneIn(2) }
		m.CloseAfterAnswer = func(string, bool) bool { return lr.oneIn(2) }
	}
	for _, c := range []migrationCase{
		{name: "one caller", adjustManner: duplicates},
		{name: "several callers", adjustManner: duplicates, callers: 12},
		{name: "several callers, the target refuses", adjustManner: duplicates, callers: 4, drawFault: randomFault},
	} {
		runScenarios(t, &c)
	}
}

// TestStopAnswerOfAnotherRunIsNotUsed checks that a run does not continue with the KV cache of
// another request if the answer to the stop of that request comes a second time, where the answer
// to its own is due: calls for copies carry no ID, so only their connection distinguishes them.
func TestStopAnswerOfAnotherRunIsNotUsed(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	from := h.add("llm", "d1", "decode")
	from.SetPace(0, 5*time.Millisecond, longEventCount)
	// Both copies are requested before either call is answered. begun is closed once the copy of
	// the run mine was requested, stopped once the other run was stopped and the answer to that was
	// read.
	begun, stopped := make(chan struct{}), make(chan struct{})
	markBegun, markStopped := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(stopped) })
	wait := func(c chan struct{}) {
		select {
		case <-c:
		case <-t.Context().Done():
		}
	}
	from.SetBehaviour(standin.Behaviour{
		Event: eventFormat("id: %[1]d\ndata: event %[1]d of %[2]s\n\n"),
		CopyOutcome: func(id string, stop bool) standin.CopyOutcome {
			switch {
			case stop:
			case id == "mine":
				markBegun()
				wait(stopped)
			default:
				wait(begun)
			}
			return standin.CopyAnswered
		},
		CloseAfterAnswer: func(_ string, stop bool) bool { return !stop },
		DuplicateAnswer:  func(id string, stop bool) bool { return id == "other" && stop },
	})
	done := make(chan reply, 2)
	for _, id := range []string{"mine", "other"} {
		go func() { done <- h.sendWith(t.Context(), "POST", "/review/1", id, id, longWorkHeaders) }()
	}
	m := &migratingRun{harness: h, source: from}
	m.waitFor("two runs", func() bool { return from.Running() == 2 })
	to := h.add("llm", "d2", "decode")
	to.SetPace(0, 5*time.Millisecond, longEventCount)
	to.SetBehaviour(standin.Behaviour{Event: eventFormat("id: %[1]d\ndata: event %[1]d of %[2]s\n\n")})
	mineArrived := make(chan struct{})
	markMine := sync.OnceFunc(func() { close(mineArrived) })
	to.SetFault(func(r *http.Request) standin.Fault {
		if standin.BodyOf(r) == "mine" {
			markMine()
			return standin.NoFault
		}
		markStopped()
		wait(mineArrived)
		return standin.Refuse // so that the copy remains for whichever request names it
	})
	m.fillEngine()
	<-done
	<-done
	for _, b := range h.servers {
		for _, a := range b.Arrivals() {
			assert.Assert(t, !a.Mixed, "%s at %s continued from %s", a.ID, b.ID, a.Header.Get(protocol.Headers.KVSource))
		}
	}
}

// TestLineEndings checks that an event is relayed once it has arrived, whichever line ending its
// stream uses: lines of fields end in LF, CR or both.
func TestLineEndings(t *testing.T) {
	for _, tt := range []struct{ name, event string }{
		{"LF", "id: %[1]d\ndata: event %[1]d\n\n"},
		{"CRLF", "id: %[1]d\r\ndata: event %[1]d\r\n\r\n"},
		{"CR", "id: %[1]d\rdata: event %[1]d\r\r"},
		{"mixed", "id: %[1]d\r\ndata: event %[1]d\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.add("llm", "p1", "prefill")
			d := h.add("llm", "d1", "decode")
			d.SetPace(0, time.Hour, 2) // the second event never comes
			d.SetBehaviour(standin.Behaviour{Event: eventFormat(tt.event)})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			got := h.sendWith(ctx, "POST", "/desk/1", "q1", "x", workHeaders)
			// A CR that ends an event may be the first half of a line ending, so it may be
			// withheld.
			want := strings.TrimRight(eventFormat(tt.event)("x", 1), "\r\n")
			assert.Assert(t, strings.HasPrefix(got.body, want), "%q", got.body)
		})
		runScenarios(t, &migrationCase{name: tt.name + ", moving", event: eventFormat(tt.event), drawFault: faultOneIn(standin.CutStream, 2)})
	}
}

// TestEventIDEndsAtCR checks that the last event ID of the next request is the ID alone if a CR
// ends its line. Anything after it would become part of a header field of that request.
func TestEventIDEndsAtCR(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	for _, id := range []string{"d1", "d2"} {
		d := h.add("llm", id, "decode")
		d.SetBehaviour(standin.Behaviour{Event: eventFormat("id: %[1]d\rdata: event %[1]d\n\n")})
	}
	fault := faultOnce(standin.CutStream, isDecode)
	for _, b := range h.servers {
		b.SetFault(fault)
	}
	got := h.send("POST", "/desk/1", "q1", "x", workHeaders)
	want := ""
	for n := 1; n <= eventCount; n++ {
		want += fmt.Sprintf("id: %[1]d\rdata: event %[1]d\n\n", n)
	}
	assert.Assert(t, !got.truncated && got.body == want, "%q", got.body)
}

// TestTextEndingInFieldNameDoesNotRestartAnswer checks that an interruption after an event whose
// text ends like the name of a field without a value does not restart the answer from the
// beginning.
func TestTextEndingInFieldNameDoesNotRestartAnswer(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	format := "id: %[1]d\ndata: %[1]d grid:\n\n"
	for _, id := range []string{"d1", "d2"} {
		h.add("llm", id, "decode").SetBehaviour(standin.Behaviour{Event: eventFormat(format)})
	}
	fault := faultOnce(standin.CutStream, isDecode)
	for _, b := range h.servers {
		b.SetFault(fault)
	}
	got := h.send("POST", "/desk/1", "q1", "x", workHeaders)
	want := ""
	for n := 1; n <= eventCount; n++ {
		want += eventFormat(format)("x", n)
	}
	assert.Assert(t, !got.truncated && got.body == want, "%q", got.body)
}
