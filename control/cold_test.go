package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/warmup"
)

// newColdHub returns a hub that may lease cold servers, with a cold server, a warm one, and
// one of a service without a cold limit, and the gateways that report their load to it.
func newColdHub(t *testing.T, gateways int) (*hub, []*testGateway) {
	t.Helper()
	h := newHub(nil, "", quota.Bounds{})
	h.name, h.coldBounds = "10.0.0.1:7000", warmup.Bounds{Overshoot: 1.5, Slack: 5}
	h.setReplicas([]string{"10.0.0.3:7000", "10.0.0.1:7000", "10.0.0.2:7000"})
	h.broker = warmup.NewBroker(clock.VM.Now().Add(-time.Minute))
	list := connectGateways(t, h, gateways)
	h.mu.Lock()
	for _, g := range h.gateways {
		g.reportsLoads = true
	}
	h.mu.Unlock()
	h.setTable(&route.Table{Version: 1, Services: []route.Service{{Name: "s", ColdRate: 7.3, ColdStart: 3 * time.Second}, {Name: "free"}}}, true)
	for _, s := range []registry.Server{{ID: "cold", Service: "s", Cold: time.Minute}, {ID: "warm", Service: "s"}, {ID: "free", Service: "free", Cold: time.Minute}} {
		s.State, s.Address, s.Sequence, s.Zone = registry.Ready, s.ID+":1", 1, "z"
		_, err := h.report(s)
		assert.NilError(t, err)
	}
	return h, list
}

// TestColdServerIsLeasedToOneGateway checks that exactly one gateway of a replica is leased
// the replica's share of a cold server, that the lease is renewed, and that no lease is
// given for warm servers and services without a cold limit.
func TestColdServerIsLeasedToOneGateway(t *testing.T) {
	h, gateways := newColdHub(t, 4)
	leases := map[string]int{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.tick(clock.VM.Now(), true)
		maxLeases := 0
		clear(leases)
		for i, g := range gateways {
			g.mu.Lock()
			for lease, n := range g.leases {
				leases[fmt.Sprint(lease, " ", i)] = n
				maxLeases = max(maxLeases, n)
			}
			g.mu.Unlock()
		}
		if maxLeases < 3 {
			return poll.Continue("%v", leases)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, len(leases), 1, "%v", leases)
	for lease := range leases {
		assert.Assert(t, strings.HasPrefix(lease, "cold 2 1s "), lease)
	}
}

// TestServersAreColdAfterEvacuationUntilReported checks that servers count as cold after
// the evacuation of their zone until they report themselves, since their caches may have
// been dropped meanwhile.
func TestServersAreColdAfterEvacuationUntilReported(t *testing.T) {
	h, gateways := newColdHub(t, 1)
	h.tick(clock.VM.Now(), true) // the gateway receives the servers
	isCold := func(id string) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, s := range h.servers.List(h.clock.Now()) {
			if s.ID == id {
				return h.isCold(h.clock.Now(), s)
			}
		}
		return false
	}
	assert.Assert(t, !isCold("warm"))
	h.setEvacuated(1, []fleet.EvacuatedZone{{Zone: "z"}})
	h.setEvacuated(2, nil)
	assert.Assert(t, isCold("warm"))
	assert.Assert(t, !isCold("free"))
	_, err := h.report(registry.Server{ID: "warm", Service: "s", Address: "warm:1", Zone: "z", State: registry.Ready, Sequence: 2})
	assert.NilError(t, err)
	assert.Assert(t, !isCold("warm"))
	// Gateways receive that report, although nothing has changed.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.tick(clock.VM.Now(), true)
		g := gateways[0]
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.reports["warm"] < 2 {
			return poll.Continue("%d reports received", g.reports["warm"])
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
