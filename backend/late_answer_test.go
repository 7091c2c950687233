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

// aheadTime is how long a server of these tests waits for a further request before it sends
// the previous answer. The result of no test depends on it.
const aheadTime = 100 * time.Millisecond

// newLateServer returns a server that answers each request with its target. Before the answer
// to the second request on a connection, it repeats the answer to the first; if ahead is
// set, it sends the right one only after a further request has arrived.
func newLateServer(t *testing.T, ahead bool) *rawServer {
	return newRawServer(t, func(_ *rawServer, _ int64, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		var before string
		for n := 1; ; n++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			answer := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n"
			if id := req.Header.Get(backend.DefaultHeaders.RequestID); id != "" {
				answer += backend.DefaultHeaders.RequestID + ": " + id + "\r\n"
			}
			answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(req.RequestURI), req.RequestURI)
			if n == 2 {
				_, _ = io.WriteString(c, before)
			}
			if ahead && n > 1 {
				_ = c.SetReadDeadline(time.Now().Add(aheadTime))
				_, _ = br.Peek(1)
				_ = c.SetReadDeadline(time.Time{})
			}
			_, _ = io.WriteString(c, answer)
			before = answer
		}
	})
}

// ask sends a request, without an ID if id is empty, and returns the body of its answer.
func (r *rawServer) ask(p *backend.Pool, id, target string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req := backend.Request{Address: r.ln.Addr().String(), Method: "POST", Target: target, Host: "h", ID: id, Header: http.Header{}}
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

// lateCase is two requests over one connection; those without an ID are the gateway's own
// calls.
type lateCase struct{ name, first, second string }

// check checks that the second request gets its own answer, or an error.
func (c lateCase) check(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s, ahead %v", c.name, ahead), func(t *testing.T) {
			r := newLateServer(t, ahead)
			p := backend.NewPool()
			defer p.Close()
			got, err := r.ask(p, c.first, "/first")
			assert.NilError(t, err)
			assert.Equal(t, got, "/first")
			if got, err = r.ask(p, c.second, "/second"); err == nil {
				assert.Equal(t, got, "/second")
			}
		})
	}
}

// checkAfter checks that requests after a late answer on their connection get their own
// answers, or errors; each is sent before the previous answer has arrived.
func checkAfter(t *testing.T, id func(n int) string) {
	t.Helper()
	r := newLateServer(t, true)
	p := backend.NewPool()
	defer p.Close()
	for n := range 6 {
		target := fmt.Sprint("/", n)
		got, err := r.ask(p, id(n), target)
		assert.Check(t, err != nil || got == target, "%s got the answer to %s", target, got)
	}
}

// TestLateAnswerIsNotReturnedToNextRequest guards against a late answer to an earlier
// request on a kept connection that is returned for a later request with another ID.
func TestLateAnswerIsNotReturnedToNextRequest(t *testing.T) {
	lateCase{"a request after a request", "one", "two"}.check(t)
	t.Run("what follows", func(t *testing.T) {
		checkAfter(t, func(n int) string { return fmt.Sprint("q", n) })
	})
}

// TestLateAnswerIsNotMatchedWithoutID guards against the same where an ID does not help: one
// of the two is a call, or both are sends of one request.
func TestLateAnswerIsNotMatchedWithoutID(t *testing.T) {
	for _, tt := range []lateCase{
		{"a call after a request", "one", ""},
		{"a request after a call", "", "two"},
		{"a call after a call", "", ""},
		{"a request that is sent again", "one", "one"},
	} {
		tt.check(t)
	}
}

// TestAnswersStayInOrderAfterLateAnswer guards against a late answer that shifts all later
// answers on its connection by one.
func TestAnswersStayInOrderAfterLateAnswer(t *testing.T) {
	tests := []struct {
		name string
		id   func(n int) string
	}{
		{"calls", func(int) string { return "" }},
		{"calls and requests", func(n int) string { return []string{"", fmt.Sprint("q", n)}[n%2] }},
		{"one request again and again", func(int) string { return "q" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkAfter(t, tt.id) })
	}
}
