package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// sendRaw sends a plain request without an HTTP client, over a connection of its own, and reads
// nothing.
func (h *harness) sendRaw(id string) net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "GET /rates/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", protocol.Headers.RequestID, id)
	assert.NilError(h.t, err)
	return c
}

// setTimeout sets the timeout and the target of a route.
func (h *harness) setTimeout(name string, d time.Duration) {
	table := *h.gateway.table.Load()
	table.Version++
	table.Routes = slices.Clone(table.Routes)
	for i := range table.Routes {
		if table.Routes[i].Name == name {
			table.Routes[i].Timeout, table.Routes[i].Target = d, d
		}
	}
	table.Index()
	h.gateway.setTable(&table)
}

// setMaxConnections sets the maximum number of connections of a service.
func (h *harness) setMaxConnections(service string, n int) {
	table := *h.gateway.table.Load()
	table.Version++
	table.Services = slices.Clone(table.Services)
	for i := range table.Services {
		if table.Services[i].Name == service {
			table.Services[i].MaxConnections = n
		}
	}
	table.Index()
	h.gateway.setTable(&table)
}

const largeAnswer = 12 << 20

// newLargeAnswerHarness returns a harness whose plain server sends answers larger than any TCP
// window.
func newLargeAnswerHarness(t *testing.T) *harness {
	t.Helper()
	s := &scriptedEngines{harness: newHarness(t)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "s")
		_, _ = io.WriteString(w, strings.Repeat("x", largeAnswer))
	}))
	t.Cleanup(server.Close)
	s.register("plain", "a", strings.TrimPrefix(server.URL, "http://"), "")
	s.setTimeout("rates", time.Minute) // transferring so large an answer is slow on a busy machine
	return s.harness
}

// TestUnreadAnswerIsReleased checks that a caller that stops reading a plain answer is
// disconnected, and that the memory held for it is released. The answer of a plain service is
// buffered until its caller has read it; if the time of the write were not bounded, as it is for
// streams, a stalled caller would keep the answer in memory as long as its connection exists.
func TestUnreadAnswerIsReleased(t *testing.T) {
	t.Parallel()
	h := newLargeAnswerHarness(t)
	h.sendRaw("q")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.gateway.Active() == 0 {
			return poll.Continue("the request has not arrived")
		}
		return poll.Success()
	})
	h.waitIdle(callerTimeout + 10*time.Second)
}

// waitIdle waits until the gateway has no requests.
func (h *harness) waitIdle(within time.Duration) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if n := h.gateway.Active(); n > 0 {
			return poll.Continue("%d answers are held", n)
		}
		return poll.Success()
	}, poll.WithTimeout(within))
}

// TestSlowCallerGetsCompleteAnswer checks that a caller that continues to read gets its complete
// answer, although that takes longer than a caller may read nothing.
func TestSlowCallerGetsCompleteAnswer(t *testing.T) {
	t.Parallel()
	h := newLargeAnswerHarness(t)
	br := bufio.NewReaderSize(h.sendRaw("q"), 4<<10)
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	const parts = 12
	for range parts {
		time.Sleep((callerTimeout + 2*time.Second) / parts)
		n, err := io.CopyN(io.Discard, resp.Body, largeAnswer/parts)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(largeAnswer/parts))
	}
}
