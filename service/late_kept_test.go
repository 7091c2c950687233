package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/service"
)

// newLateServer repeats the first answer before the answer to the second request.
func newLateServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				before := ""
				for n := 1; ; n++ {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if n == 2 {
						_, _ = io.WriteString(c, before)
					}
					before = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.RequestURI), req.RequestURI)
					_, _ = io.WriteString(c, before)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLateAnswerIsNotReturnedOnKeptConnection guards against a late second answer to one call
// that is returned as the answer to the next one.
func TestLateAnswerIsNotReturnedOnKeptConnection(t *testing.T) {
	c := service.NewClient(newLateServer(t))
	for _, path := range []string{"/first", "/second"} {
		a, _, err := c.Do(t.Context(), service.Call{Method: "GET", Path: path})
		assert.Check(t, err != nil || string(a.Body) == path, "%s has the answer to %s", path, a.Body)
	}
}
