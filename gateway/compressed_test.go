package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gzipped returns a text compressed with gzip.
func gzipped(text string) string {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = io.WriteString(z, text)
	_ = z.Close()
	return b.String()
}

// TestCompressedStreamIsNotDelayed checks that the events of a compressed stream, which the caller
// has requested, are relayed as they arrive.
func TestCompressedStreamIsNotDelayed(t *testing.T) {
	more := make(chan struct{})
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = io.WriteString(z, eventText(1))
		_ = z.Flush()
		_ = http.NewResponseController(w).Flush()
		select {
		case <-more:
		case <-time.After(3 * time.Second):
		}
		_, _ = io.WriteString(z, eventText(2))
		_ = z.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", s.frontend.URL+"/review/1", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set(protocol.Headers.RequestID, "q1")
	req.Header.Set("Accept-Encoding", "gzip")
	for k, v := range workHeaders {
		req.Header.Set(k, v)
	}
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	z, err := gzip.NewReader(resp.Body)
	assert.NilError(t, err)
	first := make([]byte, len(eventText(1)))
	_, err = io.ReadFull(z, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), eventText(1))
	assert.Check(t, time.Since(started) < 2*time.Second, "the first event arrived after %v", time.Since(started))
	close(more)
}

// TestUnframedCompressedAnswerIsComplete checks that a complete compressed answer without a length
// is relayed as complete.
func TestUnframedCompressedAnswerIsComplete(t *testing.T) {
	text := gzipped(eventTexts(1, 3))
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		headers := protocol.Headers
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: q1\r\n%s: signed\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\nConnection: close\r\n\r\n%s", headers.RequestID, headers.Signature, text)
	})
	got := s.send("POST", "/review/1", "q1", "x", withHeader(workHeaders, "Accept-Encoding", "gzip"))
	assert.Check(t, !got.truncated && got.body == text, "truncated %v, %d of %d bytes", got.truncated, len(got.body), len(text))
}
