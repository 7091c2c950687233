package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventsWithIDs returns a stream whose events have the given IDs.
func eventsWithIDs(ids ...string) string {
	var b strings.Builder
	for n, id := range ids {
		fmt.Fprintf(&b, "id: %s\ndata: event %d\n\n", id, n)
	}
	return b.String()
}

// TestEventIDsWithGapsAreRelayed checks that the uninterrupted answer of one engine is relayed in
// full if its IDs increase by more than one, where engines don't guarantee that they increase by
// one.
func TestEventIDsWithGapsAreRelayed(t *testing.T) {
	for _, text := range []string{eventsWithIDs("10", "20", "30"), eventsWithIDs("1", "2", "4"), eventsWithIDs("1733200000123", "1733200000187")} {
		s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
			writeStreamHead(w, r)
			writeAndFlush(w, text)
		})
		s.gateway.cfg.Protocol.ConsecutiveEventIDs = false
		got := s.send("POST", "/review/1", "q1", "x", workHeaders)
		assert.Check(t, got.status == 200 && !got.truncated && got.body == text, "truncated %v, %q of %q", got.truncated, got.body, text)
	}
}

// TestEqualEventIDsLoseNoEvents checks that the uninterrupted answer of one engine is relayed in
// full or visibly truncated if its events have the same ID, but does not look complete while most
// of it is left out.
func TestEqualEventIDsLoseNoEvents(t *testing.T) {
	text := eventsWithIDs("7", "7", "7", "7")
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, text)
	})
	s.gateway.cfg.Protocol.ConsecutiveEventIDs = false
	got := s.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Check(t, got.truncated || got.body == text, "looks complete: %q", got.body)
}
