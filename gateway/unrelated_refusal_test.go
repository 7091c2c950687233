package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnrelatedRefusalDoesNotRepeatRun checks that a request that may not be repeated does not run
// twice if a reused connection delivers a refusal without an ID, which belongs to no request, while
// the engine runs the request.
func TestUnrelatedRefusalDoesNotRepeatRun(t *testing.T) {
	var mu sync.Mutex
	seen, ran, done := map[string]int{}, map[string]int{}, false
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr]++
		ran[r.Header.Get(protocol.Headers.RequestID)]++
		unrelated := seen[r.RemoteAddr] == 2 && !done
		done = done || unrelated
		mu.Unlock()
		if !unrelated {
			writeStreamHead(w, r)
			writeAndFlush(w, eventTexts(1, lastEventNumber))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		headers := protocol.Headers
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.NotRun)
	})
	for n := range 8 {
		id := fmt.Sprint("q", n)
		got := s.send("POST", "/review/1", id, "x", workHeaders)
		t.Logf("%s: status %d", id, got.status)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, done, "no connection was reused")
	for id, n := range ran {
		assert.Check(t, n == 1, "%s ran %d times", id, n)
	}
}
