package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFullLevelFollowsObservedRuns checks that the time per token of the gateway's runs reaches its
// placement: without it, all engines keep the lowest level.
func TestFullLevelFollowsObservedRuns(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "d1", "decode")
	service := &h.gateway.table.Load().Services[1]
	level := func() float64 { return h.gateway.fleet.meanFullLevel(service) }
	assert.Equal(t, level(), 0.9)
	h.gateway.fleet.noteRun("llm", time.Second, 0, time.Second, 100)
	assert.Equal(t, level(), 0.97)
}
