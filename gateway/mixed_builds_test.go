package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// startOldReplica starts a replica of an older build: it sends the hello of that build, then
// reports the usage of limits until it is stopped.
func startOldReplica(t *testing.T) (at string, stop func()) {
	t.Helper()
	hello, err := os.ReadFile(filepath.Join("..", "wire", "testdata", "55b4ff8", "hello-control.cbor"))
	assert.NilError(t, err)
	use, err := wire.Marshal(&wire.Message{Use: &quota.UsageUpdate{Whole: true, Together: 1, Alone: 0.1}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		go func() {
			for frame := hello; conn.Write(ctx, websocket.MessageBinary, frame) == nil; frame = use {
				time.Sleep(20 * time.Millisecond)
			}
		}()
		for {
			if _, _, err := conn.Read(ctx); err != nil {
				return
			}
		}
	}))
	stop = func() {
		cancel()
		server.Close()
	}
	t.Cleanup(stop)
	return address(server), stop
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestServesWithReplicasOfOtherBuilds checks that a gateway serves from the state it has while it
// reaches only a replica of an older build and one without a common version, and when only the
// latter remains.
func TestServesWithReplicasOfOtherBuilds(t *testing.T) {
	h := newHarness(t)
	h.setOrganisations(2, newOrganisation("one", "key1"))
	h.add("plain", "a", "")
	incompatible := httptest.NewServer(wire.Handler(slog.New(slog.DiscardHandler), wire.Options{
		Hello:    func() wire.Hello { return wire.Hello{Name: "apart", Role: wire.RoleControl} },
		Versions: compat.Single(wire.Versions.Most + 1),
	}, func(*wire.Link) { t.Error("a link without a common version") }))
	t.Cleanup(incompatible.Close)
	old, stop := startOldReplica(t)
	h.gateway.SetSeeds([]string{address(incompatible), old})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.gateway.links.usageKnown() && h.gateway.links.connected() {
			return poll.Success()
		}
		return poll.Continue("not connected to the older build")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
	assertServes := func(when string) {
		t.Helper()
		for n := range 5 {
			ready, reason := h.gateway.Ready()
			assert.Assert(t, ready, "%s: %s", when, reason)
			answer := h.send("GET", "/rates/1", fmt.Sprint(when, n), "", map[string]string{"Authorization": "Bearer key1"})
			assert.Equal(t, answer.status, 200, when)
		}
	}
	assertServes("with an older build")
	assert.DeepEqual(t, h.gateway.links.openPeers(), []string{old})
	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := h.gateway.links.openPeers(); len(open) > 0 {
			return poll.Continue("still connected to %v", open)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
	assertServes("with only incompatible builds")
}
