package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// newIDServer returns a server whose answers carry the ID of their request, except those to
// calls without an ID. If late is set, the server sends it before the answer to the next
// request on a connection that has carried a call.
func newIDServer(t *testing.T, late string) *rawServer {
	return newRawServer(t, func(_ *rawServer, _ int64, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		called := false
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(backend.DefaultHeaders.RequestID)
			if id != "" && called && late != "" {
				_, _ = io.WriteString(c, late)
				called = false
			}
			called = called || id == ""
			answer := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n"
			if id != "" {
				answer += backend.DefaultHeaders.RequestID + ": " + id + "\r\n"
			}
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", answer, len(req.RequestURI), req.RequestURI)
		}
	})
}

// askIncarnation is ask, sent to a named incarnation of a server.
func (r *rawServer) askIncarnation(p *backend.Pool, server, id, target string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req := backend.Request{Address: r.ln.Addr().String(), Server: server, Method: "POST", Target: target, Host: "h", ID: id, Header: http.Header{}}
	if id != "" {
		req.Header.Set(backend.DefaultHeaders.RequestID, id)
	}
	a, err := p.Do(ctx, &backend.DefaultHeaders, req)
	if err != nil {
		return "", err
	}
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

// TestConnectionIsReusedAfterCall checks that a connection that has carried a call carries
// requests once the server has shown that its answers carry IDs, and that a call is always
// the first on its connection.
func TestConnectionIsReusedAfterCall(t *testing.T) {
	r := newIDServer(t, "")
	p := backend.NewPool()
	defer p.Close()
	ask := func(id, target string, connections int64) {
		t.Helper()
		got, err := r.askIncarnation(p, "s", id, target)
		assert.NilError(t, err)
		assert.Equal(t, got, target)
		assert.Equal(t, r.connections.Load(), connections)
	}
	ask("", "/call", 1)
	ask("q1", "/1", 2) // not known yet whether its answers carry IDs
	ask("", "/call", 3)
	ask("q2", "/2", 3)
	ask("q3", "/3", 3)
	ask("", "/call", 4)
	ask("q4", "/4", 4)
}

// TestLateAnswerToCallIsSkipped guards against a second answer to a call, which carries no ID,
// that is returned as the answer to the next request: it must be skipped whatever it contains.
func TestLateAnswerToCallIsSkipped(t *testing.T) {
	for name, late := range map[string]string{
		"not run":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nlate",
		"good":           "HTTP/1.1 200 OK\r\nX-Answer-Signature: s\r\nContent-Length: 4\r\n\r\nlate",
		"in chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
		"without an end": "HTTP/1.1 200 OK\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			r := newIDServer(t, late)
			p := backend.NewPool()
			defer p.Close()
			for _, id := range []string{"q0", "", "q1"} {
				got, err := r.askIncarnation(p, "s", id, "/"+id)
				if name == "without an end" && id == "q1" {
					assert.Assert(t, err != nil, "got %q", got)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, got, "/"+id)
			}
			got, err := r.askIncarnation(p, "s", "q2", "/q2")
			assert.NilError(t, err)
			assert.Equal(t, got, "/q2")
		})
	}
}

// TestCallConnectionIsNotReusedWithoutIDs checks that the connection of a call is not reused
// if the server's answers carry no IDs, since a second answer to the call could then not be
// distinguished from the answer to the next request.
func TestCallConnectionIsNotReusedWithoutIDs(t *testing.T) {
	r := newLateServer(t, false)
	p := backend.NewPool()
	defer p.Close()
	for n := range int64(3) {
		got, err := r.askIncarnation(p, "s", "", "/call")
		assert.NilError(t, err)
		assert.Equal(t, got, "/call")
		assert.Equal(t, r.connections.Load(), n+1)
	}
}
