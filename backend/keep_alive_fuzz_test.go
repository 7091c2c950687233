package backend

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzKeepAlive feeds arbitrary header fields to idleTTL. The result must never be negative.
func FuzzKeepAlive(f *testing.F) {
	for _, seed := range []string{"Keep-Alive: timeout=5, max=10", "Keep-Alive: timeout=9223372036854775807", "Keep-Alive: timeout=20000000000", "Connection: close", "Keep-Alive: timeout=-1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, fields string) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+fields+"\r\n\r\n")), nil)
		if err != nil {
			return
		}
		assert.Assert(t, idleTTL(resp) >= 0)
	})
}
