package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

// startIncarnation starts a stand-in as an incarnation of a server, and delivers its first report.
func (h *harness) startIncarnation(service, name, role string, born int64) *standin.Backend {
	h.t.Helper()
	b, err := h.group.StartBackend("127.0.0.1:0", name, role, backend.DefaultHeaders)
	assert.NilError(h.t, err)
	h.t.Cleanup(b.Kill)
	h.gateway.links.handle("replica", &wire.Message{Servers: &wire.Servers{List: []registry.Server{{
		ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: service, Address: b.Addr(), Zone: "z", State: registry.Ready, Role: role, Sequence: 1,
	}}}})
	return b
}

// sendToHangingServer sends a request and waits until it is at a server that never answers.
func (h *harness) sendToHangingServer(path string) chan reply {
	old := h.startIncarnation("plain", "s", "", 1000)
	old.SetFault(func(*http.Request) standin.Fault { return standin.Hang })
	done := make(chan reply, 1)
	go func() { done <- h.send("POST", path, "1", "x", nil) }()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if old.Running() == 0 {
			return poll.Continue("the request has not arrived")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	return done
}

// TestRequestsEndWhenServerRestarts checks that a request at a server that has become silent ends
// as soon as the next incarnation of the server reports itself: a repeatable request continues
// there, any other is not sent again.
func TestRequestsEndWhenServerRestarts(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		runs   int
	}{
		{"/rates/1", http.StatusOK, 1},
		{"/seats/1", http.StatusBadGateway, 0},
	} {
		h := newHarness(t)
		done := h.sendToHangingServer(c.path)
		restarted := h.startIncarnation("plain", "s", "", 2000)
		got := <-done
		assert.Equal(t, got.status, c.status, c.path)
		assert.Equal(t, runCount(restarted), c.runs, c.path)
	}
}

// TestRequestWaitsForFirstServers checks that a request that arrives between the first table and
// the first report of servers, which control sends later, is served and not refused: all gateways
// are in that state after an outage, and a refused caller retries only a second later.
func TestRequestWaitsForFirstServers(t *testing.T) {
	h := newHarness(t)
	done := make(chan reply, 2)
	for _, path := range []string{"/rates/1", "/seats/1"} {
		go func() { done <- h.send("POST", path, path, "x", nil) }()
	}
	time.Sleep(60 * time.Millisecond)
	h.add("plain", "s", "")
	for range 2 {
		assert.Equal(t, (<-done).status, http.StatusOK)
	}
}

// TestMissingServersAreReportedAtOnceLater checks that a request to a service without servers is
// refused in time while a gateway is new, and at once later.
func TestMissingServersAreReportedAtOnceLater(t *testing.T) {
	h := newHarness(t)
	begin := time.Now()
	assert.Equal(t, h.send("POST", "/rates/1", "1", "x", nil).status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < 900*time.Millisecond)
	begin = time.Now()
	assert.Equal(t, h.send("POST", "/rates/2", "2", "x", nil).status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
}

// TestRequestsEndWhenRestartIsReportedWithoutAddress checks that a request at a server that has
// become silent also ends at a gateway that is only notified when the next incarnation began, not
// of its address: a repeatable request continues at another server.
func TestRequestsEndWhenRestartIsReportedWithoutAddress(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		runs   int
	}{
		{"/rates/1", http.StatusOK, 1},
		{"/seats/1", http.StatusBadGateway, 0},
	} {
		h := newHarness(t)
		done := h.sendToHangingServer(c.path)
		other := h.startIncarnation("plain", "other", "", 1000)
		reported := registry.Server{ID: registry.IncarnationID("s", 1000), Name: "s", Born: 1000, Next: 2000}
		h.gateway.links.handle("replica", &wire.Message{Servers: &wire.Servers{List: []registry.Server{reported.Published()}}})
		select {
		case got := <-done:
			assert.Equal(t, got.status, c.status, c.path)
		case <-time.After(time.Second):
			t.Fatalf("%s still waits for the earlier incarnation", c.path)
		}
		assert.Equal(t, runCount(other), c.runs, c.path)
	}
}
