package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNonNumericEventIsNotRepeated wants no event twice where IDs are no numbers: the engine that a
// stream goes on at begins with the event that the caller has as its last one.
func TestNonNumericEventIsNotRepeated(t *testing.T) {
	s := newScriptedEngines(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			interruptAfter(eventsWithIDs("a-1", "a-2"))(w, r)
		}
		writeStreamHead(w, r)
		writeAndFlush(w, "id: a-2\ndata: event 1\n\nid: a-3\ndata: event 2\n\n")
	})
	got := s.send("POST", "/desk/1", "q1", "x", workHeaders)
	complete := eventsWithIDs("a-1", "a-2", "a-3")
	assert.Check(t, got.body == complete || got.truncated, "looks whole: %q", got.body)
}
