package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/standin"
)

// TestPoisonRequestIsRefused checks that a request that crashes each server that runs it is
// refused, as not run, once three servers have crashed under it, and that all others are served.
// Otherwise one request can crash eleven engines within 12 s: each of them crashes some 0.1 s after
// it has begun to run the request, with all its other runs, and the caller sends the request again
// under a new ID, through any gateway, so that no gateway recognises it by its ID.
func TestPoisonRequestIsRefused(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	engines := h.addCrashing("llm", "decode", 6)
	for n := range 12 {
		h.send("POST", "/review/1", fmt.Sprintf("deadly-%d", n), "deadly", workHeaders)
		h.waitForCrashes(log, runCount(engines...))
	}
	assert.Equal(t, runCount(engines...), 3, "servers that crashed")
	last := h.send("POST", "/review/1", "deadly-last", "deadly", workHeaders)
	assert.Equal(t, last.status, http.StatusServiceUnavailable)
	assert.Assert(t, last.header.Get("Retry-After") != "", "when to retry")
	assert.Equal(t, h.send("POST", "/review/1", "other", "harmless", workHeaders).body, completeStream())
}

// addCrashing adds servers that crash under a poison request.
func (h *harness) addCrashing(service, role string, n int) []*standin.Backend {
	h.t.Helper()
	var out []*standin.Backend
	for i := range n {
		s := h.add(service, fmt.Sprintf("%s-%d", service, i), role)
		s.SetFault(crashOn("deadly"))
		out = append(out, s)
	}
	return out
}

// waitForCrashes waits until the gateway has detected that some servers have crashed.
func (h *harness) waitForCrashes(log *testLog, crashed int) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if got := len(log.linesOf(event.ServerCrashed)); got < crashed {
			return poll.Continue("%d of %d", got, crashed)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestPlainPoisonRequestIsRefused checks the same for plain services, where a gateway itself sends
// a repeatable request to a second server.
func TestPlainPoisonRequestIsRefused(t *testing.T) {
	h, log := newLoggedHarness(t)
	servers := h.addCrashing("plain", "", 6)
	for n := range 6 {
		h.send("POST", "/rates/1", fmt.Sprintf("deadly-%d", n), "deadly", nil)
		h.waitForCrashes(log, runCount(servers...))
	}
	assert.Equal(t, runCount(servers...), 3, "servers that crashed")
	assert.Equal(t, h.send("POST", "/rates/1", "other", "harmless", nil).status, http.StatusOK)
}

// TestServersCrashingTogetherBlockNoContent checks that a content which several servers run when
// all of them crash at once, as when a rack loses power, is served by the servers that replace
// them.
func TestServersCrashingTogetherBlockNoContent(t *testing.T) {
	h := newHarness(t)
	hang := func(*http.Request) standin.Fault { return standin.Hang }
	var servers []*standin.Backend
	for n := range 5 {
		s := h.add("plain", fmt.Sprintf("s%d", n), "")
		s.SetFault(hang)
		servers = append(servers, s)
	}
	done := make(chan reply, 10)
	for n := range 10 {
		go func() { done <- h.send("POST", "/seats/1", fmt.Sprint("popular-", n), "popular", nil) }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, s := range servers {
			if s.Running() == 0 {
				return poll.Continue("not all servers run it")
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, s := range servers {
		go s.Kill()
	}
	for range 10 {
		<-done
	}
	h.add("plain", "next", "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := h.send("POST", "/seats/1", "after", "popular", nil); got.status != http.StatusOK {
			return poll.Continue("%d %s", got.status, got.body)
		}
		return poll.Success()
	})
}
