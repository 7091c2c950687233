package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// Prompts with the part "poison", and sound ones with the same first part.
const (
	poisonPrompt = "first:10,poison:10,own:10"
	soundPrompt  = "first:10,own:10"
)

// withParts returns the header of a request with these parts of its prompt.
func withParts(parts string) map[string]string {
	out := maps.Clone(workHeaders)
	out[protocol.Headers.PromptParts] = parts
	return out
}

// crashRecords returns three crashes under runs with the part "poison" and different other parts, the
// last of them some time ago.
func crashRecords(ago time.Duration) []poison.Record {
	var out []poison.Record
	for n := range 3 {
		out = append(out, poison.Record{
			Content: poison.Digest{99, byte(n)}, Parts: []poison.Digest{poison.PartDigest("llm", "poison"), poison.PartDigest("llm", fmt.Sprint("other-", n))},
			Endings: []poison.Ending{{Server: fmt.Sprint("gone-", n), Age: ago + time.Duration(3-n)*time.Second, Ran: 100 * time.Millisecond}},
		})
	}
	return out
}

// blockPart blocks the part "poison", as by the records of other gateways.
func (h *harness) blockPart() { h.gateway.contents.merge(crashRecords(0)) }

func (h *harness) sendParts(id, path, parts string) reply {
	return h.send("POST", path, id, "body of "+id, withParts(parts))
}

func (h *harness) assertRefused(r reply) {
	h.t.Helper()
	assert.Equal(h.t, r.status, http.StatusServiceUnavailable)
	assert.Assert(h.t, r.header.Get("Retry-After") != "")
}

func arrivals(servers ...*standin.Backend) int {
	n := 0
	for _, b := range servers {
		n += len(b.Arrivals())
	}
	return n
}

// TestBlockedPartIsRefused checks that a prompt with a blocked part reaches no server, also if another
// part of it can't be read, and that prompts with its other parts are served.
func TestBlockedPartIsRefused(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	h.blockPart()
	for n, parts := range []string{poisonPrompt, "first:0,poison:x,own:10", ":,poison:-1,own"} {
		h.assertRefused(h.sendParts(fmt.Sprint("poison-", n), "/review/1", parts))
	}
	assert.Equal(t, arrivals(p, d), 0)
	for n, parts := range []string{soundPrompt, "first:10,poison:10", "other-1:10,first:10,own:10"} {
		assert.Equal(t, h.sendParts(fmt.Sprint("sound-", n), "/review/1", parts).body, completeStream(), parts)
	}
}

// TestPartIsBlockedByCrashes checks that requests without anything in common but a part are refused
// after three crashes, and that a request which runs on clears the part that it shares with them.
func TestPartIsBlockedByCrashes(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	var engines []*standin.Backend
	for n := range 6 {
		b := h.add("llm", fmt.Sprint("d", n), "decode")
		b.SetPoisonParts(func(id string) bool { return id == "poison" }, 50*time.Millisecond, nil)
		engines = append(engines, b)
	}
	for n := range 8 {
		h.sendParts(fmt.Sprint("poison-", n), "/review/1", fmt.Sprintf("first:10,middle-%d:10,poison:10,own:10", n%2))
		h.waitForCrashes(log, runCount(engines...))
	}
	assert.Equal(t, runCount(engines...), 3, "servers that crashed")
	assert.Equal(t, len(log.linesOf(event.PartBlocked)), 1)
	for n := range 2 {
		assert.Equal(t, h.sendParts(fmt.Sprint("sound-", n), "/review/1", fmt.Sprintf("first:10,middle-%d:10,own:10", n)).body, completeStream())
	}
}

// TestWaitingRequestIsRefusedWhenPartIsBlocked checks that a request in the queue does not wait for a
// server that it may not reach.
func TestWaitingRequestIsRefusedWhenPartIsBlocked(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	d.SetPace(0, 30*time.Millisecond, 60)
	for n := range 8 {
		go h.sendParts(fmt.Sprint("running-", n), "/review/1", soundPrompt)
	}
	h.waitUntil("the engine is full", func() bool { return d.Running() == 8 })
	before := arrivals(p, d)
	done := make(chan reply, 1)
	began := time.Now()
	go func() { done <- h.sendParts("poison", "/review/1", poisonPrompt) }()
	h.waitUntil("the request waits", func() bool {
		h.gateway.contents.mu.Lock()
		defer h.gateway.contents.mu.Unlock()
		return len(h.gateway.contents.watchers) == 1
	})
	h.blockPart()
	h.assertRefused(<-done)
	assert.Assert(t, time.Since(began) < 700*time.Millisecond, "refused after %v", time.Since(began))
	assert.Equal(t, arrivals(p, d), before)
}

// TestPrefillIsStoppedWhenPartIsBlocked checks that a request whose part becomes blocked during its
// prefill is refused at once, and leaves no KV cache behind.
func TestPrefillIsStoppedWhenPartIsBlocked(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	p.SetPace(600*time.Millisecond, 0, 0)
	done := make(chan reply, 1)
	go func() { done <- h.sendParts("poison", "/review/1", poisonPrompt) }()
	h.waitUntil("the prefill has begun", func() bool { return len(p.Arrivals()) == 1 })
	began := time.Now()
	h.blockPart()
	h.assertRefused(<-done)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "refused after %v", time.Since(began))
	assert.Equal(t, runCount(d), 0)
	h.waitNothingHeld()
}

// blockOnArrival blocks the part when the first request of a caller reaches an engine, which then does
// what the fault says.
func (h *harness) blockOnArrival(b *standin.Backend, f standin.Fault) {
	var done atomic.Bool
	b.SetFault(func(*http.Request) standin.Fault {
		if !done.CompareAndSwap(false, true) {
			return standin.NoFault
		}
		h.blockPart()
		return f
	})
}

// TestBlockedPartGetsNoFurtherServer checks that a request whose part becomes blocked while a server
// has it goes to no other one: after a prefill, a refusal of a decode engine, and a lost stream.
func TestBlockedPartGetsNoFurtherServer(t *testing.T) {
	t.Run("after a prefill", func(t *testing.T) {
		h := newHarness(t)
		p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
		p.SetMiddleware(func(own http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				own.ServeHTTP(w, r)
				if r.Header.Get(protocol.Headers.Role) == registry.Prefill {
					h.blockPart()
				}
			})
		})
		h.assertRefused(h.sendParts("poison", "/review/1", poisonPrompt))
		assert.Equal(t, runCount(d), 0)
		h.waitNothingHeld()
	})
	t.Run("after a refusal", func(t *testing.T) {
		h := newHarness(t)
		h.add("llm", "p1", "prefill")
		engines := []*standin.Backend{h.add("llm", "d1", "decode"), h.add("llm", "d2", "decode")}
		for _, b := range engines {
			b.SetFault(func(*http.Request) standin.Fault {
				h.blockPart()
				return standin.Refuse
			})
		}
		h.assertRefused(h.sendParts("poison", "/review/1", poisonPrompt))
		assert.Equal(t, arrivals(engines...), 1)
	})
	t.Run("after a lost stream", func(t *testing.T) {
		h := newHarness(t)
		h.add("llm", "p1", "prefill")
		engines := []*standin.Backend{h.add("llm", "d1", "decode"), h.add("llm", "d2", "decode")}
		for _, b := range engines {
			h.blockOnArrival(b, standin.CutStream)
		}
		r := h.sendParts("poison", "/desk/1", poisonPrompt)
		assert.Assert(t, r.truncated)
		assert.Equal(t, arrivals(engines...), 1)
	})
	t.Run("a caller that returns for the rest", func(t *testing.T) {
		h := newHarness(t)
		p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
		assert.Equal(t, h.sendParts("begun", "/desk/1", poisonPrompt).body, completeStream())
		h.blockPart()
		before, header := arrivals(p, d), withParts(poisonPrompt)
		header[protocol.Headers.LastEventID], header[protocol.Headers.Resumes] = "2", "begun"
		h.assertRefused(h.send("POST", "/desk/1", "again", "body of begun", header))
		assert.Equal(t, arrivals(p, d), before)
	})
	t.Run("an engine that leaves", func(t *testing.T) {
		h, log := newLoggedHarness(t)
		h.add("llm", "p1", "prefill")
		d := h.add("llm", "d1", "decode")
		d.SetPace(0, 50*time.Millisecond, 20)
		done := make(chan reply, 1)
		go func() { done <- h.sendParts("poison", "/desk/1", poisonPrompt) }()
		h.waitUntil("the run has begun", func() bool { return d.Running() == 1 })
		other := h.add("llm", "d2", "decode")
		h.blockPart()
		h.report("llm", "d1", registry.Draining)
		r := <-done
		assert.Assert(t, !r.truncated)
		assert.Equal(t, arrivals(other), 0, "%v", log.linesOf(event.RunMigrated))
	})
}

// TestTrialUnblocksPart checks that single requests try a blocked part once its time has come, and that
// it is free again when one of them goes on.
func TestTrialUnblocksPart(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	d := h.add("llm", "d1", "decode")
	d.SetPace(0, 100*time.Millisecond, 5)
	h.gateway.contents.merge(crashRecords(16 * time.Second))
	const callers = 6
	done := make(chan reply, callers)
	for n := range callers {
		go func() { done <- h.sendParts(fmt.Sprint("trial-", n), "/review/1", poisonPrompt) }()
	}
	served := 0
	for range callers {
		if r := <-done; r.status == http.StatusOK {
			served++
		} else {
			h.assertRefused(r)
		}
	}
	assert.Equal(t, served, 1)
	assert.Equal(t, len(log.linesOf(event.PartTried)), 1)
	assert.Equal(t, len(log.linesOf(event.PartUnblocked)), 1)
	for n := range 3 {
		assert.Equal(t, h.sendParts(fmt.Sprint("after-", n), "/review/1", poisonPrompt).status, http.StatusOK)
	}
}

// TestFailedTrialBlocksPartForLonger checks that a trial which crashes its server is the only one.
func TestFailedTrialBlocksPartForLonger(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	engines := h.addCrashing("llm", "decode", 3)
	h.gateway.contents.merge(crashRecords(16 * time.Second))
	h.send("POST", "/review/1", "trial", "deadly", withParts(poisonPrompt))
	h.waitForCrashes(log, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(log.linesOf(event.PartBlocked)) < 2 {
			return poll.Continue("not blocked for longer")
		}
		return poll.Success()
	})
	for n := range 5 {
		h.assertRefused(h.sendParts(fmt.Sprint("after-", n), "/review/1", poisonPrompt))
	}
	assert.Equal(t, runCount(engines...), 1)
	trial := h.gateway.contents.blockedParts()[0]
	assert.Equal(t, trial.Endings, 4)
	assert.Assert(t, trial.TrialMs > 30_000, "%d ms", trial.TrialMs)
}

// TestEndedTrialLetsAnotherTry checks that a trial whose outcome stays unknown, since its caller leaves
// or no server takes it, does not block the part for good.
func TestEndedTrialLetsAnotherTry(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	d := h.add("llm", "d1", "decode")
	d.SetFault(faultOnce(standin.Refuse, nil))
	h.gateway.contents.merge(crashRecords(16 * time.Second))
	first := h.sendParts("trial-1", "/review/1", poisonPrompt)
	second := h.sendParts("trial-2", "/review/1", poisonPrompt)
	assert.Assert(t, first.status == http.StatusOK || second.status == http.StatusOK, "%d %d", first.status, second.status)
}

// TestRunsUnderWayAreNotSuspected checks that engines which crash under runs that have been going on for
// some time leave no part blocked.
func TestRunsUnderWayAreNotSuspected(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	for n := range 4 {
		b := h.add("llm", fmt.Sprint("d", n), "decode")
		b.SetPace(0, 10*time.Millisecond, 100)
		done := make(chan reply, 1)
		go func() { done <- h.sendParts(fmt.Sprint("sound-", n), "/review/1", soundPrompt) }()
		h.waitUntil("the run goes on", func() bool { return b.Running() == 1 })
		time.Sleep(2 * beginTime)
		b.Crash()
		<-done
		h.waitForCrashes(log, n+1)
	}
	assert.Equal(t, len(log.linesOf(event.PartBlocked)), 0)
	assert.Equal(t, len(h.gateway.contents.blockedParts()), 0)
}
