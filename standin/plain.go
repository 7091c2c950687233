package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// largeContent begins the body of a request that asks for a long answer of a plain service.
const largeAnswerPrefix = "large "

// LargeAnswerBody is the body of a request whose answer has as many bytes.
func LargeAnswerBody(bytes int) string { return largeAnswerPrefix + strconv.Itoa(bytes) }

// SetAnswerPause has answers of a plain service pause in their middle; zero for no pause.
func (b *Backend) SetAnswerPause(pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answerPause = pause
}

// plain answers a request of a plain service.
func (b *Backend) plain(w http.ResponseWriter, r *http.Request, id string) {
	text := fmt.Sprintf("answer to %s by %s", id, b.ID)
	if size, ok := strings.CutPrefix(BodyOf(r), largeAnswerPrefix); ok {
		n, _ := strconv.Atoi(size) // no number asks for the usual answer
		text += strings.Repeat(".", max(n-len(text), 0))
	}
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
