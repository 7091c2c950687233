package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLongEventIsRelayed checks that an event of more than 256 KiB is relayed.
func TestLongEventIsRelayed(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 300<<10) + "\n\nid: 2\ndata: end\n\n"
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, text)
	})
	got := s.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Check(t, !got.truncated && got.body == text, "truncated %v, %d of %d bytes", got.truncated, len(got.body), len(text))
}
