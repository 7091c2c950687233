package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLastIDIsIgnoredOnNonResumableRoute wants the whole answer of a new run passed on where the
// route can't be resumed, though the caller sends a last ID, as each EventSource does by itself:
// the run's first events are not those that the caller has, and without them parts of two runs
// are joined.
func TestLastIDIsIgnoredOnNonResumableRoute(t *testing.T) {
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, eventTexts(1, lastEventNumber))
	})
	for _, last := range []string{"3", "8", "99"} {
		got := s.send("POST", "/review/1", "q"+last, "x", withHeader(workHeaders, protocol.Headers.LastEventID, last))
		assert.Check(t, got.status == 200 && !got.truncated && got.body == eventTexts(1, lastEventNumber), "last ID %s: cut %v, %q", last, got.truncated, got.body)
	}
}
