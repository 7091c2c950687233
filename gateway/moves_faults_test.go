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

// TestTextsThatLookLikeFields wants the ID of an event to be that of its field, whatever
// stands in its text: callers' texts are not the gateway's to read.
func TestTextsThatLookLikeFields(t *testing.T) {
	for _, c := range []moveCase{
		{name: "id: in the text", event: textEvent("id: %[1]d\ndata: %[1]d id: 1\n\n")},
		{name: "id: ends the text", event: textEvent("id: %[1]d\ndata: %[1]d id:\n\n")},
		{name: "a word that ends so", event: textEvent("id: %[1]d\ndata: paid:%[1]d0\n\n")},
		{name: "a comment", event: textEvent("id: %[1]d\ndata: %[1]d\n: id: 7\n\n")},
		{name: "a field with another name", event: textEvent("id: %[1]d\ngrid: 12\ndata: %[1]d\n\n")},
		{name: "several lines of text", event: textEvent("id: %[1]d\ndata: %[1]d\ndata:\ndata: id: 40\n\n")},
	} {
		c.fault = drawFault(standin.CutStream, 2)
		playAll(t, &c)
	}
}

// TestUnframedEnds wants a stream without length or chunks whose run was stopped, or that
// ends within an event, not to pass for whole because its connection was closed in order.
func TestUnframedEnds(t *testing.T) {
	closing := func(_ *dice, m *standin.Manner) { m.Unframed, m.Reset = true, false }
	for _, c := range []moveCase{
		{name: "stopped", manner: closing},
		{name: "ended within an event", manner: closing, fault: drawFault(standin.CutStream, 2)},
	} {
		playAll(t, &c)
	}
}

// TestEnginesThatGoOnWrong wants a caller never to get an event twice or a hole from
// engines that go on with a copy by their own count. What they lose can't be made good by
// a gateway, but its answer must not look whole.
func TestEnginesThatGoOnWrong(t *testing.T) {
	for _, c := range []moveCase{
		{name: "after what was made", manner: func(_ *dice, m *standin.Manner) { m.GoesOn = standin.AfterMade }},
		{name: "at the last that was made", manner: func(_ *dice, m *standin.Manner) { m.GoesOn = standin.AtMade }},
		{name: "after what was made, two runs", fault: drawFault(standin.CutStream, 2), manner: func(d *dice, m *standin.Manner) {
			linger(d, m)
			m.GoesOn, m.OldestFirst = standin.AfterMade, true
		}},
		{name: "at the last that was made, two runs", fault: anyFault, manner: func(d *dice, m *standin.Manner) {
			linger(d, m)
			m.GoesOn = standin.AtMade
		}},
	} {
		playAll(t, &c)
	}
}

// TestSurplusAnswers wants no run to go on with what the answer to another call named: an
// answer may come a second time, late, where the next one is due.
func TestSurplusAnswers(t *testing.T) {
	surplus := func(d *dice, m *standin.Manner) {
		m.Surplus = func(string, bool) bool { return d.oneIn(2) }
		m.Closing = func(string, bool) bool { return d.oneIn(2) }
	}
	for _, c := range []moveCase{
		{name: "one caller", manner: surplus},
		{name: "several callers", manner: surplus, callers: 12},
		{name: "several callers, the target refuses", manner: surplus, callers: 4, fault: anyFault},
	} {
		playAll(t, &c)
	}
}

// TestStopAnsweredByAnother wants a run not to go on with the memory of another request's
// when the answer to that one's stop comes a second time, where the answer to its own is
// due: calls for copies carry no ID, so nothing tells one from the other but their
// connection.
func TestStopAnsweredByAnother(t *testing.T) {
	r := newRig(t)
	r.add("llm", "p1", "prefill")
	from := r.add("llm", "d1", "decode")
	from.SetPace(0, 5*time.Millisecond, longEvents)
	// Both are asked for before either is answered; begun tells that mine was asked for,
	// stopped that the other run was stopped and the answer to that read.
	begun, stopped := make(chan struct{}), make(chan struct{})
	asked, released := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(stopped) })
	wait := func(c chan struct{}) {
		select {
		case <-c:
		case <-t.Context().Done():
		}
	}
	from.SetManner(standin.Manner{
		Event: textEvent("id: %[1]d\ndata: event %[1]d of %[2]s\n\n"),
		Copies: func(id string, stop bool) standin.CopyFate {
			switch {
			case stop:
			case id == "mine":
				asked()
				wait(stopped)
			default:
				wait(begun)
			}
			return standin.CopyAnswered
		},
		Closing: func(_ string, stop bool) bool { return !stop },
		Surplus: func(id string, stop bool) bool { return id == "other" && stop },
	})
	done := make(chan reply, 2)
	for _, id := range []string{"mine", "other"} {
		go func() { done <- r.sendWith(t.Context(), "POST", "/review/1", id, id, longWork) }()
	}
	m := &moving{rig: r, from: from}
	m.wait("two runs", func() bool { return from.Running() == 2 })
	to := r.add("llm", "d2", "decode")
	to.SetPace(0, 5*time.Millisecond, longEvents)
	to.SetManner(standin.Manner{Event: textEvent("id: %[1]d\ndata: event %[1]d of %[2]s\n\n")})
	mine := make(chan struct{})
	taken := sync.OnceFunc(func() { close(mine) })
	to.SetFault(func(r *http.Request) standin.Fault {
		if standin.BodyOf(r) == "mine" {
			taken()
			return standin.NoFault
		}
		released()
		wait(mine)
		return standin.Refuse // so that the copy is there for whoever names it
	})
	m.fill()
	<-done
	<-done
	for _, b := range r.servers {
		for _, a := range b.Arrivals() {
			assert.Assert(t, !a.Mixed, "%s at %s went on from %s", a.ID, b.ID, a.Header.Get(protocol.Headers.KVSource))
		}
	}
}

// TestLineEnds wants an event to be passed on when it has come, whichever line ends its
// stream has: field lines end in LF, CR or both.
func TestLineEnds(t *testing.T) {
	for _, tt := range []struct{ name, event string }{
		{"LF", "id: %[1]d\ndata: event %[1]d\n\n"},
		{"CRLF", "id: %[1]d\r\ndata: event %[1]d\r\n\r\n"},
		{"CR", "id: %[1]d\rdata: event %[1]d\r\r"},
		{"mixed", "id: %[1]d\r\ndata: event %[1]d\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t)
			r.add("llm", "p1", "prefill")
			d := r.add("llm", "d1", "decode")
			d.SetPace(0, time.Hour, 2) // the second event never comes
			d.SetManner(standin.Manner{Event: textEvent(tt.event)})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			got := r.sendWith(ctx, "POST", "/desk/1", "q1", "x", work)
			// A CR that ends an event may be the first half of an end, so it may be kept back.
			want := strings.TrimRight(textEvent(tt.event)("x", 1), "\r\n")
			assert.Assert(t, strings.HasPrefix(got.body, want), "%q", got.body)
		})
		playAll(t, &moveCase{name: tt.name + ", moving", event: textEvent(tt.event), fault: drawFault(standin.CutStream, 2)})
	}
}

// TestIDEndsWithItsLine wants what is asked for after a break to be the ID alone where a
// CR ends its line. What follows would be a part of a field of the request.
func TestIDEndsWithItsLine(t *testing.T) {
	r := newRig(t)
	r.add("llm", "p1", "prefill")
	for _, id := range []string{"d1", "d2"} {
		d := r.add("llm", id, "decode")
		d.SetManner(standin.Manner{Event: textEvent("id: %[1]d\rdata: event %[1]d\n\n")})
	}
	fault := first(standin.CutStream, isDecode)
	for _, b := range r.servers {
		b.SetFault(fault)
	}
	got := r.send("POST", "/desk/1", "q1", "x", work)
	want := ""
	for n := 1; n <= events; n++ {
		want += fmt.Sprintf("id: %[1]d\rdata: event %[1]d\n\n", n)
	}
	assert.Assert(t, !got.cut && got.body == want, "%q", got.body)
}

// TestTextThatEndsInAFieldsName wants a break after an event whose text ends like the name of
// a field with nothing behind it not to begin the answer anew.
func TestTextThatEndsInAFieldsName(t *testing.T) {
	r := newRig(t)
	r.add("llm", "p1", "prefill")
	format := "id: %[1]d\ndata: %[1]d grid:\n\n"
	for _, id := range []string{"d1", "d2"} {
		r.add("llm", id, "decode").SetManner(standin.Manner{Event: textEvent(format)})
	}
	fault := first(standin.CutStream, isDecode)
	for _, b := range r.servers {
		b.SetFault(fault)
	}
	got := r.send("POST", "/desk/1", "q1", "x", work)
	want := ""
	for n := 1; n <= events; n++ {
		want += textEvent(format)("x", n)
	}
	assert.Assert(t, !got.cut && got.body == want, "%q", got.body)
}
