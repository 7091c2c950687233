package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNamedEventTwice wants no event twice where IDs are no numbers: the engine that a
// stream goes on at begins with the event that the caller has as its last one.
func TestNamedEventTwice(t *testing.T) {
	s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			breakAfter(withIDs("a-1", "a-2"))(w, r)
		}
		streamHead(w, r)
		sendPart(w, "id: a-2\ndata: event 1\n\nid: a-3\ndata: event 2\n\n")
	})
	got := s.send("POST", "/desk/1", "q1", "x", work)
	whole := withIDs("a-1", "a-2", "a-3")
	assert.Check(t, got.body == whole || got.cut, "looks whole: %q", got.body)
}
