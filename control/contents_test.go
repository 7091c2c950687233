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
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// partListener is a gateway that keeps what it is told of parts.
type partListener struct {
	link  *wire.Link
	mu    sync.Mutex
	table *poison.Table
}

func (p *partListener) blocks() []poison.Block {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Blocks()
}

// listenForParts connects a gateway whose build speaks versions up to most.
func listenForParts(t *testing.T, h *hub, name string) *partListener {
	t.Helper()
	out := &partListener{table: poison.NewTable()}
	out.link = connectGateway(t, h, name, func(m *wire.Message) {
		out.mu.Lock()
		defer out.mu.Unlock()
		out.table.MergeSurvivals(clock.VM.Now(), m.Survivals)
		out.table.Merge(clock.VM.Now(), m.Contents)
	})
	return out
}

// crash returns the record of a crash of one more server, under a run with some parts.
func crash(n int, parts ...string) poison.Record {
	var list []poison.Digest
	for _, id := range parts {
		list = append(list, poison.PartDigest("llm", id))
	}
	return poison.Record{
		Content: poison.Digest{byte(n)}, Parts: list,
		Endings: []poison.Ending{{Server: fmt.Sprint("s", n), Age: time.Duration(10-n) * time.Second, Ran: 100 * time.Millisecond}},
	}
}

// TestNewGatewayReceivesSurvivals checks that a gateway which starts is told of the runs that went on,
// and not only of crashes: otherwise it blocks what all others serve.
func TestNewGatewayReceivesSurvivals(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	survive := func(servers ...int) {
		var list []poison.Survival
		for _, n := range servers {
			list = append(list, poison.Survival{Part: poison.PartDigest("llm", "shared"), Server: fmt.Sprint("s", n)})
		}
		h.mergeSurvivals(list)
	}
	late := func(name string, want int) {
		t.Helper()
		g := listenForParts(t, h, name)
		waitFor(t, "the crashes", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.table.Len() == want
		})
		assert.Equal(t, len(g.blocks()), 0, name)
	}
	t.Run("after all crashes", func(t *testing.T) {
		for n := range 4 {
			h.mergeContents([]poison.Record{crash(n, "shared")})
		}
		survive(0, 1, 2, 3)
		late("first", 4)
	})
	t.Run("after each crash", func(t *testing.T) {
		h = newHub(nil, "", quota.Bounds{})
		for n := range 4 {
			h.mergeContents([]poison.Record{crash(n, "shared", fmt.Sprint("poison-", n%2))})
			survive(n)
		}
		late("second", 4)
	})
}

// connectGateway connects a gateway to a hub, which reports its load to it.
func connectGateway(t *testing.T, h *hub, name string, receive func(m *wire.Message)) *wire.Link {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "control", Role: wire.RoleControl} }})
		if err != nil {
			return
		}
		h.addGateway(l, true)
		_ = l.Run(r.Context(), func(*wire.Message) {})
		h.removeGateway(l)
	}))
	t.Cleanup(server.Close)
	link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{Hello: func() wire.Hello {
		return wire.Hello{Name: name, Role: wire.RoleGateway}
	}})
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	go func() { _ = link.Run(context.WithoutCancel(t.Context()), receive) }()
	return link
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !cond() {
			return poll.Continue("no %s", what)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(2*time.Millisecond))
}
