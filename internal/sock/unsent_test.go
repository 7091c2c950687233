package sock

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitUnsentBlocksWritesToSlowReader checks that a write to a peer that reads nothing blocks
// after some hundred KB, where the kernel would have buffered megabytes.
func TestLimitUnsentBlocksWritesToSlowReader(t *testing.T) {
	const limit = 64 << 10
	for name, limited := range map[string]bool{"limited": true, "kernel default": false} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			reader, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			defer reader.Close()
			assert.NilError(t, reader.(*net.TCPConn).SetReadBuffer(4<<10))
			c, err := ln.Accept()
			assert.NilError(t, err)
			defer c.Close()
			if limited {
				LimitUnsent(c, limit)
				LimitUnsent(tls.Server(c, nil), limit)
			}
			assert.NilError(t, c.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
			n, err := c.Write(make([]byte, 32<<20))
			assert.Assert(t, err != nil, "all bytes were accepted")
			// The reader advertised its window before its buffer was made smaller.
			assert.Equal(t, n < limit+(512<<10), limited, "%d bytes were accepted", n)
		})
	}
}
