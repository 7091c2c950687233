package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// fillCurrentEngine makes the engine in use look full, so that its run migrates.
func fillCurrentEngine(s *scriptedEngines) {
	full := map[string]dispatch.Load{}
	for _, e := range s.gateway.fleet.list() {
		if e.Own.Runs > 0 || e.Own.Tokens > 0 {
			full[e.ID] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
		}
	}
	s.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: full})
}

// TestStopOfEarlierRunTruncatesNoAnswer checks that a complete answer without a length is not
// truncated because the gateway asked another engine to stop the run of an earlier round.
func TestStopOfEarlierRunTruncatesNoAnswer(t *testing.T) {
	const last = 200
	stopping, began := make(chan struct{}), make(chan struct{})
	s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			writeUnframed(w, r, "1.1", eventTexts(lastEventOf(r)+1, last), false)
			return
		}
		writeStreamHead(w, r)
		close(began)
		for n := 1; n <= last; n++ {
			writeAndFlush(w, eventText(n))
			select {
			case <-stopping:
				interruptAnswer()
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	s.onCopy = func(w http.ResponseWriter, stop bool) {
		if stop {
			close(stopping)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, `{"handle":"copy-q1"}`)
	}
	done := make(chan reply, 1)
	go func() { done <- s.send("POST", "/desk/1", "q1", "x", longWorkHeaders) }()
	<-began
	fillCurrentEngine(s)
	got := <-done
	<-stopping
	assert.Check(t, orderError(got, 0, last) == "", "%s", orderError(got, 0, last))
	assert.Check(t, !got.truncated, "truncated after %d bytes; the last event IDs of the requests were %q", len(got.body), s.receivedLastIDs())
	assert.Check(t, len(s.receivedLastIDs()) == 2, "sent %d times, with the last event IDs %q", len(s.receivedLastIDs()), s.receivedLastIDs())
}
