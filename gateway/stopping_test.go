package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/standin"
)

// TestStreamsThatOutlastTheGateway wants a gateway that stops to take the streams
// that end in time, and to send those elsewhere that it would cut.
func TestStreamsThatOutlastTheGateway(t *testing.T) {
	r := newRig(t)
	p, d := r.add("llm", "p1", "prefill"), r.add("llm", "d1", "decode")
	long := map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "400"}
	got := r.send("POST", "/review/1", "q1", "x", long)
	assert.Equal(t, got.status, 200, got.body)

	r.gateway.fleet.noteRun("llm", 1000*time.Second, 0, 1000*time.Second, 1000)
	assert.Assert(t, r.gateway.fleet.timePerToken("llm") > 10*time.Millisecond)
	r.gateway.Drain(clock.VM.Now().Add(3 * time.Second))
	got = r.send("POST", "/review/1", "q2", "x", work)
	assert.Equal(t, got.status, 200, got.body)
	arrivals := len(p.Arrivals()) + len(d.Arrivals())
	got = r.send("POST", "/review/1", "q3", "x", long)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "0.05")
	assert.Equal(t, len(p.Arrivals())+len(d.Arrivals()), arrivals, "it reached an engine")
}

// TestFinishingGatewaySendsCallersOn wants a gateway that is about to end to serve what
// surely ends before, and to send all else to another gateway at once, over another
// connection: it is not room that is wanting.
func TestFinishingGatewaySendsCallersOn(t *testing.T) {
	tests := []struct {
		name   string
		left   time.Duration
		target string
		status int
	}{
		{"a short request in time", 30 * time.Second, "/rates/1", 200},
		{"a short request too late", 500 * time.Millisecond, "/rates/1", 503},
		{"what may not be repeated, too late", 500 * time.Millisecond, "/seats/1", 503},
		{"a stream", 30 * time.Second, "/desk/1", 503},
		{"a stream that can't be resumed", 30 * time.Second, "/review/1", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t)
			servers := []*standin.Backend{r.add("plain", "a", ""), r.add("llm", "p1", "prefill"), r.add("llm", "d1", "decode")}
			end := clock.VM.Now().Add(tt.left)
			r.gateway.Drain(end)
			r.gateway.Finish(end)
			got := r.send("POST", tt.target, "q1", "x", work)
			assert.Equal(t, got.status, tt.status, got.body)
			if tt.status == 200 {
				return
			}
			assert.Equal(t, got.header.Get("Retry-After"), "0.05")
			assert.Assert(t, got.closing, "the connection stays")
			assert.Equal(t, ran(servers...), 0)
		})
	}
}
