package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// looksFull has the engine that is in use look full, so that its run is moved.
func looksFull(s *scripted) {
	full := map[string]dispatch.Load{}
	for _, e := range s.gateway.fleet.list() {
		if e.Own.Runs > 0 || e.Own.Tokens > 0 {
			full[e.ID] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
		}
	}
	s.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: full})
}

// TestStopOfAnEarlierRun wants a whole answer without a length not cut because the
// run of an earlier round, at another engine, was asked to stop.
func TestStopOfAnEarlierRun(t *testing.T) {
	const last = 200
	stopping, began := make(chan struct{}), make(chan struct{})
	s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			toTheEnd(w, r, "1.1", someEvents(afterOf(r)+1, last), false)
			return
		}
		streamHead(w, r)
		close(began)
		for n := 1; n <= last; n++ {
			sendPart(w, oneEvent(n))
			select {
			case <-stopping:
				breakOff()
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	s.copied = func(w http.ResponseWriter, stop bool) {
		if stop {
			close(stopping)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, `{"handle":"copy-q1"}`)
	}
	done := make(chan reply, 1)
	go func() { done <- s.send("POST", "/desk/1", "q1", "x", longWork) }()
	<-began
	looksFull(s)
	got := <-done
	<-stopping
	assert.Check(t, inOrder(got, 0, last) == "", "%s", inOrder(got, 0, last))
	assert.Check(t, !got.cut, "cut after %d bytes; the engines were asked for what is after %q", len(got.body), s.came())
	assert.Check(t, len(s.came()) == 2, "sent %d times, after %q", len(s.came()), s.came())
}
