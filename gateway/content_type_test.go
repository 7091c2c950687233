package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOtherContentTypesAreRelayed checks that a complete answer that is not an event stream is
// relayed unchanged, also if its type has a parameter that can't be parsed, or if it has none, and
// whatever its length.
func TestOtherContentTypesAreRelayed(t *testing.T) {
	for _, kind := range []string{"application/json", "application/json; charset", ""} {
		for _, size := range []int{10, 300 << 10} {
			for _, framed := range []bool{true, false} {
				t.Run(fmt.Sprintf("%q, %d bytes, framed %v", kind, size, framed), func(t *testing.T) {
					text := `{"a":"` + strings.Repeat("x", size) + `"}`
					s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
						c, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer c.Close()
						headers := protocol.Headers
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: q1\r\n%s: signed\r\nConnection: close\r\n", headers.RequestID, headers.Signature)
						if kind != "" {
							fmt.Fprintf(c, "Content-Type: %s\r\n", kind)
						}
						if framed {
							fmt.Fprintf(c, "Content-Length: %d\r\n", len(text))
						}
						fmt.Fprintf(c, "\r\n%s", text)
					})
					got := s.send("POST", "/review/1", "q1", "x", workHeaders)
					assert.Check(t, !got.truncated && got.body == text, "truncated %v, %d of %d bytes", got.truncated, len(got.body), len(text))
				})
			}
		}
	}
}
