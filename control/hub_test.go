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

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// listener is a gateway that a hub tells things, and what it was told.
type listener struct {
	link *wire.Link

	mu     sync.Mutex
	listed map[string]registry.State
	heard  map[string]int
	loads  map[string]wire.EngineLoad
	queued int
	bytes  int
}

func (g *listener) take(m *wire.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame, _ := wire.Marshal(m)
	g.bytes += len(frame)
	if m.Servers != nil {
		for _, s := range m.Servers.List {
			g.listed[s.ID] = s.State
		}
		for _, id := range m.Servers.Heard {
			g.heard[id]++
		}
	}
	if m.Loads != nil {
		g.queued = m.Loads.Queued
		for _, e := range m.Loads.List {
			g.loads[e.Server] = e
		}
	}
}

// wait waits until what a listener was told fits.
func (g *listener) wait(t *testing.T, what string, fits func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !fits() {
			return poll.Continue("%s: %d listed, %d heard, loads %v", what, len(g.listed), len(g.heard), g.loads)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// listen opens links of gateways to a hub.
func listen(t *testing.T, h *hub, gateways int) []*listener {
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
		})
		h.removeGateway(l)
	}))
	t.Cleanup(server.Close)
	var out []*listener
	for n := range gateways {
		g := &listener{listed: map[string]registry.State{}, heard: map[string]int{}, loads: map[string]wire.EngineLoad{}}
		link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello {
			return wire.Hello{Name: fmt.Sprint("gateway-", n), Role: wire.RoleGateway}
		}})
		assert.NilError(t, err)
		t.Cleanup(link.Close)
		g.link = link
		go func() { _ = link.Run(context.WithoutCancel(t.Context()), g.take) }()
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

// union returns the number of servers that some gateway was told of.
func union(list []*listener) int {
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

// TestGatewaysGetParts wants each gateway to be told a part of a large group
// only, all together nearly all of it, all leaving servers whoever works with
// them, and from then on names of those that have reported themselves.
func TestGatewaysGetParts(t *testing.T) {
	const engines, gateways = 600, 40
	h := newHub()
	list := listen(t, h, gateways)
	reportEngines(h, engines, 1)
	h.tick(time.Now(), true)
	// Messages are still on their way when the first gateways have theirs.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := union(list); n <= engines*95/100 {
			return poll.Continue("%d of %d servers have a gateway", n, engines)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	for _, g := range list {
		g.wait(t, "a part", func() bool { return len(g.listed) > 60 })
		g.mu.Lock()
		assert.Assert(t, len(g.listed) < engines/2, "%d of %d servers are told", len(g.listed), engines)
		g.mu.Unlock()
	}

	h.report(registry.Server{ID: "e1", State: registry.Draining, Service: "llm", Role: registry.Decode, Sequence: 2})
	for _, g := range list {
		g.wait(t, "the word of a leaving server", func() bool { return g.listed["e1"] == registry.Draining })
	}

	g := list[0]
	g.mu.Lock()
	before, known := g.bytes, len(g.listed)
	clear(g.heard)
	g.mu.Unlock()
	reportEngines(h, engines, 3)
	h.tick(time.Now().Add(aliveEvery), true)
	g.wait(t, "names", func() bool { return len(g.heard) > known/3 })
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.bytes-before < known*12, "%d bytes for %d servers with nothing new", g.bytes-before, known)
}

// TestLoadsOfOthers wants a gateway to be told what the others have reserved, and
// that they have it no more, also when one of them is gone.
func TestLoadsOfOthers(t *testing.T) {
	h := newHub()
	reportEngines(h, 6, 1)
	list := listen(t, h, 3)
	reserve := func(g *listener, l ...wire.EngineLoad) {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{List: l}}))
	}
	tick := func() { h.tick(time.Now().Add(time.Second), true) }
	has := func(g *listener, server string, tokens int) func() bool {
		return func() bool {
			g.mu.Unlock()
			tick()
			g.mu.Lock()
			return g.loads[server].Tokens == tokens
		}
	}
	reserve(list[0], wire.EngineLoad{Server: "e1", Tokens: 100, Runs: 1})
	reserve(list[1], wire.EngineLoad{Server: "e1", Tokens: 30, Runs: 1}, wire.EngineLoad{Server: "e2", Tokens: 7})
	list[2].wait(t, "the sum", has(list[2], "e1", 130))
	list[0].wait(t, "not its own", has(list[0], "e1", 30))
	reserve(list[1], wire.EngineLoad{Server: "e2", Tokens: 8})
	list[2].wait(t, "less", has(list[2], "e1", 100))
	list[2].wait(t, "more", has(list[2], "e2", 8))
	reserve(list[1], wire.EngineLoad{Server: "elsewhere", Tokens: 9})
	list[2].wait(t, "of an engine that only another replica knows", has(list[2], "elsewhere", 9))
	list[0].link.Close()
	list[2].wait(t, "nothing of one that is gone", has(list[2], "e1", 0))
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, h.sharing, 1, "the third has never told any")
	for _, g := range h.gateways {
		for id, e := range g.others {
			assert.Assert(t, e.Tokens+e.Runs > 0, "%s is kept for nothing", id)
		}
	}
}

// TestQueuedOfOthers wants each gateway to know how many requests of the others
// wait, and not those of one that is gone.
func TestQueuedOfOthers(t *testing.T) {
	h := newHub()
	list := listen(t, h, 3)
	for i, g := range list[:2] {
		assert.NilError(t, g.link.Send(&wire.Message{Loads: &wire.Loads{Queued: 3 + i}}))
	}
	has := func(g *listener, queued int) func() bool {
		return func() bool {
			g.mu.Unlock()
			h.tick(time.Now().Add(time.Second), true)
			g.mu.Lock()
			return g.queued == queued
		}
	}
	list[2].wait(t, "the sum", has(list[2], 7))
	list[0].wait(t, "not its own", has(list[0], 4))
	list[1].link.Close()
	list[2].wait(t, "not of one that is gone", has(list[2], 3))
}
