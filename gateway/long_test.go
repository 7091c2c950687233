package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLongEvent wants an event of more than 256 KiB passed on, as it was before.
func TestLongEvent(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 300<<10) + "\n\nid: 2\ndata: end\n\n"
	s := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		streamHead(w, r)
		sendPart(w, text)
	})
	got := s.send("POST", "/review/1", "q1", "x", work)
	assert.Check(t, !got.cut && got.body == text, "cut %v, %d of %d bytes", got.cut, len(got.body), len(text))
}
