package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEmptyContinuationIsNotTakenForComplete checks that an answer that looks complete lacks no
// events if its run was stopped after it had generated its last event, and the engine that has the
// copy ends its stream without an event. That is correct only if the caller has the last event; an
// engine that continues after what was generated ends in the same way if the event was lost.
func TestEmptyContinuationIsNotTakenForComplete(t *testing.T) {
	const last = 20
	for _, tt := range []struct {
		name, target string
		relayed      int
	}{
		{"the last event is lost", "/desk/1", last - 1},
		{"the last event is lost, not resumable", "/review/1", last - 1},
		{"the last event was relayed", "/desk/1", last},
	} {
		t.Run(tt.name, func(t *testing.T) {
			stopped, began := make(chan struct{}), make(chan struct{})
			s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
				writeStreamHead(w, r)
				switch n {
				case 0:
					writeAndFlush(w, eventTexts(1, tt.relayed))
					close(began)
					for {
						writeAndFlush(w, ": working\n\n")
						select {
						case <-stopped:
							interruptAnswer()
						case <-r.Context().Done():
							return
						case <-time.After(5 * time.Millisecond):
						}
					}
				case 1:
					writeAndFlush(w, "") // continues after the last event
				default:
					writeAndFlush(w, eventTexts(lastEventOf(r)+1, last))
				}
			})
			s.onCopy = func(w http.ResponseWriter, stop bool) {
				if stop {
					close(stopped)
				}
				fmt.Fprint(w, `{"handle":"copy-q1"}`)
			}
			done := make(chan reply, 1)
			go func() { done <- s.send("POST", tt.target, "q1", "x", longWorkHeaders) }()
			<-began
			fillCurrentEngine(s)
			got := <-done
			got.body = strings.ReplaceAll(got.body, ": working\n\n", "")
			wrong := orderError(got, 0, last)
			assert.Check(t, wrong == "", "%s; the last event IDs of the requests were %q", wrong, s.receivedLastIDs())
			assert.Check(t, got.truncated == (tt.target == "/review/1"), "truncated: %v", got.truncated)
		})
	}
}
