package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// TestNoPrefillBeyondDeadline guards against a prompt that is prefilled although the caller's deadline
// passes meanwhile. The gateway then closes the call, and the KV cache that the engine has made is
// held for nobody, since nothing names it.
func TestNoPrefillBeyondDeadline(t *testing.T) {
	h := newHarness(t)
	prefill := h.add("llm", "p", registry.Prefill)
	h.add("llm", "d", registry.Decode)
	header := map[string]string{protocol.Headers.Tokens: "10000,5", protocol.Headers.Deadline: "100"} // 200 ms at the assumed rate
	assert.Equal(t, h.send("POST", "/desk/1", "q1", "x", header).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(prefill.Arrivals()), 0)
	header[protocol.Headers.Deadline] = "4000"
	assert.Equal(t, h.send("POST", "/desk/1", "q2", "x", header).status, http.StatusOK)
}
