package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	fleetstate "github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

// addInZone starts a server in an availability zone and registers it.
func (h *harness) addInZone(zone, service, id, role string) *standin.Backend {
	h.t.Helper()
	b, err := h.group.StartBackend("127.0.0.1:0", id, role, backend.DefaultHeaders)
	assert.NilError(h.t, err)
	h.t.Cleanup(b.Kill)
	h.servers[id] = b
	h.lastSequence++
	h.gateway.fleet.update(&wire.Servers{List: []registry.Server{{
		ID: id, Service: service, Address: b.Addr(), Zone: zone, State: registry.Ready, Role: role, Sequence: h.lastSequence,
	}}}, nil)
	return b
}

func (h *harness) evacuate(number uint64, zones ...string) {
	m := &wire.Evacuated{Number: number}
	for _, z := range zones {
		m.Zones = append(m.Zones, fleetstate.EvacuatedZone{Zone: z, Since: 1})
	}
	h.gateway.updateEvacuated(m)
}

// TestRetryTimeIsBoundedWithoutEngines refuses a request while all decode engines are evacuated and
// a server of another service has asked for a pause. It guards against a pause of no engine that is
// taken for the longest one: callers were told to return after 292 years.
func TestRetryTimeIsBoundedWithoutEngines(t *testing.T) {
	h := newHarness(t)
	h.addInZone("z", "plain", "a", "").SetSelfReport(standin.RejectFor("30"))
	h.addInZone("z", "llm", "p", registry.Prefill)
	h.addInZone("y", "llm", "e", registry.Decode)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "rate", "", nil).status, http.StatusServiceUnavailable)
	h.evacuate(2, "y")
	got := h.send(http.MethodPost, "/desk/1", "desk", "x", workHeaders)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 0.5 && seconds <= 4.5, "%v", seconds)
}

// TestEvacuatedZoneGetsNoNewRequests evacuates the gateway's own zone while a stream runs there:
// the stream ends complete, nothing else reaches the servers of the zone (no request, prompt, hold
// or query), a late report of an earlier state changes nothing, and the zone serves again after the
// evacuation.
func TestEvacuatedZoneGetsNoNewRequests(t *testing.T) {
	h := newHarness(t)
	own := []*standin.Backend{h.addInZone("z", "plain", "a", ""), h.addInZone("z", "llm", "p", registry.Prefill), h.addInZone("z", "llm", "d", registry.Decode)}
	h.addInZone("y", "plain", "b", "")
	h.addInZone("y", "llm", "q", registry.Prefill)
	h.addInZone("y", "llm", "e", registry.Decode)
	begun := make(chan struct{})
	own[2].SetFault(func(req *http.Request) standin.Fault {
		if isDecode(req) && strings.HasPrefix(req.URL.Path, "/desk/") {
			close(begun)
			time.Sleep(100 * time.Millisecond)
		}
		return standin.NoFault
	})
	done := make(chan reply)
	go func() { done <- h.send(http.MethodPost, "/desk/1", "first", "x", workHeaders) }()
	<-begun
	arrivals := func() int {
		n := 0
		for _, b := range own {
			n += len(b.Arrivals())
		}
		return n
	}
	before := arrivals()
	h.evacuate(2, "z")
	for i := range 10 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint("rate-", i), "", nil).status, http.StatusOK)
		got := h.send(http.MethodPost, "/desk/2", fmt.Sprint("desk-", i), "x", workHeaders)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, completeStream())
	}
	got := <-done
	assert.Equal(t, got.body, completeStream())
	h.evacuate(1) // arrives late
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "late", "", nil).status, http.StatusOK)
	assert.Equal(t, arrivals(), before)
	h.evacuate(3)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "again", "", nil).status, http.StatusOK)
	assert.Assert(t, arrivals() > before)
}

// TestRequestIsRefusedIfAllZonesAreEvacuated checks that a request is refused at once as not run if
// no zone remains.
func TestRequestIsRefusedIfAllZonesAreEvacuated(t *testing.T) {
	h := newHarness(t)
	b := h.addInZone("z", "plain", "a", "")
	h.evacuate(1, "z")
	past := time.Now().Add(-time.Minute)
	h.gateway.tableReadyAt.Store(&past)
	got := h.send(http.MethodGet, "/rates/1", "id", "", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.Arrivals()), 0)
}

// suspend makes the gateway detect that its process was suspended.
func (h *harness) suspend() {
	l := h.gateway.links
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTick = h.gateway.clock.Now().Add(-suspendedAfter)
	l.detectSuspension(h.gateway.clock.Now())
}

// evacuateDuringSuspension lets a replica that a gateway has linked to suspend it by the given function,
// and evacuate a zone before the gateway has opened its link anew.
func (h *harness) evacuateDuringSuspension(zone string, before func()) {
	h.t.Helper()
	accepted := make(chan *wire.Link, 10)
	server := httptest.NewServer(wire.Handler(slog.New(slog.DiscardHandler), wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "control", Role: wire.RoleControl} }}, func(l *wire.Link) {
		accepted <- l
		_ = l.Run(h.t.Context(), func(*wire.Message) {})
	}))
	h.t.Cleanup(server.Close)
	h.gateway.SetSeeds([]string{strings.TrimPrefix(server.URL, "http://")})
	first := <-accepted
	assert.NilError(h.t, first.Send(&wire.Message{Routes: &wire.Routes{Version: 1, Confirmed: true}}))
	before()
	h.suspend()
	go func() {
		reopened := <-accepted
		time.Sleep(50 * time.Millisecond)
		_ = reopened.Send(&wire.Message{Evacuated: &wire.Evacuated{Number: 1, Zones: []fleetstate.EvacuatedZone{{Zone: zone}}}})
		_ = reopened.Send(&wire.Message{Routes: &wire.Routes{Version: 1, Confirmed: true}})
	}()
}

// TestSuspendedGatewayWaitsForCurrentState suspends a gateway while a zone is evacuated. The
// gateway waits for the current state before it sends a request: its first request after the
// suspension goes to the other zone.
func TestSuspendedGatewayWaitsForCurrentState(t *testing.T) {
	h := newHarness(t)
	a := h.addInZone("z", "plain", "a", "")
	h.addInZone("y", "plain", "b", "")
	before := 0
	h.evacuateDuringSuspension("z", func() {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", "before", "", nil).status, http.StatusOK)
		before = len(a.Arrivals())
	})
	for i := range 10 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint("after-", i), "", nil).status, http.StatusOK)
	}
	assert.Equal(t, len(a.Arrivals()), before)
}

// TestInterruptedRequestsWaitForCurrentState guards against a request that was in progress when its
// gateway was suspended, and then goes on to a server of a zone that was evacuated meanwhile.
func TestInterruptedRequestsWaitForCurrentState(t *testing.T) {
	const requests = 6
	h := newHarness(t)
	h.setTimeout("rates", 5*time.Second)
	first := h.addInZone("x", "plain", "first", "")
	first.SetFault(func(*http.Request) standin.Fault { return standin.Hang })
	done := make(chan reply, requests)
	var a *standin.Backend
	h.evacuateDuringSuspension("z", func() {
		for i := range requests {
			go func() { done <- h.send(http.MethodGet, "/rates/1", fmt.Sprint("q", i), "", nil) }()
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := first.Running(); n < requests {
				return poll.Continue("%d requests run", n)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
		a = h.addInZone("z", "plain", "a", "")
		h.addInZone("y", "plain", "b", "")
	})
	first.Kill()
	served := 0
	for range requests {
		if got := <-done; got.status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, len(a.Arrivals()), 0)
	assert.Assert(t, served > 0, "no request went on to another server")
}

// TestLinkOpenedDuringSuspensionIsClosed checks that a link that began to open before the process
// was suspended is closed, and that what it delivers does not count as current. If the gateway is
// suspended just after a replica has accepted its link, and before the gateway itself has seen
// that, the messages that the replica has sent by then arrive after the suspension. If they counted
// as current, requests would not wait, and would go to a zone that was evacuated meanwhile.
func TestLinkOpenedDuringSuspensionIsClosed(t *testing.T) {
	h := newHarness(t)
	l := h.gateway.links
	link, other := openLink(t)
	dialedAt := h.gateway.clock.Now()
	time.Sleep(time.Millisecond)
	h.suspend()
	p := &peer{stop: func() {}}
	l.mu.Lock()
	l.peers["a"] = p
	l.mu.Unlock()
	l.setLink("a", p, link, dialedAt)
	l.confirmCurrent("a")
	l.mu.Lock()
	waiting := l.current != nil
	l.mu.Unlock()
	assert.Assert(t, waiting, "an old report counts as current")
	select {
	case <-other:
	case <-time.After(5 * time.Second):
		t.Fatal("the link is still open")
	}
}

// openLink returns a link, and a channel that is closed when it ends.
func openLink(t *testing.T) (*wire.Link, <-chan struct{}) {
	t.Helper()
	ended := make(chan struct{})
	server := httptest.NewServer(wire.Handler(slog.New(slog.DiscardHandler), wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "control", Role: wire.RoleControl} }}, func(l *wire.Link) {
		_ = l.Run(context.Background(), func(*wire.Message) {})
		close(ended)
	}))
	t.Cleanup(server.Close)
	link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "g", Role: wire.RoleGateway} }})
	assert.NilError(t, err)
	return link, ended
}

// TestSuspendedGatewayServesWithoutControl checks that a gateway that was suspended and reaches no
// replica continues with the state it has.
func TestSuspendedGatewayServesWithoutControl(t *testing.T) {
	h := newHarness(t)
	h.addInZone("z", "plain", "a", "")
	h.suspend()
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "id", "", nil).status, http.StatusOK)
}
