package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMigrationBeforeFirstEventLosesNone checks that an answer that looks complete lacks no events
// if its run migrates before the caller has any: the answer to the copy reports three generated
// events, none of which has arrived.
func TestMigrationBeforeFirstEventLosesNone(t *testing.T) {
	const last = 200
	stopped, began := make(chan struct{}), make(chan struct{})
	s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		if n > 0 {
			writeAndFlush(w, eventTexts(max(lastEventOf(r), 3)+1, last))
			return
		}
		close(began)
		for range 100 {
			if _, err := io.WriteString(w, ": working\n\n"); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-stopped:
				interruptAnswer()
			case <-time.After(5 * time.Millisecond):
			}
		}
		writeAndFlush(w, eventTexts(1, last)) // the run was not stopped
	})
	s.onCopy = func(w http.ResponseWriter, stop bool) {
		if stop {
			close(stopped)
		}
		fmt.Fprint(w, `{"handle":"copy-q1","made":3}`)
	}
	done := make(chan reply, 1)
	go func() { done <- s.send("POST", "/review/1", "q1", "x", longWorkHeaders) }()
	<-began
	fillCurrentEngine(s)
	got := <-done
	text := got.body
	for len(text) > 11 && text[:11] == ": working\n\n" {
		text = text[11:]
	}
	got.body = text
	assert.Check(t, orderError(got, 0, last) == "", "%s; the last event IDs of the requests were %q", orderError(got, 0, last), s.receivedLastIDs())
}
