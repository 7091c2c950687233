package backend_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// TestAnswersBeforeBodyIsRead guards against an answer without a length that passes for whole
// although its connection was lost in its middle, while the server had not read a long body: the
// write of the body takes the error from the kernel. A sound server may answer before it reads the
// body, and read it later.
func TestAnswersBeforeBodyIsRead(t *testing.T) {
	answer := strings.Repeat("a", 8000)
	half := func(c net.Conn) { _, _ = io.WriteString(c, answer[:len(answer)/2]) }
	all := func(c net.Conn) { _, _ = io.WriteString(c, answer) }
	readBody := func(c net.Conn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	for _, tt := range []struct {
		name  string
		body  int
		play  func(c net.Conn, body io.Reader)
		whole bool
	}{
		{"reset in the middle", 4 << 20, func(c net.Conn, _ io.Reader) { half(c); time.Sleep(20 * time.Millisecond); reset(c) }, false},
		{"closed in the middle", 4 << 20, func(c net.Conn, _ io.Reader) { half(c); time.Sleep(20 * time.Millisecond); _ = c.Close() }, false},
		{"reset in the middle, short body", 64 << 10, func(c net.Conn, _ io.Reader) { half(c); time.Sleep(20 * time.Millisecond); reset(c) }, false},
		{"reset in the middle, body read", 4 << 20, func(c net.Conn, b io.Reader) { half(c); readBody(c, b); reset(c) }, false},
		{"ended, then read", 4 << 20, func(c net.Conn, b io.Reader) {
			all(c)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			readBody(c, b)
		}, true},
		{"ended, then closed", 4 << 20, func(c net.Conn, _ io.Reader) {
			all(c)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 10 {
				body, err := playUnreadBody(t, tt.body, tt.play)
				if tt.whole {
					assert.NilError(t, err)
					assert.Assert(t, body == answer, "%d of %d bytes", len(body), len(answer))
				} else {
					assert.Assert(t, err != nil, "%d of %d bytes pass for a whole answer", len(body), len(answer))
				}
			}
		})
	}
	t.Run("read after a pause", func(t *testing.T) {
		t.Parallel()
		body, err := playUnreadBody(t, 4<<20, func(c net.Conn, b io.Reader) {
			half(c)
			time.Sleep(2200 * time.Millisecond) // longer than a server may acknowledge nothing
			readBody(c, b)
			_, _ = io.WriteString(c, answer[len(answer)/2:])
			_ = c.Close()
		})
		assert.NilError(t, err)
		assert.Equal(t, len(body), len(answer))
	})
}

// playUnreadBody sends a request with a body to a server that sends the head of an answer without a
// length before it reads the body and then does what play says. It returns the body of the answer.
func playUnreadBody(t *testing.T, size int, play func(c net.Conn, body io.Reader)) (string, error) {
	t.Helper()
	r := newRawServer(t, func(_ *rawServer, _ int64, c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		br := bufio.NewReaderSize(c, 512)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+backend.DefaultHeaders.RequestID+": one\r\nConnection: close\r\n\r\n")
		play(c, req.Body)
	})
	p := backend.NewPool()
	defer p.Close()
	req := backend.Request{
		Address: r.ln.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", ID: "one", MaxConnections: 1,
		Body: bytes.Repeat([]byte("b"), size), Header: http.Header{backend.DefaultHeaders.RequestID: {"one"}},
	}
	a, err := p.Do(t.Context(), &backend.DefaultHeaders, req)
	if err != nil {
		return "", err
	}
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}
