package gateway

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

func TestPlainFaults(t *testing.T) {
	tests := []struct {
		name   string
		target string
		fault  standin.Fault
		status int
		ran    int
	}{
		{"a refusal goes to another server", "/seats/1", standin.Refuse, 200, 1},
		{"a request that may not be repeated is not sent again if its answer is lost", "/seats/1", standin.LoseAnswer, 502, 1},
		{"a repeatable request whose answer is lost is sent again", "/rates/1", standin.LoseAnswer, 200, 2},
		{"a success without a signature counts as a failure", "/seats/1", standin.NoSignature, 502, 1},
		{"the answer to another request is discarded", "/seats/1", standin.OtherAnswerFirst, 200, 1},
		{"a server that doesn't answer is abandoned in time", "/seats/1", standin.Hang, 504, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			a, b := h.add("plain", "a", ""), h.add("plain", "b", "")
			fault := faultOnce(tt.fault, nil)
			a.SetFault(fault)
			b.SetFault(fault)
			got := h.send("POST", tt.target, "q1", "x", nil)
			assert.Equal(t, got.status, tt.status, got.body)
			assert.Equal(t, runCount(a, b), tt.ran)
			if got.status == 200 {
				assert.Assert(t, strings.HasPrefix(got.body, "answer to q1"), got.body)
			} else {
				assert.Equal(t, got.header.Get(protocol.Headers.Signature), "", "the gateway's own failures are not signed")
			}
		})
	}
}

func TestGatewayRefusals(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.send("GET", "/nowhere/", "q1", "", nil).status, 404)
	got := h.send("GET", "/rates/1", "q2", "", nil)
	assert.Equal(t, got.status, 503, "there is no server")
	assert.Equal(t, got.header.Get("Retry-After"), "0.90", "servers report themselves about once a second")
	assert.Equal(t, h.send("POST", "/rates/1", "q3", strings.Repeat("x", 1001), nil).status, 413)
}

// TestRequestIsForwardedUnchanged checks that method, path, query, body and the caller's header
// fields are forwarded unchanged, without the fields that only a gateway sets.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t)
	a := h.add("plain", "a", "")
	headers := protocol.Headers
	got := h.send("PUT", "/rates/a%2Fb/?x=1&y=%20", "q1", "body", map[string]string{
		"X-Own": "v", headers.Role: "prefill", headers.KVSource: "1.2.3.4:5/6", headers.ExpectInstance: "other", headers.Deadline: "700",
	})
	assert.Equal(t, got.status, 200, got.body)
	in := a.Arrivals()[0]
	assert.Equal(t, in.Method+" "+in.Target+" "+in.Body, "PUT /rates/a%2Fb/?x=1&y=%20 body")
	assert.Equal(t, in.Header.Get("X-Own"), "v")
	assert.Equal(t, in.Header.Get(headers.Role)+in.Header.Get(headers.KVSource), "")
	assert.Equal(t, in.Header.Get(headers.ExpectInstance), "a")
	var remaining int
	_, err := fmt.Sscan(in.Header.Get(headers.Deadline), &remaining)
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0 && remaining <= 700, "remaining %d", remaining)
}

// TestForgedHeadersAreNotForwarded checks, for both kinds of service, that no header field of a
// gateway or a server reaches a server if it was set by a caller.
func TestForgedHeadersAreNotForwarded(t *testing.T) {
	const forged = "forged"
	h := newHarness(t)
	servers := []*standin.Backend{h.add("plain", "a", ""), h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")}
	sent := map[string]string{}
	for _, fields := range []any{protocol.Headers.GatewayFields, protocol.Headers.ServerFields} {
		v := reflect.ValueOf(fields)
		for i := range v.NumField() {
			if name, ok := v.Field(i).Interface().(string); ok {
				sent[name] = forged
			}
		}
	}
	assert.Assert(t, len(sent) >= 6)
	for _, target := range []string{"/rates/1", "/review/1"} {
		got := h.send("POST", target, "q"+target, "x", sent)
		assert.Equal(t, got.status, 200, got.body)
	}
	for _, b := range servers {
		assert.Assert(t, len(b.Arrivals()) > 0, b.ID)
		for _, in := range b.Arrivals() {
			for name := range sent {
				assert.Assert(t, in.Header.Get(name) != forged, "%s reaches %s", name, b.ID)
			}
		}
	}
}

func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name     string
		target   string
		fault    func(r *http.Request) standin.Fault
		status   int
		complete bool
		runs     int
		prefills int
	}{
		{"no fault", "/review/1", nil, 200, true, 1, 1},
		{"a refused prefill goes to another engine", "/review/1", faultOnce(standin.Refuse, isPrefill), 200, true, 1, 2},
		{"a refused decode goes to another engine with the same KV cache", "/review/1", faultOnce(standin.Refuse, isDecode), 200, true, 1, 1},
		{"a stream that may not be resumed is visibly truncated", "/review/1", faultOnce(standin.CutStream, isDecode), 200, false, 1, 1},
		{"a stream that may be resumed continues at another engine", "/desk/1", faultOnce(standin.CutStream, isDecode), 200, true, 2, 2},
		{"a lost answer to a decode is a failure", "/review/1", faultOnce(standin.LoseAnswer, isDecode), 502, false, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			prefillEngines := []*standin.Backend{h.add("llm", "p1", "prefill"), h.add("llm", "p2", "prefill")}
			decodeEngines := []*standin.Backend{h.add("llm", "d1", "decode"), h.add("llm", "d2", "decode")}
			for _, b := range h.servers {
				b.SetFault(tt.fault)
			}
			got := h.send("POST", tt.target, "q1", "x", workHeaders)
			assert.Equal(t, got.status, tt.status, got.body)
			if tt.complete {
				assert.Equal(t, got.body, completeStream())
			}
			assert.Equal(t, got.truncated, got.status == 200 && !tt.complete)
			assert.Equal(t, runCount(decodeEngines...), tt.runs)
			assert.Equal(t, len(prefillEngines[0].Arrivals())+len(prefillEngines[1].Arrivals()), tt.prefills)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := h.group.Held(); n > 0 {
					return poll.Continue("%d KV caches are held", n)
				}
				return poll.Success()
			})
			for _, s := range h.gateway.fleet.list() {
				assert.Equal(t, s.Own, dispatch.Load{}, s.ID)
			}
		})
	}
}

// TestEngineDrainingDuringPrefillGetsNoRun checks that an engine that starts to drain after it was
// chosen, while the prompt is prefilled, gets no work.
func TestEngineDrainingDuringPrefillGetsNoRun(t *testing.T) {
	h := newHarness(t)
	p := h.add("llm", "p1", "prefill")
	d := h.add("llm", "d1", "decode")
	p.SetPace(300*time.Millisecond, 0, 0)
	time.AfterFunc(100*time.Millisecond, func() {
		h.add("llm", "d2", "decode")
		h.report("llm", "d1", registry.Draining)
	})
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, len(d.Arrivals()), 0, "a leaving engine got work")
	assert.Equal(t, runCount(h.servers["d2"]), 1)
}

// TestNothingRemainsReservedAfterCallerDisconnects checks that nothing remains reserved for a
// caller that has disconnected, in each phase.
func TestNothingRemainsReservedAfterCallerDisconnects(t *testing.T) {
	for _, phase := range []string{"prefill", "decode"} {
		t.Run(phase, func(t *testing.T) {
			h := newHarness(t)
			p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
			p.SetPace(50*time.Millisecond, 0, 0)
			d.SetPace(0, 20*time.Millisecond, 1000)
			if phase == "prefill" {
				p.SetPace(10*time.Second, 0, 0)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			got := h.sendWith(ctx, "POST", "/review/1", "q1", "x", workHeaders)
			assert.Assert(t, got.truncated)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.Running()+d.Running()+h.group.Held() > 0 || h.gateway.Active() > 0 {
					return poll.Continue("work continues")
				}
				return poll.Success()
			}, poll.WithTimeout(2*time.Second))
			for _, s := range h.gateway.fleet.list() {
				assert.Equal(t, s.Own, dispatch.Load{}, s.ID)
			}
		})
	}
}

// TestRetryBudgetIsPerService checks that the requests of one service do not add to the retry
// budget of another.
func TestRetryBudgetIsPerService(t *testing.T) {
	f := newFleet(nil, "g", "z", nil, dispatch.Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second, Since: clock.VM.Now().Add(-time.Minute)})
	f.setOthers(dispatch.OtherGateways{Gateways: 5, Known: 1})
	for range 1000 {
		f.countRequest("plain")
	}
	sends := 0
	for f.reserveRetries("llm", 1) {
		sends++
	}
	assert.Equal(t, sends, 1, "budgetUse (0.7) of a fifth of the slack of 10")
}

// TestGatewayCountOutlastsPartition checks that a gateway that no longer sees the others does not
// use the whole retry budget.
func TestGatewayCountOutlastsPartition(t *testing.T) {
	l := &links{gateways: map[string]int{"a": 5}}
	now := clock.VM.Now()
	assert.Equal(t, l.countGateways(now), 5)
	delete(l.gateways, "a")
	assert.Equal(t, l.countGateways(now.Add(peakDuration/2)), 5, "those seen recently still count")
	assert.Equal(t, l.countGateways(now.Add(2*peakDuration)), minGateways)
}

// TestEverySendNeedsRetryBudget checks that without retry budget no prompt is prefilled a second
// time, and no second engine is asked to generate the answer.
func TestEverySendNeedsRetryBudget(t *testing.T) {
	h := newHarness(t)
	h.gateway.fleet.bounds = dispatch.Budget{Window: 10 * time.Second}
	p := h.add("llm", "p1", "prefill")
	h.add("llm", "p2", "prefill").Kill()
	requested := 0
	for n := range 8 {
		h.add("llm", fmt.Sprint("d", n), "decode").SetFault(func(*http.Request) standin.Fault { return standin.Refuse })
	}
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, len(p.Arrivals()), 1)
	for id, b := range h.servers {
		if id != "p1" {
			requested += len(b.Arrivals())
		}
	}
	assert.Equal(t, requested, 1)
}

// TestSameTableFromSeveralLinksIsNotModified checks that a table which several links deliver at
// once, and confirm again while requests use it, is not modified.
func TestSameTableFromSeveralLinksIsNotModified(t *testing.T) {
	h := newHarness(t)
	h.add("plain", "a", "")
	old := h.gateway.table.Load()
	var wg sync.WaitGroup
	for version := uint64(2); version < 6; version++ {
		for link := range 4 {
			wg.Go(func() {
				received := &route.Table{Version: version, Routes: old.Routes, Services: old.Services}
				h.gateway.links.updateRoutes(fmt.Sprint(link), &wire.Routes{Table: received, Version: version, Confirmed: true})
				for range 50 {
					h.gateway.links.updateRoutes(fmt.Sprint(link), &wire.Routes{Version: version, Confirmed: true})
					h.gateway.table.Load().Lookup("h", fmt.Sprint("/rates/", link))
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, h.gateway.table.Load().Version, uint64(5))
}

// TestPromptIsUsedIfMostEnginesAreUnreachable checks that a prompt that has been prefilled is used
// although most decode engines can't be reached.
func TestPromptIsUsedIfMostEnginesAreUnreachable(t *testing.T) {
	h := newHarness(t)
	p := h.add("llm", "p1", "prefill")
	for n := range 12 {
		h.add("llm", fmt.Sprint("d", n), "decode").Kill()
	}
	h.add("llm", "d99", "decode")
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, len(p.Arrivals()), 1, "prefilled once")
}

// TestEngineRejectingEveryPromptIsAvoided checks that a decode engine is avoided if it rejects each
// prompt that was prefilled for it, as one whose role has changed without the gateway being
// notified: each attempt wastes a prefill, and the engine looks emptier than all others.
func TestEngineRejectingEveryPromptIsAvoided(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	h.add("llm", "p2", "prefill")
	rejecting := h.add("llm", "d1", "decode")
	rejecting.SetFault(func(*http.Request) standin.Fault { return standin.Refuse })
	h.add("llm", "d2", "decode").SetPace(0, 40*time.Millisecond, 10)
	large := map[string]string{protocol.Headers.Tokens: "9000,1000", protocol.Headers.LengthHint: "900"}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			got := h.send("POST", "/review/1", fmt.Sprint("q", i), "x", large)
			assert.Check(t, got.status == 200, got.body)
		})
	}
	wg.Wait()
	assert.Assert(t, len(rejecting.Arrivals()) <= 2, "%d prompts were prefilled for the rejecting engine", len(rejecting.Arrivals()))
}

// TestRejectedKVCacheEjectsNoEngine checks that engines that refused a KV cache do not count as
// failed because another engine has prefilled the prompt itself and accepted the request.
func TestRejectedKVCacheEjectsNoEngine(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	for _, id := range []string{"d1", "d2", "d3"} {
		h.add("llm", id, "decode").SetFault(func(in *http.Request) standin.Fault {
			if in.Header.Get(protocol.Headers.KVSource) != "" {
				return standin.Refuse
			}
			return standin.NoFault
		})
	}
	got := h.send("POST", "/desk/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	for _, id := range []string{"d1", "d2", "d3"} {
		h.gateway.fleet.mu.Lock()
		blocked := h.gateway.fleet.view.Blocked(clock.VM.Now(), id)
		h.gateway.fleet.mu.Unlock()
		assert.Assert(t, !blocked, "%s is avoided because of a fault of the prefill engine", id)
	}
}
