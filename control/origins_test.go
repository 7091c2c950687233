package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// reportVersion reports n decode engines of a version to a hub.
func reportVersion(h *hub, version string, n int) {
	for i := range n {
		h.report(registry.Server{
			ID: fmt.Sprint(version, "-", i), Service: "llm", Address: fmt.Sprint("10.0.0.2:", i), State: registry.Ready, Role: registry.Decode, Version: version, Sequence: 1,
		})
	}
}

// connectReplicas lets replica b send what it shares to replica a.
func connectReplicas(t *testing.T, a, b *hub) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "b", Role: wire.RoleControl} }})
		if err != nil {
			return
		}
		b.addPeer(l)
		_ = l.Run(r.Context(), func(*wire.Message) {})
		b.removePeer(l)
	}))
	t.Cleanup(server.Close)
	link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "a", Role: wire.RoleControl} }})
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	go func() {
		_ = link.Run(context.WithoutCancel(t.Context()), func(m *wire.Message) {
			if m.Origins != nil {
				a.mergePeerOrigins(m.Origins)
			}
		})
	}()
}

// ask asks a replica until it knows an attempt, and returns the answer.
func (g *testGateway) ask(t *testing.T, k origin.Key, ticks ...*hub) origin.Batch {
	t.Helper()
	var found origin.Batch
	g.wait(t, "an answer", func() bool {
		g.mu.Unlock()
		for _, h := range ticks {
			h.tick(clock.VM.Now(), true)
		}
		assert.Check(t, g.link.Send(&wire.Message{Origins: &wire.Origins{Ask: k[:]}}) == nil)
		g.mu.Lock()
		for _, m := range g.origins {
			for _, b := range m.Began {
				for _, other := range origin.SplitKeys(b.Keys) {
					if other == k {
						found = b
						return true
					}
				}
			}
		}
		return false
	})
	return found
}

// TestOriginsReachAllReplicas guards against a stream that is unknown where its caller returns:
// what a gateway reports to one replica is known at the others, also at one that connects later.
func TestOriginsReachAllReplicas(t *testing.T) {
	a, b, late := newHub(nil, "", quota.Bounds{}), newHub(nil, "", quota.Bounds{}), newHub(nil, "", quota.Bounds{})
	connectReplicas(t, a, b)
	gatewayA, gatewayB := connectGateways(t, a, 1)[0], connectGateways(t, b, 1)[0]
	first, second := origin.KeyOf("", "q1"), origin.KeyOf("", "q2")
	report := func(version string, k origin.Key) {
		assert.NilError(t, gatewayB.link.Send(&wire.Message{Origins: &wire.Origins{Began: []origin.Batch{{Service: "llm", Version: version, Keys: k[:]}}}}))
	}
	report("v1", first)
	assert.Equal(t, gatewayA.ask(t, first, a, b).Version, "v1")
	report("v2", second)
	assert.Equal(t, gatewayA.ask(t, second, a, b).Version, "v2")
	connectReplicas(t, late, b)
	assert.Equal(t, connectGateways(t, late, 1)[0].ask(t, second, late, b).Version, "v2")
	report("v2", first)
	gatewayA.mu.Lock()
	gatewayA.origins = nil
	gatewayA.mu.Unlock()
	gatewayA.wait(t, "an ambiguous origin", func() bool {
		gatewayA.mu.Unlock()
		found := gatewayA.ask(t, first, a, b)
		gatewayA.mu.Lock()
		gatewayA.origins = nil
		return found.Ambiguous
	})
}

// TestVersionsArriveBeforeTheirServers guards against a gateway that takes a version for the only
// one: all gateways get the versions, also those that get their servers from other replicas, and
// none gets a server of a second version before.
func TestVersionsArriveBeforeTheirServers(t *testing.T) {
	h := newHub(nil, "z", quota.Bounds{})
	near, far := connectGateways(t, h, 2, "z"), connectGateways(t, h, 1, "y")
	reportVersion(h, "v1", 3)
	h.tick(clock.VM.Now(), true)
	near[0].wait(t, "the servers", func() bool { return len(near[0].listed) == 3 })
	assert.Equal(t, len(near[0].origins), 0, "a message although there is one version")
	reportVersion(h, "v2", 1)
	h.tick(clock.VM.Now(), true)
	for _, g := range append(near, far...) {
		g.wait(t, "the versions", func() bool { return g.fleet.Mixed("llm") })
	}
	near[0].wait(t, "the server", func() bool { return len(near[0].listed) == 4 })
	newcomer := connectGateways(t, h, 1, "y")[0]
	newcomer.wait(t, "the versions", func() bool { return newcomer.fleet.Mixed("llm") })
}

// TestVersionsSurviveRestart guards against a restarted replica that doesn't know of a version whose
// last server left just before, and to which streams may belong.
func TestVersionsSurviveRestart(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	reportVersion(h, "v1", 1)
	reportVersion(h, "v2", 1)
	saved := h.takeUnsavedVersions(clock.VM.Now())
	assert.Assert(t, saved != nil && h.takeUnsavedVersions(clock.VM.Now()) == nil)
	frame, err := wire.Marshal(saved)
	assert.NilError(t, err)
	m, err := wire.Unmarshal(frame, "")
	assert.NilError(t, err)
	restarted := newHub(nil, "", quota.Bounds{})
	n, ok := restarted.restoreVersions(clock.VM.Now(), m)
	assert.Assert(t, ok && n == 2)
	reportVersion(restarted, "v2", 1)
	restarted.tick(clock.VM.Now(), true)
	g := connectGateways(t, restarted, 1)[0]
	g.wait(t, "the versions", func() bool { return g.fleet.Mixed("llm") })
	restarted.mu.Lock()
	defer restarted.mu.Unlock()
	restarted.sweepOrigins(clock.VM.Now().Add(origin.Retention+time.Second), restarted.servers.List(clock.VM.Now()))
	assert.Assert(t, !restarted.origins.versions.Mixed("llm"))
}

// TestAskingGatewayReceivesServersOfVersion guards against a stream that is refused because the
// gateway's subset of a large group has no server of its version.
func TestAskingGatewayReceivesServersOfVersion(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	reportVersion(h, "v1", 2000)
	reportVersion(h, "v2", 2)
	gateways := connectGateways(t, h, 60)
	h.tick(clock.VM.Now(), true)
	var lacking *testGateway
	for _, g := range gateways {
		g.wait(t, "a subset", func() bool { return len(g.listed) > 50 })
		g.mu.Lock()
		if g.listed["v2-0"] == "" && g.listed["v2-1"] == "" {
			lacking = g
		}
		g.mu.Unlock()
	}
	assert.Assert(t, lacking != nil, "all gateways have a server of the version")
	k := origin.KeyOf("", "q")
	assert.NilError(t, gateways[0].link.Send(&wire.Message{Origins: &wire.Origins{Began: []origin.Batch{{Service: "llm", Version: "v2", Keys: k[:]}}}}))
	lacking.ask(t, k)
	lacking.wait(t, "the servers", func() bool {
		return lacking.listed["v2-0"] == registry.Ready && lacking.listed["v2-1"] == registry.Ready
	})
}
