package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLastIDIsIgnoredOnNonResumableRoute checks that the complete answer of a new run is relayed if
// the route is not resumable, although the caller sends a last event ID, as each EventSource does
// by itself. The first events of the run are not those that the caller has, and leaving them out
// would join parts of two runs.
func TestLastIDIsIgnoredOnNonResumableRoute(t *testing.T) {
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, eventTexts(1, lastEventNumber))
	})
	for _, last := range []string{"3", "8", "99"} {
		got := s.send("POST", "/review/1", "q"+last, "x", withHeader(workHeaders, protocol.Headers.LastEventID, last))
		assert.Check(t, got.status == 200 && !got.truncated && got.body == eventTexts(1, lastEventNumber), "last ID %s: truncated %v, %q", last, got.truncated, got.body)
	}
}
