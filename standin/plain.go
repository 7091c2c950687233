package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// largeAnswerPrefix begins the body of a request for a long answer of a plain service.
const largeAnswerPrefix = "large "

// LargeAnswerBody returns the body of a request whose answer has the given number of bytes.
func LargeAnswerBody(bytes int) string { return largeAnswerPrefix + strconv.Itoa(bytes) }

// LargeAnswerBytes returns the number of bytes of the answer to a request with a body; zero if the
// body asks for none in particular.
func LargeAnswerBytes(body string) int {
	size, ok := strings.CutPrefix(body, largeAnswerPrefix)
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(size) // a body without a number gets the usual answer
	return n
}

// SetAnswerPause makes a plain service pause in the middle of its answers; zero for no pause.
func (b *Backend) SetAnswerPause(pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answerPause = pause
}

// plain answers a request to a plain service.
func (b *Backend) plain(w http.ResponseWriter, r *http.Request, id string) {
	text := fmt.Sprintf("answer to %s by %s", id, b.ID)
	text += strings.Repeat(".", max(LargeAnswerBytes(BodyOf(r))-len(text), 0))
	b.mu.Lock()
	pause := b.answerPause
	b.mu.Unlock()
	if pause > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		half := len(text) / 2
		_, _ = io.WriteString(w, text[:half])
		_ = http.NewResponseController(w).Flush()
		text = text[half:]
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, text)
}
