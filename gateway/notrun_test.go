package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNotRunOfAnother wants a request that may not be repeated not run twice: on a kept
// connection comes a refusal without an ID that belongs to no request, while the engine runs it.
func TestNotRunOfAnother(t *testing.T) {
	var mu sync.Mutex
	seen, ran, done := map[string]int{}, map[string]int{}, false
	s := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr]++
		ran[r.Header.Get(protocol.Headers.RequestID)]++
		late := seen[r.RemoteAddr] == 2 && !done
		done = done || late
		mu.Unlock()
		if !late {
			streamHead(w, r)
			sendPart(w, someEvents(1, lastEvent))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		h := protocol.Headers
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", h.NotRun)
	})
	for n := range 8 {
		id := fmt.Sprint("q", n)
		got := s.send("POST", "/review/1", id, "x", work)
		t.Logf("%s: status %d", id, got.status)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, done, "no connection was used again")
	for id, n := range ran {
		assert.Check(t, n == 1, "%s ran %d times", id, n)
	}
}
