package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/standin"
)

// TestDrainingGatewayRefusesLongStreams checks that a draining gateway accepts streams that end
// before it stops, and refuses those that it would cut, so that callers retry elsewhere.
func TestDrainingGatewayRefusesLongStreams(t *testing.T) {
	h := newHarness(t)
	p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	longHeaders := map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "400"}
	got := h.send("POST", "/review/1", "q1", "x", longHeaders)
	assert.Equal(t, got.status, 200, got.body)

	h.gateway.fleet.noteRun("llm", 1000*time.Second, 0, 1000*time.Second, 1000)
	assert.Assert(t, h.gateway.fleet.timePerToken("llm") > 10*time.Millisecond)
	h.gateway.Drain(clock.VM.Now().Add(3 * time.Second))
	got = h.send("POST", "/review/1", "q2", "x", workHeaders)
	assert.Equal(t, got.status, 200, got.body)
	arrivals := len(p.Arrivals()) + len(d.Arrivals())
	got = h.send("POST", "/review/1", "q3", "x", longHeaders)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "0.05")
	assert.Equal(t, len(p.Arrivals())+len(d.Arrivals()), arrivals, "the request reached an engine")
}

// TestFinishingGatewayRefusesLateRequests checks that a gateway that is about to stop serves
// requests that are sure to end before that, and refuses all others at once with a closing
// connection, so that callers go to another gateway: the cause is not a lack of capacity.
func TestFinishingGatewayRefusesLateRequests(t *testing.T) {
	tests := []struct {
		name      string
		remaining time.Duration
		target    string
		status    int
	}{
		{"a short request in time", 30 * time.Second, "/rates/1", 200},
		{"a short request too late", 500 * time.Millisecond, "/rates/1", 503},
		{"what may not be repeated, too late", 500 * time.Millisecond, "/seats/1", 503},
		{"a stream", 30 * time.Second, "/desk/1", 503},
		{"a stream that can't be resumed", 30 * time.Second, "/review/1", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			servers := []*standin.Backend{h.add("plain", "a", ""), h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")}
			end := clock.VM.Now().Add(tt.remaining)
			h.gateway.Drain(end)
			h.gateway.Finish(end)
			got := h.send("POST", tt.target, "q1", "x", workHeaders)
			assert.Equal(t, got.status, tt.status, got.body)
			if tt.status == 200 {
				return
			}
			assert.Equal(t, got.header.Get("Retry-After"), "0.05")
			assert.Assert(t, got.closesConn, "the connection stays open")
			assert.Equal(t, runCount(servers...), 0)
		})
	}
}
