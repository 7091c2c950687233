package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// rawServer serves each connection with a function, and counts connections and
// requests.
type rawServer struct {
	ln          net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

func newRawServer(t *testing.T, serve func(r *rawServer, n int64, c net.Conn)) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &rawServer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(r, r.connections.Add(1), c)
		}
	}()
	return r
}

// next reads one request and returns its ID.
func (r *rawServer) next(br *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	r.requests.Add(1)
	return req.Header.Get(backend.DefaultHeaders.RequestID), true
}

// answerAll returns a function that answers each request of a connection.
func answerAll(answer func(id string) string) func(r *rawServer, n int64, c net.Conn) {
	return func(r *rawServer, _ int64, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			id, ok := r.next(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id))
		}
	}
}

func completeAnswer(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", backend.DefaultHeaders.RequestID, id, len(body), extra, body)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (r *rawServer) send(p *backend.Pool, id string, change func(*backend.Request)) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req := backend.Request{Address: r.ln.Addr().String(), Method: "POST", Target: "/x", Host: "h", ID: id, Body: []byte("body"), Header: http.Header{}}
	req.Header.Set(backend.DefaultHeaders.RequestID, id)
	if change != nil {
		change(&req)
	}
	a, err := p.Do(ctx, &backend.DefaultHeaders, req)
	if err != nil {
		return "", err
	}
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

// TestKeptConnections sends two requests in sequence and checks whether the second one reused
// the connection of the first.
func TestKeptConnections(t *testing.T) {
	tests := []struct {
		name   string
		answer func(id string) string
		want   int64
	}{
		{"kept", func(id string) string { return completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b") }, 1},
		{"closing", func(id string) string { return completeAnswer(id, "Connection: close\r\n", "b") }, 2},
		{"no idle time", func(id string) string { return completeAnswer(id, "Keep-Alive: timeout=0\r\n", "b") }, 2},
		{"a byte too many", func(id string) string { return completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b") + "x" }, 2},
		{"a second answer", func(id string) string {
			return completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b") + completeAnswer("other", "", "c")
		}, 2},
		{"an answer to another request first", func(id string) string {
			return completeAnswer("other", "", "c") + completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b")
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRawServer(t, answerAll(tt.answer))
			p := backend.NewPool()
			defer p.Close()
			for _, id := range []string{"one", "two"} {
				got, err := r.send(p, id, nil)
				assert.NilError(t, err)
				assert.Equal(t, got, "b")
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, r.connections.Load(), tt.want)
		})
	}
}

// TestNeverSentTwice guards against a second send of a request that a server has read but not
// answered: the request must fail with an error that says that it was sent.
func TestNeverSentTwice(t *testing.T) {
	r := newRawServer(t, func(r *rawServer, n int64, c net.Conn) {
		br := bufio.NewReader(c)
		if id, ok := r.next(br); ok && n == 1 {
			_, _ = io.WriteString(c, completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b"))
			_, _ = r.next(br)
		}
		reset(c)
	})
	p := backend.NewPool()
	defer p.Close()
	_, err := r.send(p, "one", nil)
	assert.NilError(t, err)
	_, err = r.send(p, "two", func(q *backend.Request) { q.Method, q.Body = "GET", nil })
	var be *backend.Error
	assert.Assert(t, errors.As(err, &be) && be.Sent, "%v", err)
	assert.Equal(t, r.requests.Load(), int64(2))
}

// TestNothingSentOnResetConnection guards against a request that is lost on a new connection
// which the server resets at once: with NewConnection set, nothing may be sent.
func TestNothingSentOnResetConnection(t *testing.T) {
	r := newRawServer(t, func(r *rawServer, _ int64, c net.Conn) { reset(c) })
	p := backend.NewPool()
	defer p.Close()
	_, err := r.send(p, "one", func(q *backend.Request) { q.NewConnection = true })
	var be *backend.Error
	assert.Assert(t, errors.As(err, &be) && !be.Sent, "%v", err)
}

func TestConnectionLimit(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	r := newRawServer(t, func(r *rawServer, _ int64, c net.Conn) { <-held })
	p := backend.NewPool()
	defer p.Close()
	for range 2 {
		go func() { _, _ = r.send(p, "one", func(q *backend.Request) { q.MaxConnections = 2 }) }()
	}
	for r.connections.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := r.send(p, "three", func(q *backend.Request) { q.MaxConnections = 2 })
	assert.Assert(t, errors.Is(err, backend.ErrFull), "%v", err)
}

// TestTruncatedBodiesAreErrors guards against a truncated body that looks complete.
func TestTruncatedBodiesAreErrors(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + backend.DefaultHeaders.RequestID + ": one\r\n"
	tests := []struct {
		name     string
		write    string
		reset    bool
		complete bool
	}{
		{"length", head + "Content-Length: 2\r\n\r\nab", false, true},
		{"length, cut", head + "Content-Length: 3\r\n\r\nab", false, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false, true},
		{"chunks, cut", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false, false},
		{"to the end", head + "Connection: close\r\n\r\nab", false, true},
		{"to the end, reset", head + "Connection: close\r\n\r\nab", true, false},
		{"no answer", "nonsense\r\n\r\n", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRawServer(t, func(r *rawServer, _ int64, c net.Conn) {
				r.next(bufio.NewReader(c))
				_, _ = io.WriteString(c, tt.write)
				time.Sleep(20 * time.Millisecond)
				if tt.reset {
					reset(c)
					return
				}
				_ = c.Close()
			})
			p := backend.NewPool()
			defer p.Close()
			got, err := r.send(p, "one", nil)
			assert.Equal(t, err == nil, tt.complete, "%q %v", got, err)
		})
	}
}

// TestEarlyAnswer checks that an answer that arrives before a long body has been read is
// returned, and that the connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	r := newRawServer(t, func(r *rawServer, _ int64, c net.Conn) {
		br := bufio.NewReaderSize(c, 512)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, completeAnswer(req.Header.Get(backend.DefaultHeaders.RequestID), "Keep-Alive: timeout=5\r\n", "b"))
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, br)
	})
	p := backend.NewPool()
	defer p.Close()
	long := func(q *backend.Request) { q.Body = []byte(strings.Repeat("x", 16<<20)) }
	for _, id := range []string{"one", "two"} {
		got, err := r.send(p, id, long)
		assert.NilError(t, err)
		assert.Equal(t, got, "b")
	}
	assert.Equal(t, r.connections.Load(), int64(2))
}

// TestSilentConnectionsAreNotUsedAgain guards against requests lost one by one on kept
// connections that are all broken without a reset, while new ones work: once one times
// out, all idle connections to the server must be closed.
func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	var silent atomic.Bool
	r := newRawServer(t, func(r *rawServer, n int64, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			id, ok := r.next(br)
			if !ok {
				return
			}
			if n <= 3 && silent.Load() {
				continue // the request is lost and the connection stays open
			}
			_, _ = io.WriteString(c, completeAnswer(id, "Keep-Alive: timeout=10\r\n", "ok"))
		}
	})
	p := backend.NewPool()
	defer p.Close()
	send := func(id string, limit time.Duration) (*backend.Answer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		t.Cleanup(cancel)
		head := http.Header{}
		head.Set(backend.DefaultHeaders.RequestID, id)
		return p.Do(ctx, &backend.DefaultHeaders, backend.Request{Address: r.ln.Addr().String(), Method: "GET", Target: "/", Host: "h", Header: head, ID: id})
	}
	var open []*backend.Answer
	for i := range 3 {
		a, err := send(fmt.Sprint("first", i), 10*time.Second)
		assert.NilError(t, err)
		open = append(open, a)
	}
	for _, a := range open {
		_, err := a.ReadAll(100)
		assert.NilError(t, err)
	}
	silent.Store(true)
	_, err := send("lost", 50*time.Millisecond)
	assert.ErrorContains(t, err, "sent, but not answered")
	for i := range 4 {
		a, err := send(fmt.Sprint("next", i), 10*time.Second)
		assert.NilError(t, err, "sent over another silent connection")
		_, err = a.ReadAll(100)
		assert.NilError(t, err)
	}
	assert.Equal(t, r.connections.Load(), int64(4))
}

// TestNothingSentForDisconnectedCaller guards against requests sent for callers that have
// disconnected, on kept or new connections: the work that a server begins for them occupies
// its memory for no caller.
func TestNothingSentForDisconnectedCaller(t *testing.T) {
	r := newRawServer(t, answerAll(func(id string) string { return completeAnswer(id, "", "body") }))
	p := backend.NewPool()
	defer p.Close()
	disconnected, disconnect := context.WithCancel(t.Context())
	disconnect()
	for n := range 100 {
		_, err := r.send(p, fmt.Sprint("kept", n), nil)
		assert.NilError(t, err)
		req := backend.Request{Address: r.ln.Addr().String(), Method: "POST", Target: "/x", Host: "h", ID: fmt.Sprint("gone", n), Header: http.Header{}, NewConnection: n%2 == 0}
		_, err = p.Do(disconnected, &backend.DefaultHeaders, req)
		assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
		assert.Assert(t, !backend.WasSent(err))
		assert.Assert(t, backend.WithheldByGateway(err), "it counts as a failure of the server: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, r.requests.Load(), int64(100))
}

// TestCleanConnectionCarriesRequestThatRunsOnce checks that a request that needs a new connection
// uses a kept one only if its last answer is recent, nothing has arrived since, and no exchange
// with the server has failed: on a new connection it is not lost if the server is down.
func TestCleanConnectionCarriesRequestThatRunsOnce(t *testing.T) {
	for _, tt := range []struct {
		name        string
		within      time.Duration
		extra       string
		fails       bool
		connections int64
	}{
		{"clean", time.Minute, "", false, 1}, {"not allowed", 0, "", false, 2}, {"too old", time.Millisecond, "", false, 2},
		{"a byte too many", time.Minute, "x", false, 2}, {"another request failed", time.Minute, "", true, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			answered, failed := make(chan struct{}), make(chan error, 1)
			r := newRawServer(t, func(r *rawServer, _ int64, c net.Conn) {
				br := bufio.NewReader(c)
				for id, ok := r.next(br); ok && id != "fails"; id, ok = r.next(br) {
					_, _ = io.WriteString(c, completeAnswer(id, "Keep-Alive: timeout=5\r\n", "b")+tt.extra)
				}
				<-answered
				reset(c)
			})
			p := backend.NewPool()
			defer p.Close()
			if tt.fails {
				go func() {
					_, err := r.send(p, "fails", nil)
					failed <- err
				}()
				for r.requests.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			_, err := r.send(p, "one", nil)
			assert.NilError(t, err)
			close(answered)
			assert.Check(t, !tt.fails || <-failed != nil)
			time.Sleep(20 * time.Millisecond)
			_, err = r.send(p, "two", func(q *backend.Request) { q.NewConnection, q.CleanWithin = true, tt.within })
			assert.NilError(t, err)
			assert.Equal(t, r.connections.Load(), tt.connections)
		})
	}
}
