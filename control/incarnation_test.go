package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// reportIncarnations reports decode engines as incarnations with a start time.
func reportIncarnations(t *testing.T, h *hub, from, to int, born int64) {
	t.Helper()
	for i := from; i < to; i++ {
		name := fmt.Sprint("e", i)
		_, err := h.report(registry.Server{
			ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: "llm", Address: fmt.Sprint("10.0.0.1:", i),
			State: registry.Ready, Role: registry.Decode, Sequence: 1,
		})
		assert.NilError(t, err)
	}
}

// TestAllGatewaysReceiveNewIncarnation checks that each gateway that has worked with a
// server is notified of its next incarnation, even if the gateway's subset does not include
// the server any more. The gateway's requests there have ended with the earlier
// incarnation, whose connections may never break.
func TestAllGatewaysReceiveNewIncarnation(t *testing.T) {
	const first, second = 1000, 2000
	const few, engines, gateways = 60, 600, 30
	for _, c := range []struct {
		name   string
		before func(h *hub, now time.Time)
	}{
		{"the server is listed", func(*hub, time.Time) {}},
		{"the server was silent for serverTTL", func(h *hub, now time.Time) {
			later := now.Add(serverTTL + aliveEvery)
			h.mu.Lock()
			for _, s := range h.servers.List(now) {
				if s.Name != "e1" {
					_, _ = h.servers.Report(later, s)
				}
			}
			h.mu.Unlock()
			h.tick(later, true)
		}},
		{"the server reported that it leaves", func(h *hub, _ time.Time) {
			_, _ = h.report(registry.Server{ID: registry.IncarnationID("e1", first), Name: "e1", Born: first, State: registry.Gone})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHub(nil, "", quota.Bounds{})
			list := connectGateways(t, h, gateways)
			reportIncarnations(t, h, 0, few, first)
			now := clock.VM.Now()
			h.tick(now, true)
			old := registry.IncarnationID("e1", first)
			for _, g := range list {
				g.wait(t, "all servers of a small group", func() bool { return g.listed[old] == registry.Ready })
			}
			reportIncarnations(t, h, few, engines, first)
			now = now.Add(rebalanceEvery + aliveEvery)
			h.tick(now, true)
			c.before(h, now)
			reportIncarnations(t, h, 1, 2, second)
			h.tick(now.Add(serverTTL+2*aliveEvery), true)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				without := 0
				for _, g := range list {
					g.mu.Lock()
					if !g.fleet.Replaced(old) {
						without++
					}
					g.mu.Unlock()
				}
				if without > 0 {
					return poll.Continue("%d of %d gateways have not been notified of the next incarnation", without, gateways)
				}
				return poll.Success()
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
			for _, g := range list {
				g.mu.Lock()
				assert.Assert(t, g.maxRestartBytes < 60, "%d bytes", g.maxRestartBytes)
				g.mu.Unlock()
			}
		})
	}
}

// TestNewIncarnationMessageIsShort checks that the message that goes to all gateways for
// each restart is shorter than that of a leaving server, which includes the address and
// service.
func TestNewIncarnationMessageIsShort(t *testing.T) {
	s := registry.Server{
		ID: registry.IncarnationID("i-7f3a91c2", 1790000000000), Name: "i-7f3a91c2", Born: 1790000000000, Service: "llm-large", Address: "10.11.12.13:8080",
		Zone: "north-1a", Slots: 8, State: registry.Gone, Role: registry.Decode, Sequence: 4000,
	}
	length := func(s registry.Server) int {
		frame, err := wire.Marshal(&wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}})
		assert.NilError(t, err)
		return len(frame)
	}
	leavingBytes := length(s)
	s.Next = 1790000060000
	restartBytes := length(s.Published())
	t.Logf("%d bytes for a leaving server, %d for a later incarnation", leavingBytes, restartBytes)
	assert.Assert(t, restartBytes < leavingBytes, "%d, %d", restartBytes, leavingBytes)
}
