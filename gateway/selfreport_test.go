package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// TestRequestsAreRefusedDuringRetryAfter has the only server of a service ask for a long pause: it
// gets nothing more, and callers are refused at once, as not run, until it ends.
func TestRequestsAreRefusedDuringRetryAfter(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "a", "")
	b.SetSays(standin.TurnAway("30"))
	for i := range 5 {
		got := h.send(http.MethodPost, "/seats/1", fmt.Sprint("refused-", i), "x", nil)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Check(t, after > 20 && after < 40, "%v", after)
	}
	assert.Equal(t, len(b.Asked()), 1)
}

// TestOtherServersServeDuringRetryAfter wants requests to go to the other servers of the service.
func TestOtherServersServeDuringRetryAfter(t *testing.T) {
	h := newHarness(t)
	a := h.add("plain", "a", "")
	h.add("plain", "b", "")
	a.SetSays(standin.TurnAway("30"))
	for i := range 20 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint(i), "", nil).status, http.StatusOK)
	}
	assert.Equal(t, len(a.Asked()), 1)
}

// TestShorterRetryAfterDoesNotShortenPause has a server ask for a long pause and, in an answer that was
// asked for before, for a short one.
func TestShorterRetryAfterDoesNotShortenPause(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "a", "")
	first, second := make(chan bool), make(chan bool)
	b.SetSays(func(req *http.Request) standin.Says {
		if req.Header.Get(protocol.Headers.RequestID) == "slow" {
			close(first)
			<-second
			return standin.Says{RetryAfter: []string{"0.01"}}
		}
		return standin.Says{RetryAfter: []string{"30"}}
	})
	done := make(chan reply)
	go func() { done <- h.send(http.MethodPost, "/seats/1", "slow", "x", nil) }()
	<-first
	assert.Equal(t, h.send(http.MethodPost, "/seats/1", "long", "x", nil).status, http.StatusServiceUnavailable)
	close(second)
	<-done
	time.Sleep(20 * time.Millisecond) // the short one is over
	assert.Equal(t, h.send(http.MethodPost, "/seats/1", "last", "x", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.Asked()), 2)
}

// TestEnginesGetNothingDuringRetryAfter has an engine of each role ask for a pause: no prompt, run
// or call of the gateway's own reaches it, and streams are made at the others.
func TestEnginesGetNothingDuringRetryAfter(t *testing.T) {
	h := newHarness(t)
	engines := map[string]*standin.Backend{}
	for _, id := range []string{"p1", "p2"} {
		engines[id] = h.add("llm", id, registry.Prefill)
	}
	for _, id := range []string{"d1", "d2"} {
		engines[id] = h.add("llm", id, registry.Decode)
	}
	engines["p1"].SetSays(standin.TurnAway("30"))
	engines["d1"].SetSays(standin.TurnAway("30"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.send(http.MethodPost, "/desk/1", "warm", "x", workHeaders)
		if len(engines["p1"].Asked()) > 0 && len(engines["d1"].Asked()) > 0 {
			return poll.Success()
		}
		return poll.Continue("not both were asked")
	}, poll.WithDelay(time.Millisecond))
	before := len(engines["p1"].Asked()) + len(engines["d1"].Asked())
	for i := range 20 {
		got := h.send(http.MethodPost, "/desk/1", fmt.Sprint("desk-", i), "x", workHeaders)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, completeStream())
	}
	assert.Equal(t, len(engines["p1"].Asked())+len(engines["d1"].Asked()), before)
}

// TestOnlyOneFreeCallDuringRetryAfter has an engine ask for a pause while it reads three prompts, which no
// decode engine takes: one call frees what it keeps for nobody, and nothing else reaches it.
func TestOnlyOneFreeCallDuringRetryAfter(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p", registry.Prefill), h.add("llm", "d", registry.Decode)
	d.SetFault(func(*http.Request) standin.Fault { return standin.Refuse })
	reads, paused := make(chan bool, 3), make(chan bool)
	p.SetSays(func(req *http.Request) standin.Says {
		switch {
		case req.Header.Get(protocol.Headers.RequestID) == "asks":
			return standin.TurnAway("30")(req)
		case req.Method == http.MethodPost:
			reads <- true
			<-paused
		}
		return standin.Says{}
	})
	var wg sync.WaitGroup
	for i := range cap(reads) {
		wg.Go(func() { h.send(http.MethodPost, "/review/1", fmt.Sprint("read-", i), "x", workHeaders) })
	}
	for range cap(reads) {
		<-reads
	}
	h.send(http.MethodPost, "/review/1", "asks", "x", workHeaders)
	close(paused)
	wg.Wait()
	time.Sleep(2 * freeTimeout) // calls that free run on after their requests
	got := map[string]int{}
	for _, a := range p.Asked() {
		got[a.Method]++
	}
	assert.DeepEqual(t, got, map[string]int{http.MethodPost: 4, http.MethodDelete: 1})
}

// TestStreamsAreRefusedDuringRetryAfter has the only engine ask for a pause that outlasts the target
// of the route: its callers are refused at once.
func TestStreamsAreRefusedDuringRetryAfter(t *testing.T) {
	h := newHarness(t)
	b := h.add("llm", "d", registry.Decode)
	b.SetSays(standin.TurnAway("30"))
	for i := range 3 {
		started := time.Now()
		got := h.send(http.MethodPost, "/review/1", fmt.Sprint(i), "x", workHeaders)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Check(t, after > 20, "%v", after)
		assert.Check(t, i == 0 || time.Since(started) < 500*time.Millisecond, "%v", time.Since(started))
	}
	assert.Equal(t, len(b.Asked()), 1)
}

// TestLeavingServerGetsNoRequests has a server tell that it leaves while its heartbeats say that it is
// ready, and then no more that it leaves.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "a", "")
	b.SetSays(standin.Leaves)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusOK)
	b.SetSays(nil)
	h.report("plain", "a", registry.Ready)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "second", "", nil).status, http.StatusServiceUnavailable)
	h.add("plain", "b", "")
	for i := range 5 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", fmt.Sprint(i), "", nil).status, http.StatusOK)
	}
	assert.Equal(t, len(b.Asked()), 1)
}

// TestRequestsWaitForEndOfPause wants a request that has time to wait for the server to be back,
// and the dump to show the pause.
func TestRequestsWaitForEndOfPause(t *testing.T) {
	h := newHarness(t)
	h.setTimeout("seats", time.Minute)
	b := h.add("plain", "a", "")
	b.SetSays(standin.TurnAway("0.3"))
	assert.Equal(t, h.send(http.MethodPost, "/seats/1", "first", "x", nil).status, http.StatusServiceUnavailable)
	b.SetSays(nil)
	assert.Assert(t, h.gateway.Dump().(Dump).PausedMs["a"] > 0)
	started := time.Now()
	for i := range 4 {
		assert.Equal(t, h.send(http.MethodPost, "/seats/1", fmt.Sprint("waits-", i), "x", nil).status, http.StatusOK)
	}
	assert.Assert(t, time.Since(started) > 100*time.Millisecond)
	requests := b.Asked()
	assert.Assert(t, requests[1].At.Sub(requests[0].At) >= 290*time.Millisecond, "%v", requests[1].At.Sub(requests[0].At))
	assert.Equal(t, len(requests), 5)
}

// TestReportOfAnotherServerIsIgnored has the server at an address be another one than is meant: what it says of
// itself is no report of the one that was meant.
func TestReportOfAnotherServerIsIgnored(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "a", "")
	b.Name = "another"
	b.SetSays(standin.Leaves)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.Asked()), 1)
	f := h.gateway.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.view.UnsentLeaving()), 0)
}

// TestNewIncarnationIsNotPaused wants the next start of a server to be bound by nothing that the one
// before has said.
func TestNewIncarnationIsNotPaused(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "a", "")
	b.SetSays(standin.TurnAway("30"))
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "first", "", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "paused", "", nil).status, http.StatusServiceUnavailable)
	h.report("plain", "a", registry.Gone)
	h.add("plain", "b", "")
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "next", "", nil).status, http.StatusOK)
	assert.Equal(t, len(b.Asked()), 1)
}
