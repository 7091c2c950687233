package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
)

// TestNoCallsDuringRetryAfter checks that an engine that has asked this replica for a pause
// gets no call until it ends, and that pauses that have ended are forgotten.
func TestNoCallsDuringRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &pausedEngines{pauses: map[string]*selfreport.Pause{}}
	assert.NilError(t, p.admit(now, "a"))
	assert.Assert(t, p.pause(now, "a", 3*time.Second))
	assert.Assert(t, !p.pause(now.Add(time.Millisecond), "a", 3*time.Second))
	assert.ErrorIs(t, p.admit(now.Add(2*time.Second), "a"), backend.ErrPaused)
	assert.NilError(t, p.admit(now.Add(2*time.Second), "b"))
	assert.NilError(t, p.admit(now.Add(4*time.Second), "a"))
	p.pause(now.Add(4*time.Second), "b", time.Second)
	assert.Equal(t, len(p.pauses), 1)
}

// TestLeavingServerReachesAllGateways has one gateway of 600 report that a server is
// leaving while the server's heartbeats report it ready. All gateways must be notified
// once, and a heartbeat must not restore the server.
func TestLeavingServerReachesAllGateways(t *testing.T) {
	const gateways = 600
	h := newHub(nil, "", quota.Bounds{})
	list := connectGateways(t, h, gateways)
	reportEngines(h, 1, 1)
	h.tick(clock.VM.Now(), true)
	id := h.listServers()[0].ID
	for _, g := range list {
		g.wait(t, "ready", func() bool { return g.listed[id] == registry.Ready })
	}
	h.handleLeaving([]registry.Server{{ID: id, State: registry.Ready}})
	h.handleLeaving([]registry.Server{{ID: "unknown", State: registry.Draining}})
	assert.Equal(t, h.listServers()[0].State, registry.Ready)
	before := list[0].reportCount(id)
	h.handleLeaving([]registry.Server{{ID: id, State: registry.Draining}})
	h.handleLeaving([]registry.Server{{ID: id, State: registry.Draining}})
	reportEngines(h, 1, 2)
	h.tick(clock.VM.Now(), true)
	for _, g := range list {
		g.wait(t, "draining", func() bool { return g.listed[id] == registry.Draining })
	}
	assert.Equal(t, list[0].reportCount(id), before+1)
	assert.Equal(t, h.listServers()[0].State, registry.Draining)
}

// reportCount returns how many reports of a server the gateway has received.
func (g *testGateway) reportCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reports[id]
}
