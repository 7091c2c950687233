package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/selfreport"
)

// TestOrdersDuringRetryAfter wants an engine that has asked this replica for a pause to get no call
// until it is over, and pauses that are over to be forgotten.
func TestOrdersDuringRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &pausedEngines{pauses: map[string]*selfreport.Pause{}}
	assert.NilError(t, p.admit(now, "a"))
	assert.Assert(t, p.ask(now, "a", 3*time.Second))
	assert.Assert(t, !p.ask(now.Add(time.Millisecond), "a", 3*time.Second))
	assert.ErrorIs(t, p.admit(now.Add(2*time.Second), "a"), backend.ErrPaused)
	assert.NilError(t, p.admit(now.Add(2*time.Second), "b"))
	assert.NilError(t, p.admit(now.Add(4*time.Second), "a"))
	p.ask(now.Add(4*time.Second), "b", time.Second)
	assert.Equal(t, len(p.pauses), 1)
}
