package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// lateBeforeSecond serves one connection: the first request gets a complete answer with its
// ID, the second one a text that belongs to no request, and then its own answer.
func lateBeforeSecond(t *testing.T, late string) *rawServer {
	return newRawServer(t, func(r *rawServer, _ int64, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for n := 1; ; n++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if n == 2 {
				_, _ = io.WriteString(c, late)
			}
			length := len(req.RequestURI)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
				backend.DefaultHeaders.RequestID, req.Header.Get(backend.DefaultHeaders.RequestID), length)
			if req.Method != http.MethodHead {
				_, _ = io.WriteString(c, req.RequestURI)
			}
		}
	})
}

// TestLateAnswerIsNotMatchedWithoutItsID guards against an answer without an ID that is matched
// to a request although the server has sent IDs on this connection: its "not run" belongs to
// another request.
func TestLateAnswerIsNotMatchedWithoutItsID(t *testing.T) {
	r := lateBeforeSecond(t, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nlate")
	p := backend.NewPool()
	defer p.Close()
	got, err := r.ask(p, "one", "/first")
	assert.NilError(t, err)
	assert.Equal(t, got, "/first")
	got, err = r.ask(p, "two", "/second")
	assert.Check(t, err != nil || got == "/second", "the answer is %q", got)
}
