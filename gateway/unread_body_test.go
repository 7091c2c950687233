package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// TestStreamCutBeforePromptIsReadIsNotComplete guards against a stream without a length that looks
// complete although its connection was reset between two events, while its engine had not read the
// end of a long prompt. One that ends in order is complete.
func TestStreamCutBeforePromptIsReadIsNotComplete(t *testing.T) {
	const events = 20
	for _, cut := range []bool{true, false} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			s := &scriptedEngines{harness: newHarness(t)}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go streamUnread(c, events, cut)
				}
			}()
			table := *s.gateway.table.Load()
			table.Version++
			table.Limits.BodyBytes = 8 << 20
			table.Index()
			s.gateway.setTable(&table)
			s.register("llm", "d1", ln.Addr().String(), registry.Decode)
			got := s.send("POST", "/review/1", "q1", strings.Repeat("x", 4<<20), workHeaders)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, strings.Count(got.body, "id: "), events)
			assert.Equal(t, got.truncated, cut)
		})
	}
}

// streamUnread answers the request of a connection with a number of events before it reads the body;
// then it resets the connection, or ends its side and reads.
func streamUnread(c net.Conn, events int, cut bool) {
	defer func() { _ = c.Close() }()
	tcp := c.(*net.TCPConn)
	_ = tcp.SetReadBuffer(16 << 10)
	req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	h := &protocol.Headers
	if req.ContentLength < 1<<20 {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", h.RequestID, req.Header.Get(h.RequestID))
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", h.RequestID, req.Header.Get(h.RequestID), h.Signature)
	for n := range events {
		_, _ = fmt.Fprintf(c, "id: %d\ndata: %d\n\n", n+1, n+1)
	}
	if cut {
		time.Sleep(50 * time.Millisecond)
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, req.Body)
}
