package gateway

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// lastEvent is the last event of the answers of scripted engines.
const lastEvent = 8

// answerFunc answers the request to a service that had a number of them before.
type answerFunc func(n int, w http.ResponseWriter, r *http.Request)

// goOn has an answer begin in one way, and go on after the last ID of each later request.
func goOn(begin func(w http.ResponseWriter, r *http.Request)) answerFunc {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			begin(w, r)
			return
		}
		streamHead(w, r)
		sendPart(w, someEvents(afterOf(r)+1, lastEvent))
	}
}

// breakAfter returns the beginning of an answer that breaks off after a text.
func breakAfter(text string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		streamHead(w, r)
		sendPart(w, text)
		breakOff()
	}
}

// checkOrder wants each event once and in order, or an answer that is visibly cut.
func checkOrder(t *testing.T, answer answerFunc) reply {
	t.Helper()
	s := script(t, answer)
	got := s.send("POST", "/desk/1", "q1", "x", work)
	assert.Equal(t, got.status, 200, got.body)
	assert.Check(t, inOrder(got, 0, lastEvent) == "", "%s; the engines were asked for what is after %q", inOrder(got, 0, lastEvent), s.came())
	return got
}

// TestGoesOnInOrder wants an answer whole, with each event once and in order, wherever its
// first engine breaks off.
func TestGoesOnInOrder(t *testing.T) {
	tests := []struct {
		name   string
		answer answerFunc
	}{
		{"after an event", goOn(breakAfter(someEvents(1, 3)))},
		{"within an event", goOn(breakAfter(someEvents(1, 3) + "id: 4\nda"))},
		{"between the ends of the lines of an event", goOn(breakAfter(strings.TrimSuffix(someEvents(1, 4), "\n")))},
		{"before any whole event", goOn(breakAfter("id: 1\nda"))},
		{"before any byte of an event", goOn(breakAfter(""))},
		{"a reset connection without a length", goOn(func(w http.ResponseWriter, r *http.Request) {
			toTheEnd(w, r, "1.1", someEvents(1, 3), true)
		})},
		{"a whole answer to the end of the connection", goOn(func(w http.ResponseWriter, r *http.Request) {
			toTheEnd(w, r, "1.1", someEvents(1, lastEvent), false)
		})},
		{"a whole answer of HTTP/1.0", goOn(func(w http.ResponseWriter, r *http.Request) {
			toTheEnd(w, r, "1.0", someEvents(1, lastEvent), false)
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := checkOrder(t, tt.answer)
			assert.Check(t, !got.cut, "cut after %q", got.body)
		})
	}
}

// TestGoesOnAtAnotherEvent wants the caller to get each event once and in order, or an answer
// that is visibly cut, if the engine that an answer goes on at begins with another event than
// the next.
func TestGoesOnAtAnotherEvent(t *testing.T) {
	for _, tt := range []struct {
		name string
		from func(after int) int
	}{
		{"one too early", func(after int) int { return after }},
		{"one too late", func(after int) int { return after + 2 }},
		{"the first", func(int) int { return 1 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checkOrder(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					breakAfter(someEvents(1, 3))(w, r)
				}
				streamHead(w, r)
				sendPart(w, someEvents(tt.from(afterOf(r)), lastEvent))
			})
		})
	}
}

// TestEndsWithinAnEvent wants an answer not to look whole that has no length and ends, as its
// connection is closed, within an event.
func TestEndsWithinAnEvent(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		t.Run(version, func(t *testing.T) {
			checkOrder(t, goOn(func(w http.ResponseWriter, r *http.Request) {
				toTheEnd(w, r, version, someEvents(1, 3)+"id: 4\nda", false)
			}))
		})
	}
}

// TestLastEventWithoutBlankLine wants an answer unchanged whose last event lacks the blank
// line behind it.
func TestLastEventWithoutBlankLine(t *testing.T) {
	text := strings.TrimSuffix(someEvents(1, 3), "\n")
	s := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		streamHead(w, r)
		sendPart(w, text)
	})
	got := s.send("POST", "/desk/1", "q1", "x", work)
	assert.Assert(t, got.status == 200 && !got.cut)
	assert.Equal(t, got.body, text)
}

// TestStoppedRunWithoutLength wants the answer of a run that the gateway has stopped not
// taken for whole, though it has no length and ends as a whole one does.
func TestStoppedRunWithoutLength(t *testing.T) {
	const last = 200
	for _, end := range []string{"", "id: 1000\nda"} {
		t.Run(fmt.Sprintf("%d bytes of the next event", len(end)), func(t *testing.T) {
			stopped, began := make(chan struct{}), make(chan struct{})
			s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 0 {
					streamHead(w, r)
					sendPart(w, someEvents(afterOf(r)+1, last))
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				h := protocol.Headers
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: q1\r\n%s: signed\r\nConnection: close\r\n\r\n", h.RequestID, h.Signature)
				close(began)
				for n := 1; n <= last; n++ {
					_, _ = io.WriteString(c, oneEvent(n))
					select {
					case <-stopped:
						_, _ = io.WriteString(c, end)
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			})
			s.copied = func(w http.ResponseWriter, stop bool) {
				if stop {
					close(stopped)
				}
				fmt.Fprint(w, `{"handle":"copy-q1"}`)
			}
			done := make(chan reply, 1)
			go func() { done <- s.send("POST", "/review/1", "q1", "x", longWork) }()
			<-began
			full := map[string]dispatch.Load{}
			for _, e := range s.gateway.fleet.list() {
				if e.Own.Runs > 0 || e.Own.Tokens > 0 {
					full[e.ID] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
				}
			}
			assert.Equal(t, len(full), 1)
			s.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: full})
			got := <-done
			assert.Equal(t, got.status, 200)
			<-stopped
			assert.Check(t, inOrder(got, 0, last) == "", "%s; the engines were asked for what is after %q", inOrder(got, 0, last), s.came())
		})
	}
}

// comesBack is a caller that comes back with a last ID, and has the events up to it.
type comesBack struct {
	name   string
	header map[string]string
	has    int
}

// fields returns the fields of its request.
func (tt comesBack) fields() map[string]string {
	out := maps.Clone(work)
	maps.Copy(out, tt.header)
	return out
}

// check wants the caller to get what it lacks, wherever the first engine breaks off.
func (tt comesBack) check(t *testing.T) {
	breaks := []struct {
		name string
		at   func(from int) string
	}{
		{"no break", nil},
		{"a break before any event", func(int) string { return "" }},
		{"a break within an event", func(from int) string { return strings.TrimSuffix(oneEvent(from), "\n\n") }},
		{"a break after an event", oneEvent},
	}
	for _, b := range breaks {
		t.Run(tt.name+", "+b.name, func(t *testing.T) {
			s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if b.at != nil && n == 0 && afterOf(r) < lastEvent {
					breakAfter(b.at(afterOf(r)+1))(w, r)
				}
				streamHead(w, r)
				sendPart(w, someEvents(afterOf(r)+1, lastEvent))
			})
			got := s.send("POST", "/desk/1", "q1", "x", tt.fields())
			assert.Equal(t, got.status, 200, got.body)
			assert.Check(t, !got.cut)
			assert.Check(t, inOrder(got, tt.has, lastEvent) == "", "%s; the engines were asked for what is after %q", inOrder(got, tt.has, lastEvent), s.came())
		})
	}
}

// TestCallerComesBack wants a caller that comes back with a last ID to get what comes after.
func TestCallerComesBack(t *testing.T) {
	field := protocol.Headers.LastEventID
	for _, tt := range []comesBack{
		{"a number", map[string]string{field: "3"}, 3},
		{"spaces around it", map[string]string{field: "  3  "}, 3},
		{"empty", map[string]string{field: ""}, 0},
		{"the last one", map[string]string{field: "8"}, 8},
	} {
		tt.check(t)
	}
}

// TestLastIDNamedAsTheConnections wants a last ID used that the caller's Connection field
// names: it is meant for the engine, whatever that field says.
func TestLastIDNamedAsTheConnections(t *testing.T) {
	field := protocol.Headers.LastEventID
	comesBack{"named", map[string]string{field: "3", "Connection": field}, 3}.check(t)
}

// TestStrangeLastIDs wants a last ID that is no number, or a very large one, to reach each
// engine as the caller wrote it until there is an event after it.
func TestStrangeLastIDs(t *testing.T) {
	for _, id := range []string{"x-9", "-1", "999999", strings.Repeat("9", 3000)} {
		t.Run(id[:min(len(id), 8)], func(t *testing.T) {
			s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
				streamHead(w, r)
				sendPart(w, "")
				if n == 0 {
					breakOff()
				}
			})
			got := s.send("POST", "/desk/1", "q1", "x", with(work, protocol.Headers.LastEventID, id))
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !got.cut && got.body == "", got.body)
			for _, was := range s.came() {
				assert.Equal(t, was, id)
			}
			assert.Equal(t, len(s.came()), 2)
		})
	}
}

// TestComesBackWhileTheFirstTryRuns wants a caller that comes back under the same ID, at the
// same gateway or another one, to get its events in order though the run of its first try
// goes on, and is moved.
func TestComesBackWhileTheFirstTryRuns(t *testing.T) {
	for _, tt := range []struct {
		name          string
		other, moving bool
	}{
		{"same gateway", false, false},
		{"other gateway", true, false},
		{"same gateway, the runs move", false, true},
		{"other gateway, the runs move", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := &moving{rig: newRig(t), done: make(chan reply, 1)}
			m.add("llm", "p1", "prefill")
			for _, id := range []string{"d1", "d2", "d3"} {
				m.add("llm", id, "decode").SetPace(0, 5*time.Millisecond, longEvents)
			}
			go func() { m.done <- m.send("POST", "/desk/1", "q1", "x", longWork) }()
			running := func() (n int) {
				for _, b := range m.servers {
					n += b.Running()
				}
				return n
			}
			m.wait("a run", func() bool { return running() == 1 })
			back := m.rig
			if tt.other {
				back = newRig(t)
				for id, b := range m.servers {
					back.servers[id] = b
					back.report("llm", id, registry.Ready)
				}
			}
			const has = 3
			again := make(chan reply, 1)
			go func() {
				again <- back.send("POST", "/desk/1", "q1", "x", with(longWork, protocol.Headers.LastEventID, strconv.Itoa(has)))
			}()
			m.wait("two runs", func() bool { return running() == 2 })
			if tt.moving {
				loads := map[string]dispatch.Load{}
				for id, b := range m.servers {
					if b.Running() > 0 {
						loads[id] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
					}
				}
				for _, g := range []*rig{m.rig, back} {
					g.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: loads})
				}
			}
			one, two := <-m.done, <-again
			assert.Check(t, one.status == 200 && inOrder(one, 0, longEvents) == "", "first try: %d, %s", one.status, inOrder(one, 0, longEvents))
			assert.Check(t, two.status == 200 && inOrder(two, has, longEvents) == "", "second try: %d, %s", two.status, inOrder(two, has, longEvents))
			assert.Check(t, !one.cut, "first try cut after %d bytes", len(one.body))
			assert.Check(t, !two.cut, "second try cut after %d bytes", len(two.body))
		})
	}
}
