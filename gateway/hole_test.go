package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHoleAtTheBegin wants no hole in an answer that looks whole if its run is moved before
// the caller has any event: the copy says that three were made, and none of them came.
func TestHoleAtTheBegin(t *testing.T) {
	const last = 200
	stopped, began := make(chan struct{}), make(chan struct{})
	s := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		streamHead(w, r)
		if n > 0 {
			sendPart(w, someEvents(max(afterOf(r), 3)+1, last))
			return
		}
		close(began)
		for range 100 {
			if _, err := io.WriteString(w, ": working\n\n"); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-stopped:
				breakOff()
			case <-time.After(5 * time.Millisecond):
			}
		}
		sendPart(w, someEvents(1, last)) // nobody stopped it
	})
	s.copied = func(w http.ResponseWriter, stop bool) {
		if stop {
			close(stopped)
		}
		fmt.Fprint(w, `{"handle":"copy-q1","made":3}`)
	}
	done := make(chan reply, 1)
	go func() { done <- s.send("POST", "/review/1", "q1", "x", longWork) }()
	<-began
	looksFull(s)
	got := <-done
	text := got.body
	for len(text) > 11 && text[:11] == ": working\n\n" {
		text = text[11:]
	}
	got.body = text
	assert.Check(t, inOrder(got, 0, last) == "", "%s; asked for what is after %q", inOrder(got, 0, last), s.came())
}
