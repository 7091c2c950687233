package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/standin"
)

// lateEngine delays calls that allocate something until the gateway has ended them, and answers
// all the same, as an engine whose answer is already on its way.
type lateEngine struct {
	// matches selects the calls.
	matches func(r *http.Request) bool
	// allocatesFirst has the engine allocate before it notices the end of the call, and not after.
	allocatesFirst bool
	// begun receives a value for each call, ended one for each that the gateway has ended, and
	// allocated the status of each answer.
	begun, ended chan struct{}
	allocated    chan int
}

func newLateEngine(matches func(r *http.Request) bool) *lateEngine {
	return &lateEngine{matches: matches, begun: make(chan struct{}, 10), ended: make(chan struct{}, 10), allocated: make(chan int, 10)}
}

func (l *lateEngine) wrap(own http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.matches(r) {
			own.ServeHTTP(w, r)
			return
		}
		// The server notices that a connection is closed only after it has read the body.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		allocate := func() {
			own.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
			l.allocated <- answer.Code
		}
		if l.allocatesFirst {
			allocate()
		}
		l.begun <- struct{}{}
		<-r.Context().Done()
		l.ended <- struct{}{}
		if !l.allocatesFirst {
			allocate()
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// waitNothingHeld waits until no KV cache is held, for less time than one is kept without use.
func (h *harness) waitNothingHeld() {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if n := h.group.Held(); n > 0 {
			return poll.Continue("%d KV caches are held", n)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestLatePrefillIsFreed ends a prefill before its answer arrives. The engine must be notified at
// once, and the KV cache that it has made must be freed although its name comes late.
func TestLatePrefillIsFreed(t *testing.T) {
	tests := []struct {
		name string
		// deadline is the caller's, in milliseconds; disconnects has the caller leave before it.
		deadline    string
		disconnects bool
		within      time.Duration
	}{
		{"the caller disconnects", "5000", true, time.Second},
		{"the caller's deadline passes", "300", false, time.Second},
		{"the prefill takes too long", "5000", false, 3 * time.Second},
	}
	for _, tt := range tests {
		for _, first := range []bool{true, false} {
			name := tt.name + ", KV cache made afterwards"
			if first {
				name = tt.name + ", KV cache made before"
			}
			t.Run(name, func(t *testing.T) {
				h := newHarness(t)
				late := newLateEngine(isPrefill)
				late.allocatesFirst = first
				h.add("llm", "p1", "prefill").SetMiddleware(late.wrap)
				h.add("llm", "d1", "decode")
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				done := make(chan reply, 1)
				header := map[string]string{protocol.Headers.Tokens: "100,10", protocol.Headers.Deadline: tt.deadline}
				go func() { done <- h.sendWith(ctx, "POST", "/review/1", "q1", "x", header) }()
				<-late.begun
				if tt.disconnects {
					disconnect()
				}
				select {
				case <-late.ended:
				case <-time.After(tt.within):
					t.Fatal("the engine was not notified")
				}
				assert.Equal(t, <-late.allocated, 200)
				h.waitNothingHeld()
				<-done
			})
		}
	}
}

// TestLateHoldIsReleased has an engine answer a hold after the call has timed out.
func TestLateHoldIsReleased(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	late := newLateEngine(func(r *http.Request) bool { return r.Method == http.MethodPost && r.URL.Path == standin.HoldPath })
	h.add("llm", "d1", "decode").SetMiddleware(late.wrap)
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, <-late.allocated, 200)
	h.waitNoHolds()
}

// TestLateCopyIsFreed has an engine answer the copy of a run after the call has timed out.
func TestLateCopyIsFreed(t *testing.T) {
	m := startRun(t, t.Context())
	late := newLateEngine(func(r *http.Request) bool { return r.URL.Path == standin.CopyPath })
	late.allocatesFirst = true // the run ends before the call
	m.source.SetMiddleware(late.wrap)
	m.fillEngine()
	assert.Equal(t, <-late.allocated, 200)
	<-late.ended
	m.waitNothingHeld()
}
