package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/standin"
)

// waitNoHolds waits until no engine has a hold.
func (h *harness) waitNoHolds() {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		for id, b := range h.servers {
			if n, _ := b.Holds(); n > 0 {
				return poll.Continue("%d holds at %s", n, id)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second)) // before they expire
}

// TestNoPromptIsPrefilledForFullEngine checks that no prompt is prefilled for an engine that is
// full although this gateway has not been notified of that: the engines run requests of another
// gateway.
func TestNoPromptIsPrefilledForFullEngine(t *testing.T) {
	h := newHarness(t)
	p := h.add("llm", "p1", "prefill")
	for _, id := range []string{"d1", "d2", "d3"} {
		h.add("llm", id, "decode").SetSlots(1)
	}
	for _, id := range []string{"d1", "d2"} {
		h.servers[id].SetPace(0, 400*time.Millisecond, eventCount)
		go runAtEngine(h.servers[id])
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.servers["d1"].Running()+h.servers["d2"].Running() < 2 {
			return poll.Continue("not running")
		}
		return poll.Success()
	})
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, got.body, completeStream())
	assert.Equal(t, len(p.Arrivals()), 1, "prefilled once")
	assert.Equal(t, len(h.servers["d1"].Arrivals())+len(h.servers["d2"].Arrivals()), 2, "only the runs of the other gateway")
	assert.Equal(t, runCount(h.servers["d3"]), 1)
	h.waitNoHolds()
}

// TestNoPromptIsPrefilledWithoutCapacity checks that a request is refused before the prefill of its
// prompt if no engine has capacity.
func TestNoPromptIsPrefilledWithoutCapacity(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	d.SetSlots(1)
	d.SetPace(0, 400*time.Millisecond, eventCount)
	go runAtEngine(d)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.Running() < 1 {
			return poll.Continue("not running")
		}
		return poll.Success()
	})
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 503, got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(p.Arrivals()), 0)
}

// TestUnusedHoldIsReleased checks that a hold that is not used is released: because the prefill
// failed, or because the caller has disconnected.
func TestUnusedHoldIsReleased(t *testing.T) {
	t.Run("no prefill", func(t *testing.T) {
		h := newHarness(t)
		h.add("llm", "p1", "prefill").SetFault(faultOnce(standin.Refuse, nil))
		d := h.add("llm", "d1", "decode")
		got := h.send("POST", "/review/1", "q1", "x", workHeaders)
		assert.Equal(t, got.status, 200, "the decode engine prefills the prompt itself")
		_, ever := d.Holds()
		assert.Assert(t, ever > 0, "no hold was acquired")
		h.waitNoHolds()
	})
	t.Run("caller disconnects", func(t *testing.T) {
		h := newHarness(t)
		p := h.add("llm", "p1", "prefill")
		p.SetPace(10*time.Second, 0, 0)
		d := h.add("llm", "d1", "decode")
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		done := make(chan reply, 1)
		go func() { done <- h.sendWith(ctx, "POST", "/review/1", "q1", "x", workHeaders) }()
		poll.WaitOn(t, func(poll.LogT) poll.Result { // the caller disconnects during the prefill
			if len(p.Arrivals()) == 0 {
				return poll.Continue("the prefill has not started")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
		disconnect()
		assert.Assert(t, (<-done).truncated)
		_, ever := d.Holds()
		assert.Equal(t, ever, 1)
		h.waitNoHolds()
	})
}

// TestReservationGrowsWithLongRun checks that the memory reserved for a run grows with the
// generated tokens, and that all of it is released.
func TestReservationGrowsWithLongRun(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	d := h.add("llm", "d1", "decode")
	d.SetPace(0, 5*time.Millisecond, 60) // 5 tokens are expected
	reserved := func() int {
		for _, s := range h.gateway.fleet.list() {
			if s.ID == "d1" {
				return s.Own.Tokens
			}
		}
		return 0
	}
	done := make(chan reply)
	go func() { done <- h.send("POST", "/review/1", "q1", "x", workHeaders) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := reserved(); n < 1040 {
			return poll.Continue("%d tokens are reserved", n)
		}
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	assert.Equal(t, (<-done).status, 200)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := reserved(); n != 0 {
			return poll.Continue("%d tokens are reserved", n)
		}
		return poll.Success()
	})
}

// TestDisconnectedCallerEjectsNoEngine checks that an engine is not ejected because a caller
// disconnected while a hold was requested there.
func TestDisconnectedCallerEjectsNoEngine(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	h.add("llm", "d1", "decode")
	service := h.gateway.table.Load().Service("llm")
	q := &request{id: "q1", service: service, work: dispatch.Work{Service: "llm", Prompt: 10, Expected: 10}, tried: dispatch.Avoid{}}
	servers := map[string]*dispatch.Server{}
	for _, s := range h.gateway.fleet.list() {
		servers[s.ID] = s
	}
	n := &generation{g: h.gateway, q: q, pair: dispatch.Pair{Prefill: servers["p1"], Decode: servers["d1"]}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !n.acquireHold(ctx))
	assert.Equal(t, h.gateway.fleet.exclusion(q.work, service.Engine).Count[dispatch.RuleBlocked], 0)
}

// TestHoldIsReleasedIfCallerDisconnectsDuringIt checks that a hold is released if the caller
// disconnects while an engine creates it, and that no other engine is asked for one.
func TestHoldIsReleasedIfCallerDisconnectsDuringIt(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	requested := make(chan struct{}, 2)
	held := make(chan struct{}, 2)
	for _, id := range []string{"d1", "d2"} {
		h.add("llm", id, "decode").SetMiddleware(func(own http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != standin.HoldPath {
					own.ServeHTTP(w, r)
					return
				}
				requested <- struct{}{}
				time.Sleep(holdTimeout / 2)
				own.ServeHTTP(w, r)
				held <- struct{}{}
			})
		})
	}
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() { done <- h.sendWith(ctx, "POST", "/review/1", "q1", "x", workHeaders) }()
	<-requested
	disconnect()
	<-held
	h.waitNoHolds()
	<-done
	assert.Equal(t, len(requested), 0, "another engine was asked")
}
