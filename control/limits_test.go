package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// newLimitHub returns a hub that is the only one in its group, with engines of one service,
// and the gateways that report their load to it.
func newLimitHub(t *testing.T, gateways, engines int) (*hub, []*testGateway) {
	t.Helper()
	h := newHub(nil, "", quota.Bounds{})
	h.name = "10.0.0.1:7000"
	h.limits = newLimits(clock.VM.Now().Add(-time.Minute), h.name)
	h.setReplicas([]string{h.name})
	reportEngines(h, engines, 1)
	list := connectGateways(t, h, gateways)
	for _, g := range list {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{}}))
	}
	h.awaitLoadReports(t, gateways)
	return h, list
}

func (h *hub) awaitLoadReports(t *testing.T, gateways int) {
	t.Helper()
	for reporting := 0; reporting < gateways; time.Sleep(time.Millisecond) {
		reporting = 0
		h.tick(clock.VM.Now(), true)
		h.mu.Lock()
		for _, g := range h.gateways {
			if g.reportsLoads && len(g.servers) > 0 {
				reporting++
			}
		}
		h.mu.Unlock()
	}
}

// sendLimits makes a gateway report the limits of servers.
func (g *testGateway) sendLimits(t *testing.T, rate float64, servers ...string) {
	t.Helper()
	m := &wire.Limits{}
	for _, id := range servers {
		m.Observations = append(m.Observations, wire.LimitObservation{Server: id, Named: true, Rate: rate, Sent: 20 * time.Millisecond, Heard: 10 * time.Millisecond})
	}
	assert.NilError(t, g.link.Send(&wire.Message{Limits: m}))
}

func (g *testGateway) sendAsk(t *testing.T, service string, rate float64) {
	t.Helper()
	assert.NilError(t, g.link.Send(&wire.Message{Limits: &wire.Limits{Asks: []wire.LimitAsk{{Service: service, Rate: rate}}}}))
}

// TestConnectingGatewayReceivesLimits checks that a gateway that has just connected, as after it was
// suspended, is sent all limits at once and not only once it reports its load: its requests go on as
// soon as it has the table, which is sent last.
func TestConnectingGatewayReceivesLimits(t *testing.T) {
	h, list := newLimitHub(t, 1, 3)
	id, _ := firstEngine(h)
	list[0].sendLimits(t, 4.1, id)
	list[0].wait(t, "the limit", func() bool { return list[0].limits[id].Rate == 4.1 })
	late := connectGateways(t, h, 2)[1]
	late.wait(t, "the limit", func() bool { return late.limits[id].Rate == 4.1 })
}

// TestLimitReachesAllGateways checks that a limit that one gateway reports reaches all
// others at once, and a gateway that connects later; that the role planner excludes the
// server; and that tokens go to the gateway that has requests.
func TestLimitReachesAllGateways(t *testing.T) {
	h, list := newLimitHub(t, 20, 6)
	id, service := firstEngine(h)
	before := len(h.serviceEngines(clock.VM.Now())[service])
	list[0].sendLimits(t, 4.1, id)
	for _, g := range list {
		g.wait(t, "the limit", func() bool { return g.limits[id].Rate == 4.1 })
	}
	assert.Equal(t, len(h.serviceEngines(clock.VM.Now())[service]), before-1)
	late := connectGateways(t, h, 21)[20]
	assert.NilError(t, late.link.Send(&wire.Message{Loads: &wire.Loads{}}))
	h.awaitLoadReports(t, 21)
	list[3].sendAsk(t, service, 50)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		h.tick(clock.VM.Now(), true)
		late.mu.Lock()
		known := late.limits[id].Named
		late.mu.Unlock()
		list[3].mu.Lock()
		tokens := list[3].tokens[id]
		list[3].mu.Unlock()
		if known && tokens > 0 {
			break
		}
		assert.Assert(t, time.Now().Before(end), "known %t, %d tokens", known, tokens)
	}
	for i, g := range list {
		g.mu.Lock()
		assert.Equal(t, g.tokens[id] > 0, i == 3, "gateway %d", i)
		g.mu.Unlock()
	}
}

// firstEngine returns an engine of a hub and its service.
func firstEngine(h *hub) (id, service string) {
	s := h.listServers()[0]
	return s.ID, s.Service
}

// TestLimitTrafficIsBounded simulates the gateways of one of ten replicas with 608 gateways
// in total, with fifty servers that report limits and requests at every gateway. The
// messages about limits must stay a small part of the 10 KB per second that control may
// cost a node.
func TestLimitTrafficIsBounded(t *testing.T) {
	const gateways, limited, seconds, maxBytes = 61, 50, 2, 5000
	h, list := newLimitHub(t, gateways, 60)
	var ids []string
	for _, s := range h.listServers()[:limited] {
		ids = append(ids, s.ID)
	}
	_, service := firstEngine(h)
	list[0].sendLimits(t, 4.1, ids...)
	list[1].wait(t, "the limits", func() bool { return len(list[1].limits) == limited })
	begin := make([]int, gateways)
	for i, g := range list {
		g.mu.Lock()
		begin[i] = g.limitBytes
		g.mu.Unlock()
	}
	ask, err := wire.Marshal(&wire.Message{Limits: &wire.Limits{Asks: []wire.LimitAsk{{Service: service, Rate: 4.3, Waiting: 1, Got: 17}}}})
	assert.NilError(t, err)
	askBytes := 0
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range list {
			g.sendAsk(t, service, 4.3)
			askBytes += len(ask)
		}
		h.tick(clock.VM.Now(), true)
	}
	maxReceived, sum := 0, 0
	for i, g := range list {
		g.mu.Lock()
		n := g.limitBytes - begin[i]
		g.mu.Unlock()
		maxReceived, sum = max(maxReceived, n), sum+n
	}
	t.Logf("bytes per second: a gateway receives at most %d and sends %d; the replica sends %d and receives %d",
		maxReceived/seconds, askBytes/gateways/seconds, sum/seconds, askBytes/seconds)
	assert.Assert(t, maxReceived/seconds+askBytes/gateways/seconds < maxBytes)
}

// TestNoLimitTrafficWithoutLimits checks that no message about limits is sent while no
// server reports one.
func TestNoLimitTrafficWithoutLimits(t *testing.T) {
	h, list := newLimitHub(t, 3, 6)
	for range 20 {
		h.tick(clock.VM.Now(), true)
		time.Sleep(10 * time.Millisecond)
	}
	for _, g := range list {
		g.mu.Lock()
		assert.Equal(t, g.limitBytes, 0, fmt.Sprint(g.limits))
		g.mu.Unlock()
	}
	assert.Equal(t, len(h.listServers()), 6)
	assert.Equal(t, h.listServers()[0].State, registry.Ready)
}
