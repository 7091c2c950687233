package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/standin"
)

// TestHalfClosedCallerGetsNoSuccess has callers close their sending side before their answer is
// complete, and read on: a plain request was answered with an empty 200 that no server had sent.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for _, c := range []struct {
		name, path, version string
		// begins is set if a part of the answer arrives first.
		begins bool
	}{
		{"repeatable", "/rates/1", "1.1", false},
		{"once", "/seats/1", "1.1", false},
		{"repeatable, HTTP/1.0", "/rates/1", "1.0", false},
		{"stream without an event", "/review/1", "1.1", false},
		{"stream", "/review/1", "1.1", true},
		{"stream, HTTP/1.0", "/review/1", "1.0", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			hang := func(*http.Request) standin.Fault { return standin.Hang }
			h.add("plain", "s1", "").SetFault(hang)
			h.add("llm", "p1", "prefill")
			d := h.add("llm", "d1", "decode")
			if c.begins {
				d.SetPace(0, 400*time.Millisecond, eventCount)
			} else {
				d.SetFault(hang)
			}
			conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\n%s: q1\r\n%s: 1000,500\r\nContent-Length: 1\r\n\r\nx", c.path, c.version, protocol.Headers.RequestID, protocol.Headers.Tokens)
			var got bytes.Buffer
			if c.begins {
				for !bytes.Contains(got.Bytes(), []byte("event 1")) {
					part := make([]byte, 1024)
					n, err := conn.Read(part)
					assert.NilError(t, err)
					got.Write(part[:n])
				}
			} else {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if runCount(h.servers["s1"], d) == 0 {
						return poll.Continue("not running")
					}
					return poll.Success()
				})
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
			_, err = io.Copy(&got, conn)
			switch {
			case !c.begins:
				assert.Equal(t, got.String(), "")
			case c.version == "1.0":
				assert.ErrorContains(t, err, "reset", "%q", got.String())
			default:
				assert.Assert(t, !bytes.HasSuffix(got.Bytes(), []byte("\r\n0\r\n\r\n")), "%q", got.String())
			}
		})
	}
}
