package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// withIDs is a stream whose events have given IDs.
func withIDs(ids ...string) string {
	var b strings.Builder
	for n, id := range ids {
		fmt.Fprintf(&b, "id: %s\ndata: event %d\n\n", id, n)
	}
	return b.String()
}

// TestRisingIDs wants the answer of one engine, which breaks nowhere, passed on whole if
// its IDs rise by more than one, where engines don't promise that they rise by one.
func TestRisingIDs(t *testing.T) {
	for _, text := range []string{withIDs("10", "20", "30"), withIDs("1", "2", "4"), withIDs("1733200000123", "1733200000187")} {
		s := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
			streamHead(w, r)
			sendPart(w, text)
		})
		s.gateway.cfg.Protocol.EventsByOne = false
		got := s.send("POST", "/review/1", "q1", "x", work)
		assert.Check(t, got.status == 200 && !got.cut && got.body == text, "cut %v, %q of %q", got.cut, got.body, text)
	}
}

// TestOneIDForAll wants the answer of one engine, which breaks nowhere, passed on whole or
// visibly cut, not as a whole one with most of it left out, if its events share an ID.
func TestOneIDForAll(t *testing.T) {
	text := withIDs("7", "7", "7", "7")
	s := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		streamHead(w, r)
		sendPart(w, text)
	})
	s.gateway.cfg.Protocol.EventsByOne = false
	got := s.send("POST", "/review/1", "q1", "x", work)
	assert.Check(t, got.cut || got.body == text, "looks whole: %q", got.body)
}
