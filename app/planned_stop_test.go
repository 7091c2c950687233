package app_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
)

// pipeListener accepts in-memory connections, on which a write waits until the other end has read
// all of it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(t *testing.T) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	l.conns <- server
	return client
}

// readUntil reads byte by byte until the text that was read ends with end.
func readUntil(t *testing.T, r io.Reader, end string) string {
	t.Helper()
	var got strings.Builder
	var b [1]byte
	for !strings.HasSuffix(got.String(), end) {
		_, err := io.ReadFull(r, b[:])
		assert.NilError(t, err, got.String())
		got.WriteByte(b[0])
	}
	return got.String()
}

func rawRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s",
		method, path, app.DevDeskToken, len(body), body)
}

// TestPlannedStopCompletesUnreadAnswers stops an entry when the work for a request has ended, but
// its caller has not read the end of the answer. It guards against a stop that cuts complete
// answers.
func TestPlannedStopCompletesUnreadAnswers(t *testing.T) {
	prompt := fmt.Sprintf(`{"model":%q,"max_tokens":3,"messages":[{"role":"user","content":"x"}]`, app.DevModel)
	tests := []struct {
		name, method, path, body string
		readFirst, end           string
	}{
		{"a stream", "POST", "/v1/chat/completions", prompt + `,"stream":true}`, `"finish_reason":"`, "[DONE]\n\n"},
		{"an answer in one piece", "POST", "/v1/chat/completions", prompt + "}", "HTTP/1.1 200 OK", "}}"},
		{"a call that may be repeated", "GET", "/services/licence/rates", "", "HTTP/1.1 200 OK", ""},
		{"a call that runs once", "POST", "/services/licence/checkout", `{"seat":"a"}`, "HTTP/1.1 200 OK", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := startDev(t, app.DevOptions{})
			ln := newPipeListener()
			d.ServeCallers(ln)
			conn := ln.dial(t)
			go func() { _, _ = io.WriteString(conn, rawRequest(tt.method, tt.path, tt.body)) }()
			first := readUntil(t, conn, tt.readFirst)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := d.OpenRequests(); n > 0 {
					return poll.Continue("%d open requests", n)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))

			stopped := make(chan struct{})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			go func() {
				defer close(stopped)
				d.StopFirstEntry(ctx)
			}()
			select {
			case <-stopped:
			case <-time.After(300 * time.Millisecond):
			}
			resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(first), conn)), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err, "the answer was cut after %q", body)
			assert.Assert(t, strings.HasSuffix(string(body), tt.end), "%s", body)
			<-stopped
		})
	}
}

// TestPlannedStopWaitsForRequestsOnly stops an entry that has connections without a complete
// request. It guards against a stop that takes as long as these connections stay open, and against
// one that leaves a caller without an answer while it still sends its request.
func TestPlannedStopWaitsForRequestsOnly(t *testing.T) {
	partial := strings.Replace(rawRequest("POST", "/services/licence/checkout", "{}"), "Content-Length: 2", "Content-Length: 200", 1)
	tests := []struct {
		name, sent string
		status     int // zero for no answer
	}{
		{"nothing sent", "", 0},
		{"a part of the header", "POST /v1/chat/completions HTTP/1.1\r\n", 0},
		{"a part of the body", partial, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := startDev(t, app.DevOptions{})
			ln := newPipeListener()
			d.ServeCallers(ln)
			conn := ln.dial(t)
			_, err := io.WriteString(conn, tt.sent)
			assert.NilError(t, err)
			answer := make(chan int, 1)
			go func() {
				status := 0
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					status = resp.StatusCode
				}
				answer <- status
			}()
			began := time.Now()
			d.StopFirstEntry(t.Context())
			assert.Assert(t, time.Since(began) < 4*time.Second, "the stop took %v", time.Since(began))
			assert.Equal(t, <-answer, tt.status)
		})
	}
}
