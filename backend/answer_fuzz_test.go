package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// FuzzAnswer feeds arbitrary bytes to the reader of servers' answers: a request must never
// get an answer that names another request, and must end when the server closes.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		completeAnswer("1", "", "b"), completeAnswer("2", "", "c") + completeAnswer("1", "Keep-Alive: timeout=5\r\n", "b"), "HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer("1", "", "b"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", "HTTP/1.0 503 x\r\n\r\nopen", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "",
	} {
		f.Add([]byte(seed))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = ln.Close() })
	answers := make(chan []byte, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(<-answers)
			}
			_ = c.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		answers <- data
		p := backend.NewPool()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req := backend.Request{Address: ln.Addr().String(), Method: "GET", Target: "/x", Host: "h", ID: "1", Header: http.Header{}}
		a, err := p.Do(ctx, &backend.DefaultHeaders, req)
		if err == nil {
			named := a.Header.Get(backend.DefaultHeaders.RequestID)
			assert.Assert(t, a.Status >= 200 && (named == "" || named == "1"), "%d %q", a.Status, named)
			_, _ = a.ReadAll(1 << 20)
		}
		assert.NilError(t, ctx.Err())
	})
}
