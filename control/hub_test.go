package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// testGateway is a gateway connected to a hub, with everything that it has received.
type testGateway struct {
	link *wire.Link

	mu     sync.Mutex
	listed map[string]registry.State
	// alive counts the messages about recent reports; silent are the exceptions in the last
	// one.
	alive  int
	silent []string
	loads  map[string]wire.EngineLoad
	queued int
	bytes  int
	// version is the newest table that it was notified of, table the newest that it was
	// sent.
	version, table uint64
	// maxRestartBytes is the size of the largest message about the start of a later
	// incarnation.
	maxRestartBytes int
	// reports counts the reports of each server.
	reports map[string]int
	// leases counts the messages with each lease of a cold server.
	leases map[string]int
	// limits are the limits that servers report, tokens the number of tokens of each
	// server, and limitBytes the size of the messages with both.
	limits     map[string]wire.LimitObservation
	tokens     map[string]int
	limitBytes int
	// origins are the messages about the origins of streams.
	origins []*wire.Origins
	// fleet is the gateway's view of the servers.
	fleet *dispatch.Fleet
}

func (g *testGateway) record(m *wire.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame, _ := wire.Marshal(m)
	g.bytes += len(frame)
	if m.Servers != nil {
		g.fleet.Update(clock.VM.Now(), m.Servers.List)
		for _, s := range m.Servers.List {
			g.listed[s.ID] = s.State
			g.reports[s.ID]++
			if s.Next != 0 {
				frame, _ := wire.Marshal(&wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}})
				g.maxRestartBytes = max(g.maxRestartBytes, len(frame))
			}
		}
		if m.Servers.Alive {
			g.alive++
			g.silent = m.Servers.Silent
		}
		for _, id := range m.Servers.Dropped {
			delete(g.listed, id)
		}
	}
	if m.Routes != nil {
		g.version = m.Routes.Version
		if m.Routes.Table != nil {
			g.table = m.Routes.Table.Version
		}
	}
	for _, c := range m.Cold {
		g.leases[fmt.Sprint(c.Server, " ", c.Most, " ", c.For)]++
	}
	if m.Limits != nil {
		g.limitBytes += len(frame)
		for _, w := range m.Limits.Observations {
			g.limits[w.Server] = w
		}
		for _, t := range m.Limits.Tokens {
			g.tokens[t.Server] += t.Tokens
		}
	}
	if m.Origins != nil {
		g.origins = append(g.origins, m.Origins)
		g.fleet.NoteVersions(clock.VM.Now(), m.Origins.Versions)
	}
	if m.Loads != nil {
		g.queued = m.Loads.Queued
		for _, e := range m.Loads.List {
			g.loads[e.Server] = e
		}
	}
}

// wait waits until what the gateway has received fulfils a condition.
func (g *testGateway) wait(t *testing.T, what string, fits func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !fits() {
			return poll.Continue("%s: %d listed, %d alive messages, loads %v", what, len(g.listed), g.alive, g.loads)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// connectGateways opens links of gateways to a hub, from an availability zone if one is
// given.
func connectGateways(t *testing.T, h *hub, gateways int, zones ...string) []*testGateway {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "control", Role: wire.RoleControl} }})
		if err != nil {
			return
		}
		h.addGateway(l, true)
		_ = l.Run(r.Context(), func(m *wire.Message) {
			if m.Loads != nil {
				h.setLoads(l, m.Loads)
			}
			if m.Routes != nil {
				h.sendNewerTable(l, m.Routes.Version)
			}
			if m.Limits != nil {
				h.handleLimits(l, m.Limits)
			}
			if m.Origins != nil {
				h.handleOrigins(l, m.Origins)
			}
		})
		h.removeGateway(l)
	}))
	t.Cleanup(server.Close)
	var out []*testGateway
	for n := range gateways {
		g := &testGateway{reports: map[string]int{}, leases: map[string]int{}, limits: map[string]wire.LimitObservation{}, tokens: map[string]int{}, listed: map[string]registry.State{}, loads: map[string]wire.EngineLoad{}, fleet: dispatch.NewFleet(fmt.Sprint("gateway-", n), strings.Join(zones, ""))}
		link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello {
			return wire.Hello{Name: fmt.Sprint("gateway-", n), Role: wire.RoleGateway, Zone: strings.Join(zones, "")}
		}})
		assert.NilError(t, err)
		t.Cleanup(link.Close)
		g.link = link
		go func() { _ = link.Run(context.WithoutCancel(t.Context()), g.record) }()
		out = append(out, g)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.gateways) < gateways {
			return poll.Continue("%d gateways", len(h.gateways))
		}
		return poll.Success()
	})
	return out
}

// countListed returns the number of servers that at least one gateway has received.
func countListed(list []*testGateway) int {
	all := map[string]bool{}
	for _, g := range list {
		g.mu.Lock()
		for id := range g.listed {
			all[id] = true
		}
		g.mu.Unlock()
	}
	return len(all)
}

func reportEngines(h *hub, n int, sequence uint64) {
	for i := range n {
		role := registry.Decode
		if i%3 == 0 {
			role = registry.Prefill
		}
		h.report(registry.Server{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("10.0.0.1:", i), State: registry.Ready, Role: role, Sequence: sequence})
	}
}

// TestGatewaysReceiveServerSubsets checks that each gateway receives only a subset of a
// large group, that the subsets together cover nearly the whole group, that a leaving
// server is sent to all gateways, and that unchanged servers cost only the list of silent
// ones.
func TestGatewaysReceiveServerSubsets(t *testing.T) {
	const engines, gateways = 600, 40
	h := newHub(nil, "", quota.Bounds{})
	list := connectGateways(t, h, gateways)
	reportEngines(h, engines, 1)
	h.tick(clock.VM.Now(), true)
	// Messages are still in transit when the first gateways have theirs.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := countListed(list); n <= engines*95/100 {
			return poll.Continue("%d of %d servers have a gateway", n, engines)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	for _, g := range list {
		g.wait(t, "a subset", func() bool { return len(g.listed) > 60 })
		g.mu.Lock()
		assert.Assert(t, len(g.listed) < engines/2, "received %d of %d servers", len(g.listed), engines)
		g.mu.Unlock()
	}

	h.report(registry.Server{ID: "e1", State: registry.Draining, Service: "llm", Role: registry.Decode, Sequence: 2})
	for _, g := range list {
		g.wait(t, "the report of a leaving server", func() bool { return g.listed["e1"] == registry.Draining })
	}

	g := list[0]
	g.mu.Lock()
	bytesBefore, aliveBefore := g.bytes, g.alive
	g.mu.Unlock()
	reportEngines(h, engines, 3)
	h.tick(clock.VM.Now().Add(aliveEvery), true)
	g.wait(t, "which servers are alive", func() bool { return g.alive > aliveBefore })
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, len(g.silent), 0)
	assert.Assert(t, g.bytes-bytesBefore < 150, "%d bytes for unchanged servers", g.bytes-bytesBefore)
}

// TestGatewaysAreNotifiedOfSilentServers checks that gateways are notified which servers
// have not reported recently, and drop those that have been silent for serverTTL.
func TestGatewaysAreNotifiedOfSilentServers(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	reportEngines(h, 6, 1)
	g := connectGateways(t, h, 1)[0]
	now := clock.VM.Now()
	h.tick(now, true)
	g.wait(t, "all servers", func() bool { return len(g.listed) == 6 })
	later := now.Add(aliveMaxAge + time.Second)
	h.mu.Lock()
	for i := range 5 {
		s, _ := h.servers.Get(fmt.Sprint("e", i))
		h.servers.Report(later, s)
	}
	h.mu.Unlock()
	h.tick(later, true)
	g.wait(t, "the silent server", func() bool { return len(g.silent) == 1 && g.silent[0] == "e5" })
	h.tick(now.Add(serverTTL+time.Second), true)
	g.wait(t, "the silent server to be dropped", func() bool { _, listed := g.listed["e5"]; return !listed })
}

// TestPeerLoadsReachGateways checks that the gateways of one replica receive what those of
// another have reserved, counted once, and that it is removed when that replica is lost.
func TestPeerLoadsReachGateways(t *testing.T) {
	a, b := newHub(nil, "", quota.Bounds{}), newHub(nil, "", quota.Bounds{})
	reportEngines(a, 3, 1)
	reportEngines(b, 3, 1)
	gatewaysA, gatewaysB := connectGateways(t, a, 2), connectGateways(t, b, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "b", Role: wire.RoleControl} }})
		if err != nil {
			return
		}
		b.addPeer(l)
		_ = l.Run(r.Context(), func(*wire.Message) {})
		b.removePeer(l)
	}))
	defer server.Close()
	link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello {
		return wire.Hello{Name: "a", Role: wire.RoleControl}
	}})
	assert.NilError(t, err)
	go func() {
		_ = link.Run(context.WithoutCancel(t.Context()), func(m *wire.Message) {
			if m.Loads != nil {
				a.setPeerLoads(link, m.Loads)
			}
		})
		a.forgetPeer(link)
	}()
	sendLoad := func(g *testGateway, tokens int) {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{Queued: 1, List: []wire.EngineLoad{{Server: "e1", Tokens: tokens, Runs: 1}}}}))
	}
	sendLoad(gatewaysA[0], 1)
	sendLoad(gatewaysA[1], 10)
	sendLoad(gatewaysB[0], 100)
	sendLoad(gatewaysB[1], 1000)
	receivedLoad := func(tokens, queued int) func() bool {
		return func() bool {
			gatewaysA[0].mu.Unlock()
			a.tick(clock.VM.Now().Add(time.Second), true)
			b.tick(clock.VM.Now().Add(time.Second), true)
			gatewaysA[0].mu.Lock()
			return gatewaysA[0].loads["e1"].Tokens == tokens && gatewaysA[0].queued == queued
		}
	}
	gatewaysA[0].wait(t, "the loads of all other gateways", receivedLoad(1110, 3))
	sendLoad(gatewaysB[1], 2000)
	gatewaysA[0].wait(t, "the changed load", receivedLoad(2110, 3))
	assert.NilError(t, gatewaysB[0].link.Send(&wire.Message{Loads: &wire.Loads{Ended: true}}))
	gatewaysA[0].wait(t, "no load of a gateway that reports elsewhere", receivedLoad(2010, 2))
	link.Close()
	gatewaysA[0].wait(t, "no load of a lost replica", receivedLoad(10, 1))
}

// TestGatewayReceivesLoadsOfOthers checks that a gateway receives what the others have
// reserved, and that this is removed when it is released or its gateway disconnects.
func TestGatewayReceivesLoadsOfOthers(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	reportEngines(h, 6, 1)
	list := connectGateways(t, h, 3)
	reserve := func(g *testGateway, l ...wire.EngineLoad) {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{List: l}}))
	}
	tick := func() { h.tick(clock.VM.Now().Add(time.Second), true) }
	receivedLoad := func(g *testGateway, server string, tokens int) func() bool {
		return func() bool {
			g.mu.Unlock()
			tick()
			g.mu.Lock()
			return g.loads[server].Tokens == tokens
		}
	}
	reserve(list[2])
	reserve(list[0], wire.EngineLoad{Server: "e1", Tokens: 100, Runs: 1})
	reserve(list[1], wire.EngineLoad{Server: "e1", Tokens: 30, Runs: 1}, wire.EngineLoad{Server: "e2", Tokens: 7})
	list[2].wait(t, "the sum of the loads", receivedLoad(list[2], "e1", 130))
	list[0].wait(t, "the sum without its own load", receivedLoad(list[0], "e1", 30))
	reserve(list[1], wire.EngineLoad{Server: "e2", Tokens: 8})
	list[2].wait(t, "the decreased load", receivedLoad(list[2], "e1", 100))
	list[2].wait(t, "the increased load", receivedLoad(list[2], "e2", 8))
	reserve(list[1], wire.EngineLoad{Server: "elsewhere", Tokens: 9})
	list[2].wait(t, "the load of an engine that only another replica knows", receivedLoad(list[2], "elsewhere", 9))
	list[0].link.Close()
	list[2].wait(t, "no load of a disconnected gateway", receivedLoad(list[2], "e1", 0))
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, h.ownLoads.gateways, 2)
	for _, g := range h.gateways {
		for id, e := range g.sentLoads.loads {
			assert.Assert(t, e.Tokens+e.Runs > 0, "%s is kept without a load", id)
		}
	}
}

// TestGatewayReceivesQueueLengthOfOthers checks that each gateway receives how many
// requests wait at the others, without those of a disconnected gateway.
func TestGatewayReceivesQueueLengthOfOthers(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	list := connectGateways(t, h, 3)
	for i, g := range list {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{Queued: []int{3, 4, 0}[i]}}))
	}
	receivedQueued := func(g *testGateway, queued int) func() bool {
		return func() bool {
			g.mu.Unlock()
			h.tick(clock.VM.Now().Add(time.Second), true)
			g.mu.Lock()
			return g.queued == queued
		}
	}
	list[2].wait(t, "the sum of the queues", receivedQueued(list[2], 7))
	list[0].wait(t, "the sum without its own queue", receivedQueued(list[0], 4))
	list[1].link.Close()
	list[2].wait(t, "no queue of a disconnected gateway", receivedQueued(list[2], 3))
}

// TestOtherZonesReceiveVersionsAndLeavingServers checks that gateways of other availability
// zones are notified of a newer table and of leaving servers, and receive tables and
// servers from this replica only if they request the table or report their load to it.
func TestOtherZonesReceiveVersionsAndLeavingServers(t *testing.T) {
	h := newHub(nil, "z1", quota.Bounds{})
	reportEngines(h, 3, 1)
	near, far := connectGateways(t, h, 1, "z1")[0], connectGateways(t, h, 1, "z2")[0]
	h.setTable(&route.Table{Version: 7}, true)
	h.tick(clock.VM.Now(), true)
	near.wait(t, "the table and all servers", func() bool { return near.table == 7 && len(near.listed) == 3 })
	far.wait(t, "the version", func() bool { return far.version == 7 })
	h.report(registry.Server{ID: "e1", State: registry.Draining, Service: "llm", Role: registry.Decode, Sequence: 2})
	far.wait(t, "the leaving server", func() bool { return far.listed["e1"] == registry.Draining })
	far.mu.Lock()
	assert.Equal(t, far.table, uint64(0))
	assert.Equal(t, len(far.listed), 1)
	far.mu.Unlock()

	assert.NilError(t, far.link.Send(&wire.Message{Routes: &wire.Routes{Version: 3}}))
	far.wait(t, "the requested table", func() bool { return far.table == 7 })
	assert.NilError(t, far.link.Send(&wire.Message{Loads: &wire.Loads{}}))
	far.wait(t, "all servers after reporting its load", func() bool {
		far.mu.Unlock()
		h.tick(clock.VM.Now().Add(time.Second), true)
		far.mu.Lock()
		return len(far.listed) == 3 && far.alive > 0
	})
}
