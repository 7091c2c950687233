package boundedhttp_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/boundedhttp"
)

// TestResetAnswerIsNotComplete guards against an answer without a length that looks complete although
// its connection was reset, while the server had not read a long body.
func TestResetAnswerIsNotComplete(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			_ = tcp.SetReadBuffer(16 << 10)
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err == nil {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
				time.Sleep(20 * time.Millisecond)
			}
			_ = tcp.SetLinger(0)
			_ = c.Close()
		}
	}()
	client := &http.Client{Transport: boundedhttp.NewTransport()}
	for range 20 {
		resp, err := client.Post("http://"+ln.Addr().String()+"/", "text/plain", bytes.NewReader(make([]byte, 16<<20)))
		if err != nil {
			continue // the error of the write came before the answer
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.Assert(t, err != nil, "%q looks complete", body)
	}
}
