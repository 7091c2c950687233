package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNonNumericEventIsNotRepeated checks that no event is sent twice if event IDs are not numbers
// and the engine where a stream resumes begins with the last event that the caller has.
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
	assert.Check(t, got.body == complete || got.truncated, "looks complete: %q", got.body)
}
