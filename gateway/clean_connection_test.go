package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// TestOnceRequestsNeedTrustedServerToReuseConnection checks that a request that may run only once
// uses the connection of an earlier one, but not at a server that failed at another gateway: on a
// new connection it is not lost if the server is down.
func TestOnceRequestsNeedTrustedServerToReuseConnection(t *testing.T) {
	h := newHarness(t)
	connections := map[string]bool{}
	kept := 0 // requests are sent one after the other
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/seats/") && connections[r.RemoteAddr] {
			kept++
		}
		connections[r.RemoteAddr] = true
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "signed")
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	h.register("plain", "s1", strings.TrimPrefix(server.URL, "http://"), "")
	for n := range 20 {
		assert.Equal(t, h.send("POST", "/seats/1", fmt.Sprint("q", n), "x", nil).status, 200)
	}
	assert.Assert(t, kept > 0)
	h.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Evidence: map[string]dispatch.Evidence{"s1": {Bad: 1, Gateways: 1}}})
	kept = 0
	for n := range 5 {
		assert.Equal(t, h.send("POST", "/seats/1", fmt.Sprint("r", n), "x", nil).status, 200)
	}
	assert.Equal(t, kept, 0)
}
