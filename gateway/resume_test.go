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

// lastEventNumber is the number of the last event in the answers of scripted engines.
const lastEventNumber = 8

// answerFunc answers a request to a service that has received n requests before.
type answerFunc func(n int, w http.ResponseWriter, r *http.Request)

// resumeAfter answers the first request with begin, and each later one with the events after its
// last event ID.
func resumeAfter(begin func(w http.ResponseWriter, r *http.Request)) answerFunc {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			begin(w, r)
			return
		}
		writeStreamHead(w, r)
		writeAndFlush(w, eventTexts(lastEventOf(r)+1, lastEventNumber))
	}
}

// interruptAfter returns the start of an answer that is interrupted after a text.
func interruptAfter(text string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, text)
		interruptAnswer()
	}
}

// checkOrder checks that a caller gets each event once and in order, or an answer that is visibly
// truncated.
func checkOrder(t *testing.T, answer answerFunc) reply {
	t.Helper()
	s := newScriptedEngines(t, answer)
	got := s.send("POST", "/desk/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	assert.Check(t, orderError(got, 0, lastEventNumber) == "", "%s; the last event IDs of the requests were %q", orderError(got, 0, lastEventNumber), s.receivedLastIDs())
	return got
}

// TestResumedStreamIsCompleteAndInOrder checks that an answer is complete, with each event once and
// in order, wherever its first engine interrupts it.
func TestResumedStreamIsCompleteAndInOrder(t *testing.T) {
	tests := []struct {
		name   string
		answer answerFunc
	}{
		{"after an event", resumeAfter(interruptAfter(eventTexts(1, 3)))},
		{"within an event", resumeAfter(interruptAfter(eventTexts(1, 3) + "id: 4\nda"))},
		{"between the ends of the lines of an event", resumeAfter(interruptAfter(strings.TrimSuffix(eventTexts(1, 4), "\n")))},
		{"before any complete event", resumeAfter(interruptAfter("id: 1\nda"))},
		{"before any byte of an event", resumeAfter(interruptAfter(""))},
		{"a reset connection without a length", resumeAfter(func(w http.ResponseWriter, r *http.Request) {
			writeUnframed(w, r, "1.1", eventTexts(1, 3), true)
		})},
		{"a complete answer up to the end of the connection", resumeAfter(func(w http.ResponseWriter, r *http.Request) {
			writeUnframed(w, r, "1.1", eventTexts(1, lastEventNumber), false)
		})},
		{"a complete answer of HTTP/1.0", resumeAfter(func(w http.ResponseWriter, r *http.Request) {
			writeUnframed(w, r, "1.0", eventTexts(1, lastEventNumber), false)
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := checkOrder(t, tt.answer)
			assert.Check(t, !got.truncated, "truncated after %q", got.body)
		})
	}
}

// TestResumeAtWrongEventIsDetected checks that a caller gets each event once and in order, or an
// answer that is visibly truncated, if the engine where the answer resumes starts with another
// event than the next one.
func TestResumeAtWrongEventIsDetected(t *testing.T) {
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
					interruptAfter(eventTexts(1, 3))(w, r)
				}
				writeStreamHead(w, r)
				writeAndFlush(w, eventTexts(tt.from(lastEventOf(r)), lastEventNumber))
			})
		})
	}
}

// TestAnswerEndingWithinEventIsNotComplete checks that an answer without a length does not look
// complete if its connection is closed within an event.
func TestAnswerEndingWithinEventIsNotComplete(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		t.Run(version, func(t *testing.T) {
			checkOrder(t, resumeAfter(func(w http.ResponseWriter, r *http.Request) {
				writeUnframed(w, r, version, eventTexts(1, 3)+"id: 4\nda", false)
			}))
		})
	}
}

// TestLastEventWithoutBlankLine checks that an answer is relayed unchanged if its last event lacks
// the blank line after it.
func TestLastEventWithoutBlankLine(t *testing.T) {
	text := strings.TrimSuffix(eventTexts(1, 3), "\n")
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, text)
	})
	got := s.send("POST", "/desk/1", "q1", "x", workHeaders)
	assert.Assert(t, got.status == 200 && !got.truncated)
	assert.Equal(t, got.body, text)
}

// TestStoppedUnframedRunIsNotComplete checks that the answer of a run that the gateway has stopped
// is not taken for complete, although it has no length and ends like a complete one.
func TestStoppedUnframedRunIsNotComplete(t *testing.T) {
	const last = 200
	for _, end := range []string{"", "id: 1000\nda"} {
		t.Run(fmt.Sprintf("%d bytes of the next event", len(end)), func(t *testing.T) {
			stopped, began := make(chan struct{}), make(chan struct{})
			s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 0 {
					writeStreamHead(w, r)
					writeAndFlush(w, eventTexts(lastEventOf(r)+1, last))
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				headers := protocol.Headers
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: q1\r\n%s: signed\r\nConnection: close\r\n\r\n", headers.RequestID, headers.Signature)
				close(began)
				for n := 1; n <= last; n++ {
					_, _ = io.WriteString(c, eventText(n))
					select {
					case <-stopped:
						_, _ = io.WriteString(c, end)
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			})
			s.onCopy = func(w http.ResponseWriter, stop bool) {
				if stop {
					close(stopped)
				}
				fmt.Fprint(w, `{"handle":"copy-q1"}`)
			}
			done := make(chan reply, 1)
			go func() { done <- s.send("POST", "/review/1", "q1", "x", longWorkHeaders) }()
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
			assert.Check(t, orderError(got, 0, last) == "", "%s; the last event IDs of the requests were %q", orderError(got, 0, last), s.receivedLastIDs())
		})
	}
}

// resumingCaller is a caller that retries with a last event ID, and has received the events up to
// it.
type resumingCaller struct {
	name     string
	header   map[string]string
	received int
}

// requestHeaders returns the header fields of its request.
func (rc resumingCaller) requestHeaders() map[string]string {
	out := maps.Clone(workHeaders)
	maps.Copy(out, rc.header)
	return out
}

// check checks that the caller gets the remaining events, wherever the first engine interrupts the
// answer.
func (rc resumingCaller) check(t *testing.T) {
	interruptions := []struct {
		name string
		at   func(from int) string
	}{
		{"no break", nil},
		{"a break before any event", func(int) string { return "" }},
		{"a break within an event", func(from int) string { return strings.TrimSuffix(eventText(from), "\n\n") }},
		{"a break after an event", eventText},
	}
	for _, b := range interruptions {
		t.Run(rc.name+", "+b.name, func(t *testing.T) {
			s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if b.at != nil && n == 0 && lastEventOf(r) < lastEventNumber {
					interruptAfter(b.at(lastEventOf(r)+1))(w, r)
				}
				writeStreamHead(w, r)
				writeAndFlush(w, eventTexts(lastEventOf(r)+1, lastEventNumber))
			})
			got := s.send("POST", "/desk/1", "q1", "x", rc.requestHeaders())
			assert.Equal(t, got.status, 200, got.body)
			assert.Check(t, !got.truncated)
			assert.Check(t, orderError(got, rc.received, lastEventNumber) == "", "%s; the last event IDs of the requests were %q", orderError(got, rc.received, lastEventNumber), s.receivedLastIDs())
		})
	}
}

// TestCallerResumesAfterLastID checks that a caller that retries with a last event ID gets the
// events after it.
func TestCallerResumesAfterLastID(t *testing.T) {
	field := protocol.Headers.LastEventID
	for _, rc := range []resumingCaller{
		{"a number", map[string]string{field: "3"}, 3},
		{"spaces around it", map[string]string{field: "  3  "}, 3},
		{"empty", map[string]string{field: ""}, 0},
		{"the last one", map[string]string{field: "8"}, 8},
	} {
		rc.check(t)
	}
}

// TestLastIDNamedInConnectionHeaderIsUsed checks that a last event ID is used although the caller's
// Connection field names it: it is meant for the engine, whatever that field contains.
func TestLastIDNamedInConnectionHeaderIsUsed(t *testing.T) {
	field := protocol.Headers.LastEventID
	resumingCaller{"named", map[string]string{field: "3", "Connection": field}, 3}.check(t)
}

// TestUnusualLastIDsAreForwardedUnchanged checks that a last event ID that is not a number, or is a
// very large one, reaches each engine as the caller wrote it until there is an event after it.
func TestUnusualLastIDsAreForwardedUnchanged(t *testing.T) {
	for _, id := range []string{"x-9", "-1", "999999", strings.Repeat("9", 3000)} {
		t.Run(id[:min(len(id), 8)], func(t *testing.T) {
			s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
				writeStreamHead(w, r)
				writeAndFlush(w, "")
				if n == 0 {
					interruptAnswer()
				}
			})
			got := s.send("POST", "/desk/1", "q1", "x", withHeader(workHeaders, protocol.Headers.LastEventID, id))
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !got.truncated && got.body == "", got.body)
			for _, was := range s.receivedLastIDs() {
				assert.Equal(t, was, id)
			}
			assert.Equal(t, len(s.receivedLastIDs()), 2)
		})
	}
}

// TestCallerResumesWhileFirstRunContinues checks that a caller that retries under the same ID, at
// the same gateway or at another one, gets its events in order although the run of its first
// attempt continues, and migrates.
func TestCallerResumesWhileFirstRunContinues(t *testing.T) {
	for _, tt := range []struct {
		name             string
		other, migrating bool
	}{
		{"same gateway", false, false},
		{"other gateway", true, false},
		{"same gateway, the runs move", false, true},
		{"other gateway, the runs move", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := &migratingRun{harness: newHarness(t), done: make(chan reply, 1)}
			m.add("llm", "p1", "prefill")
			for _, id := range []string{"d1", "d2", "d3"} {
				m.add("llm", id, "decode").SetPace(0, 5*time.Millisecond, longEventCount)
			}
			go func() { m.done <- m.send("POST", "/desk/1", "q1", "x", longWorkHeaders) }()
			running := func() (n int) {
				for _, b := range m.servers {
					n += b.Running()
				}
				return n
			}
			m.waitFor("a run", func() bool { return running() == 1 })
			second := m.harness
			if tt.other {
				second = newHarness(t)
				for id, b := range m.servers {
					second.servers[id] = b
					second.report("llm", id, registry.Ready)
				}
			}
			const received = 3
			secondReply := make(chan reply, 1)
			go func() {
				secondReply <- second.send("POST", "/desk/1", "q1", "x", withHeader(longWorkHeaders, protocol.Headers.LastEventID, strconv.Itoa(received)))
			}()
			m.waitFor("two runs", func() bool { return running() == 2 })
			if tt.migrating {
				loads := map[string]dispatch.Load{}
				for id, b := range m.servers {
					if b.Running() > 0 {
						loads[id] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
					}
				}
				for _, g := range []*harness{m.harness, second} {
					g.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: loads})
				}
			}
			firstGot, secondGot := <-m.done, <-secondReply
			assert.Check(t, firstGot.status == 200 && orderError(firstGot, 0, longEventCount) == "", "first attempt: %d, %s", firstGot.status, orderError(firstGot, 0, longEventCount))
			assert.Check(t, secondGot.status == 200 && orderError(secondGot, received, longEventCount) == "", "second attempt: %d, %s", secondGot.status, orderError(secondGot, received, longEventCount))
			assert.Check(t, !firstGot.truncated, "first attempt truncated after %d bytes", len(firstGot.body))
			assert.Check(t, !secondGot.truncated, "second attempt truncated after %d bytes", len(secondGot.body))
		})
	}
}
