package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

// scriptedEngines is a service of two engines whose answers are defined by a test.
type scriptedEngines struct {
	*harness
	mu sync.Mutex
	// lastIDs are the last event IDs of the requests, in the order of their arrival.
	lastIDs []string
	// onCopy answers a call that copies a run; stop is set if the call also stops the run. It is
	// set before any request is sent.
	onCopy func(w http.ResponseWriter, stop bool)
}

// newScriptedEngines starts two engines; answer gets the number of earlier requests to both of
// them.
func newScriptedEngines(t *testing.T, answer answerFunc) *scriptedEngines {
	t.Helper()
	s := &scriptedEngines{harness: newHarness(t)}
	for _, id := range []string{"d1", "d2"} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path == standin.CopyPath {
				s.onCopy(w, strings.Contains(string(body), `"stop":true`))
				return
			}
			if r.Method != http.MethodPost {
				return
			}
			s.mu.Lock()
			n := len(s.lastIDs)
			s.lastIDs = append(s.lastIDs, r.Header.Get(protocol.Headers.LastEventID))
			s.mu.Unlock()
			answer(n, w, r)
		}))
		t.Cleanup(engine.Close)
		s.register("llm", id, strings.TrimPrefix(engine.URL, "http://"), registry.Decode)
	}
	return s
}

// register registers a ready server at an address.
func (h *harness) register(service, id, address, role string) {
	h.lastSequence++
	h.gateway.fleet.update(&wire.Servers{List: []registry.Server{{
		ID: id, Service: service, Address: address, Zone: "z", State: registry.Ready, Role: role, Sequence: h.lastSequence,
	}}}, nil)
}

func (s *scriptedEngines) receivedLastIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.lastIDs...)
}

// writeStreamHead writes the header of an engine's stream.
func writeStreamHead(w http.ResponseWriter, r *http.Request) {
	headers := protocol.Headers
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	w.Header().Set(headers.Signature, "signed")
	w.Header().Set("Content-Type", "text/event-stream")
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

// eventTexts returns the events from one number to another, both included.
func eventTexts(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// writeAndFlush sends part of a stream.
func writeAndFlush(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// interruptAnswer ends a chunked answer before it is complete.
func interruptAnswer() { panic(http.ErrAbortHandler) }

// lastEventOf returns the number in the last event ID of a request; 0 if it has none.
func lastEventOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(protocol.Headers.LastEventID))
	return n
}

// writeUnframed writes an answer without a length, which ends with its connection, using the given
// version of HTTP. If reset is set, the connection is reset instead of closed.
func writeUnframed(w http.ResponseWriter, r *http.Request, version, text string, reset bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	headers := protocol.Headers
	fmt.Fprintf(c, "HTTP/%s 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s",
		version, headers.RequestID, r.Header.Get(headers.RequestID), headers.Signature, text)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// orderError returns what is wrong with the events in an answer to a caller that has those up to
// the number received: each must come once, complete and in order, up to the last one unless the
// answer is visibly truncated.
func orderError(got reply, received, last int) string {
	rest := got.body
	for rest != "" {
		next := eventText(received + 1)
		if !strings.HasPrefix(rest, next) {
			if got.truncated && strings.HasPrefix(next, rest) {
				return "" // part of the next event, and visibly truncated
			}
			return fmt.Sprintf("event %d is followed by %q (truncated: %v)", received, rest[:min(len(rest), 40)], got.truncated)
		}
		rest = rest[len(next):]
		received++
	}
	if received != last && !got.truncated {
		return fmt.Sprintf("the answer looks complete after event %d of %d", received, last)
	}
	return ""
}
