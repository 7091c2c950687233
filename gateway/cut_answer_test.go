package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/standin"
)

// TestCutAnswersAreRequestedAgain guards against a request that may be repeated and fails, because an
// answer that was cut off in its middle counted as two attempts.
func TestCutAnswersAreRequestedAgain(t *testing.T) {
	h := newHarness(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	cut := make(chan bool, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil || req.URL.Path == standin.HealthPath {
					return
				}
				id := protocol.Headers.RequestID
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 100\r\n\r\nhalf", id, req.Header.Get(id), protocol.Headers.Signature)
				cut <- true
			}()
		}
	}()
	h.register("plain", "a", ln.Addr().String(), "")
	h.add("plain", "b", "")
	for n := range 20 {
		got := h.send(http.MethodGet, "/rates/1", fmt.Sprint("q", n), "", nil)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	assert.Assert(t, len(cut) > 0, "no answer was cut off")
}
