package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

const limitField = "X-Server-Limit"

// setConnected makes the gateway consider itself connected to a replica. There is none; the test
// supplies the observations.
func (h *harness) setConnected() {
	f := h.gateway.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limited.connectedAt = f.clock.Now().Add(time.Hour)
}

// grantTokens grants the gateway tokens for a server, and returns those that it releases.
func (h *harness) grantTokens(server string, n int) []wire.LimitToken {
	f := h.gateway.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.grantTokens(f.clock.Now(), []wire.LimitToken{{Server: server, Tokens: n, For: time.Second, Owner: "c"}})
}

func (h *harness) setSupply(rate float64) {
	f := h.gateway.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limited.setSupply([]wire.LimitSupply{{Service: "plain", Rate: rate}, {Service: "llm", Rate: rate}})
}

// newLimitedHarness returns a harness whose gateway reads limits, and one plain server that reports
// one.
func newLimitedHarness(t *testing.T) (*harness, *standin.Backend) {
	t.Helper()
	h := newHarness(t)
	h.setConnected()
	h.gateway.cfg.Protocol.ParseLimit = func(values []string) (float64, bool) {
		var rate float64
		_, err := fmt.Sscan(values[0], &rate)
		return rate, err == nil
	}
	b := h.add("plain", "a", "")
	b.SetLimit(func() []string { return []string{"4.1"} })
	return h, b
}

// TestLimitedServerGetsNothingWithoutToken checks that a server that has reported a limit gets
// nothing without a token, that callers are refused at once as not run, and that each token is for
// one request.
func TestLimitedServerGetsNothingWithoutToken(t *testing.T) {
	h, b := newLimitedHarness(t)
	first := h.send(http.MethodGet, "/rates/1", "first", "", nil)
	assert.Equal(t, first.status, http.StatusOK)
	assert.Equal(t, first.header.Get(limitField), "4.1") // an answer is relayed unchanged
	for i := range 3 {
		got := h.send(http.MethodPost, "/seats/1", fmt.Sprint("refused-", i), "x", nil)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(b.Arrivals()), 1)
	released := h.grantTokens("a", 9)
	assert.Equal(t, len(released), 1) // no request waits
	retained := 9 - released[0].Tokens
	for i := range retained + 1 {
		want := http.StatusOK
		if i == retained {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint("next-", i), "", nil).status, want)
	}
	assert.Equal(t, len(b.Arrivals()), 1+retained)
}

// waitForTokenQueue waits until n requests wait for a token.
func (h *harness) waitForTokenQueue(n int) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		f := h.gateway.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		if got := len(f.limited.waiting); got != n {
			return poll.Continue("%d requests wait", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestUrgentRequestsGetTokensFirst has three requests wait for a token, the least urgent one for
// the longest time: each token goes to the most urgent request, and of two equal ones to that with
// the earlier deadline.
func TestUrgentRequestsGetTokensFirst(t *testing.T) {
	h, b := newLimitedHarness(t)
	h.setTimeout("rates", time.Minute)
	h.setTimeout("seats", time.Minute)
	table := *h.gateway.table.Load()
	table.Version++
	for i := range table.Routes {
		table.Routes[i].Priority = map[string]int{"rates": 2, "seats": 1}[table.Routes[i].Name]
	}
	table.Index()
	h.gateway.setTable(&table)
	h.setSupply(10)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusOK)
	done := make(chan string, 3)
	start := func(target, id string) {
		go func() {
			if h.send(http.MethodGet, target, id, "", nil).status == http.StatusOK {
				done <- id
			}
		}()
	}
	start("/rates/1", "least urgent")
	h.waitForTokenQueue(1)
	start("/seats/1", "urgent, first")
	h.waitForTokenQueue(2)
	start("/seats/1", "urgent, second")
	h.waitForTokenQueue(3)
	for _, want := range []string{"urgent, first", "urgent, second", "least urgent"} {
		assert.Equal(t, len(h.grantTokens("a", 1)), 0)
		assert.Equal(t, <-done, want)
	}
	assert.Equal(t, len(b.Arrivals()), 4)
}

// TestDisconnectedCallerStopsWaitingForToken checks that a request whose caller has disconnected
// stops waiting.
func TestDisconnectedCallerStopsWaitingForToken(t *testing.T) {
	h, b := newLimitedHarness(t)
	h.setTimeout("rates", time.Minute)
	h.setSupply(10)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusOK)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan reply)
	go func() { disconnected <- h.sendWith(ctx, http.MethodGet, "/rates/1", "gone", "", nil) }()
	h.waitForTokenQueue(1)
	disconnect()
	<-disconnected
	h.waitForTokenQueue(0)
	assert.Equal(t, len(b.Arrivals()), 1)
}

// TestUnreadableLimitIsIgnored checks that a limit that can't be parsed leaves the known one in
// force, fails no request, and is logged once.
func TestUnreadableLimitIsIgnored(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.gateway.cfg.Protocol.ParseLimit = func([]string) (float64, bool) { return 0, false }
	b := h.add("plain", "a", "")
	b.SetLimit(func() []string { return []string{strings.Repeat("x", 1000), "1", "2", "3"} })
	for i := range 5 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint(i), "", nil).status, http.StatusOK)
	}
	lines := log.linesOf(event.ServerReportUnreadable)
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, len(lines[0]) < 500)
	assert.Equal(t, len(log.linesOf(event.ServerLimit)), 0)
}

// TestNewIncarnationHasNoLimit checks that a restarted server does not have the limit of its
// earlier incarnation.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	h, _ := newLimitedHarness(t)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusOK)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "refused", "", nil).status, http.StatusServiceUnavailable)
	h.report("plain", "a", registry.Gone)
	h.add("plain", "b", "")
	for i := range 3 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint(i), "", nil).status, http.StatusOK)
	}
}

// TestDisconnectedGatewayUsesItsShare checks that a gateway to which no replica issues tokens, as
// in a partitioned site, continues with its share of the limit.
func TestDisconnectedGatewayUsesItsShare(t *testing.T) {
	h, b := newLimitedHarness(t)
	b.SetLimit(func() []string { return []string{"1000"} })
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusOK)
	f := h.gateway.fleet
	f.mu.Lock()
	f.limited.connectedAt = f.clock.Now().Add(-standaloneAfter)
	f.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := h.send(http.MethodGet, "/rates/1", "alone", "", nil); got.status != http.StatusOK {
			return poll.Continue("%d", got.status)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// TestStreamsWaitForTokens has the only engine of a service report a limit: a stream that waits is
// reported to control as waiting, and is served once a token arrives.
func TestStreamsWaitForTokens(t *testing.T) {
	h, _ := newLimitedHarness(t)
	b := h.add("llm", "d", registry.Decode)
	b.SetLimit(func() []string { return []string{"0.5"} })
	assert.Equal(t, h.send(http.MethodPost, "/desk/1", "first", "x", workHeaders).status, http.StatusOK)
	done := make(chan reply)
	go func() { done <- h.send(http.MethodPost, "/desk/1", "waits", "x", workHeaders) }()
	f := h.gateway.fleet
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if asks := f.limitAsks(f.clock.Now()); asks["llm"].Waiting != 1 {
			return poll.Continue("%v", asks)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, len(h.grantTokens("d", 1)), 0)
	assert.Equal(t, (<-done).body, completeStream())
}

// TestLimitedEnginesGetNoCallsWithoutTokens has an engine of each role report a limit: without
// tokens they get no prompt, no run, and no call of the gateway's own, and streams are served by
// the others.
func TestLimitedEnginesGetNoCallsWithoutTokens(t *testing.T) {
	h, _ := newLimitedHarness(t)
	engines := map[string]*standin.Backend{}
	for _, id := range []string{"p1", "p2"} {
		engines[id] = h.add("llm", id, registry.Prefill)
	}
	for _, id := range []string{"d1", "d2"} {
		engines[id] = h.add("llm", id, registry.Decode)
	}
	limit := func() []string { return []string{"0.5"} }
	engines["p1"].SetLimit(limit)
	engines["d1"].SetLimit(limit)
	calls := func() int {
		_, n := engines["d1"].Holds()
		return n + len(engines["p1"].Arrivals()) + len(engines["d1"].Arrivals())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.Equal(t, h.send(http.MethodPost, "/desk/1", "warm", "x", workHeaders).status, http.StatusOK)
		if f := h.gateway.fleet; f.hasReducedCapacity("p1") && f.hasReducedCapacity("d1") {
			return poll.Success()
		}
		return poll.Continue("not both have reported their limits")
	}, poll.WithDelay(time.Millisecond))
	before := calls()
	for i := range 10 {
		got := h.send(http.MethodPost, "/desk/1", fmt.Sprint("desk-", i), "x", workHeaders)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, completeStream())
	}
	assert.Equal(t, calls(), before)
}

// TestKVCacheAtLimitedEngineIsFreed has the engine that prefilled a prompt report a limit in its
// answer, and the run be refused: the KV cache is freed although there is no token, and the next
// token is spent on that call.
func TestKVCacheAtLimitedEngineIsFreed(t *testing.T) {
	h, _ := newLimitedHarness(t)
	p, d := h.add("llm", "p", registry.Prefill), h.add("llm", "d", registry.Decode)
	p.SetLimit(func() []string { return []string{"0.5"} })
	d.SetFault(func(*http.Request) standin.Fault { return standin.Refuse })
	assert.Equal(t, h.send(http.MethodPost, "/review/1", "refused", "x", workHeaders).status, http.StatusServiceUnavailable)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := h.group.HeldAt(p); len(held) > 0 {
			return poll.Continue("%d KV caches are held", len(held))
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
	h.grantTokens("p", 1)
	f := h.gateway.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, !f.view.TakeToken(f.clock.Now(), "p"))
}

// TestReconnectedGatewayLeavesLimitToControl checks that a gateway that was disconnected when the
// last limit ended, and is connected when a server reports the next one, leaves an increase of the
// limit to control from the first answer on.
func TestReconnectedGatewayLeavesLimitToControl(t *testing.T) {
	h := newHarness(t)
	h.add("plain", "a", "")
	f, l := h.gateway.fleet, h.gateway.links
	now := f.clock.Now()
	f.limited.present.Store(true)
	f.limited.connectedAt = now.Add(-2 * standaloneAfter)
	l.sendLimits(now, nil)
	f.limited.present.Store(false)
	f.limited.connectedAt = now
	l.sendLimits(now, nil)

	f.mu.Lock()
	defer f.mu.Unlock()
	observe := func(rate float64, sent time.Duration) bool {
		at := now.Add(sent)
		_, changed := f.view.ObserveLimit(at, "a", ratelimit.Observation{Limited: true, Rate: rate, Sent: at, Received: at})
		return changed
	}
	assert.Assert(t, observe(2, 0))
	assert.Assert(t, !observe(5, time.Second), "the gateway assumes that it is disconnected")
}
