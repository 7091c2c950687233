package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// addCountingServer registers a plain server that answers requests for /seats/500 with a complete
// 500 and cuts off the answers to those for /seats/cut. kept returns the number of requests for
// /seats/ on kept connections since its last call.
func (h *harness) addCountingServer(id string) (kept func() int) {
	var mu sync.Mutex
	connections, n := map[string]bool{}, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if strings.HasPrefix(r.URL.Path, "/seats/") && connections[r.RemoteAddr] {
			n++
		}
		connections[r.RemoteAddr] = true
		mu.Unlock()
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "signed")
		switch r.URL.Path {
		case "/seats/500":
			w.WriteHeader(http.StatusInternalServerError)
		case "/seats/cut":
			w.Header().Set("Content-Length", "10") // more than is written, so that the connection is closed
		}
		_, _ = io.WriteString(w, "ok")
	}))
	h.t.Cleanup(server.Close)
	h.register("plain", id, strings.TrimPrefix(server.URL, "http://"), "")
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		out := n
		n = 0
		return out
	}
}

// reportedLost returns the losses of a server that the gateway reports to the others.
func (h *harness) reportedLost(id string) int {
	h.gateway.fleet.resendAll()
	for _, e := range h.gateway.fleet.pendingUpdate(h.gateway.clock.Now()).List {
		if e.Server == id {
			return e.Lost
		}
	}
	return 0
}

// TestOnceRequestsNeedTrustedServerToReuseConnection checks that a request that may run only once
// uses the connection of an earlier one, but not at a server that lost an answer at another gateway:
// on a new connection it is not lost if the server is down.
func TestOnceRequestsNeedTrustedServerToReuseConnection(t *testing.T) {
	h := newHarness(t)
	kept := h.addCountingServer("s1")
	for n := range 20 {
		assert.Equal(t, h.send("POST", "/seats/1", fmt.Sprint("q", n), "x", nil).status, 200)
	}
	assert.Assert(t, kept() > 0)
	h.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Evidence: map[string]dispatch.Evidence{"s1": {Bad: 1, Lost: 1, Gateways: 1}}})
	for n := range 5 {
		assert.Equal(t, h.send("POST", "/seats/1", fmt.Sprint("r", n), "x", nil).status, 200)
	}
	assert.Equal(t, kept(), 0)
}

// TestCompleteFailuresKeepConnections plays servers that answer a part of their requests with a
// complete 500, here and at another gateway. It guards against new connections because of them, and
// against a cut answer that the other gateways don't learn of.
func TestCompleteFailuresKeepConnections(t *testing.T) {
	h := newHarness(t)
	kept := h.addCountingServer("s1")
	h.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Evidence: map[string]dispatch.Evidence{"s1": {Good: 6, Bad: 1, Gateways: 1}}})
	send := func(path string, count, status int) {
		t.Helper()
		for n := range count {
			assert.Equal(t, h.send("POST", path, fmt.Sprint(path, count, n), "x", nil).status, status)
		}
	}
	send("/seats/1", 6, 200)
	kept()
	send("/seats/500", 1, 500)
	send("/seats/1", 6, 200)
	assert.Assert(t, kept() >= 4, "more are on new ones only if the machine needs cleanTime between two")
	assert.Equal(t, h.reportedLost("s1"), 0)
	send("/seats/cut", 1, 502)
	kept()
	assert.Equal(t, h.reportedLost("s1"), 1)
	send("/seats/1", 3, 200)
	assert.Equal(t, kept(), 0)
}

// TestRefusedConnectionsAreReported guards against a plain server that ended of which each gateway
// has to learn by itself.
func TestRefusedConnectionsAreReported(t *testing.T) {
	h := newHarness(t)
	server := httptest.NewServer(nil)
	server.Close()
	h.register("plain", "s1", server.Listener.Addr().String(), "")
	assert.Equal(t, h.send("POST", "/seats/1", "q", "x", nil).status, 503)
	assert.Equal(t, h.reportedLost("s1"), 1)
}
