package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamsThatOutlastTheGateway wants a gateway that stops to take the streams
// that end in time, and to send those elsewhere that it would cut.
func TestStreamsThatOutlastTheGateway(t *testing.T) {
	r := newRig(t)
	p, d := r.add("llm", "p1", "prefill"), r.add("llm", "d1", "decode")
	long := map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "400"}
	got := r.send("POST", "/review/1", "q1", "x", long)
	assert.Equal(t, got.status, 200, got.body)

	r.gateway.fleet.noteRun("llm", 1000*time.Second, 1000*time.Second, 1000)
	assert.Assert(t, r.gateway.fleet.pace("llm") > 10*time.Millisecond)
	r.gateway.Drain(time.Now().Add(3 * time.Second))
	got = r.send("POST", "/review/1", "q2", "x", work)
	assert.Equal(t, got.status, 200, got.body)
	arrivals := len(p.Arrivals()) + len(d.Arrivals())
	got = r.send("POST", "/review/1", "q3", "x", long)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "0.05")
	assert.Equal(t, len(p.Arrivals())+len(d.Arrivals()), arrivals, "it reached an engine")
}
