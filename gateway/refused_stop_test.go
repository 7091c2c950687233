package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusedStopTruncatesNoAnswer checks that a complete answer without a length is not truncated
// because the gateway asked the engine to stop its run, if the engine refused that (409: the run
// continues) and generated all of it.
func TestRefusedStopTruncatesNoAnswer(t *testing.T) {
	const last = 60
	stopping, began := make(chan struct{}), make(chan struct{})
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		headers := protocol.Headers
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: q1\r\n%s: signed\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headers.RequestID, headers.Signature)
		close(began)
		for n := 1; n <= last; n++ {
			_, _ = io.WriteString(c, eventText(n))
			time.Sleep(5 * time.Millisecond)
		}
		<-stopping
		time.Sleep(50 * time.Millisecond)
	})
	requested := false
	s.onCopy = func(w http.ResponseWriter, stop bool) {
		if stop {
			if !requested {
				requested = true
				close(stopping)
			}
			w.WriteHeader(http.StatusConflict)
			return
		}
		fmt.Fprint(w, `{"handle":"copy-q1"}`)
	}
	done := make(chan reply, 1)
	go func() { done <- s.send("POST", "/review/1", "q1", "x", longWorkHeaders) }()
	<-began
	fillCurrentEngine(s)
	got := <-done
	<-stopping
	assert.Check(t, orderError(got, 0, last) == "", "%s", orderError(got, 0, last))
	assert.Check(t, !got.truncated, "truncated after %d bytes", len(got.body))
}
