package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// TestColdPeriodIsPublishedOnce checks that the end of a cold period, counted from the
// report that gave it, is published once, and again only if it changes.
func TestColdPeriodIsPublishedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	r := registry.New(10 * time.Second)
	sequence := uint64(0)
	report := func(at time.Duration, cold, age time.Duration) []registry.Update {
		sequence++
		updates, err := r.Report(start.Add(at), registry.Server{ID: "a", Service: "s", State: registry.Ready, Sequence: sequence, Cold: cold, Age: age})
		assert.NilError(t, err)
		return updates
	}
	coldRemaining := func(at time.Duration) time.Duration { // how long it is cold from then on
		s := r.List(start.Add(at))[0]
		return max(s.Cold-s.Age, 0)
	}
	second := time.Second
	assert.Equal(t, report(0, 3*second, 0)[0].Server.Cold, 3*second)
	assert.Equal(t, len(report(second, 2*second, 0)), 0, "as expected")
	assert.Equal(t, coldRemaining(2*second), second)
	assert.Equal(t, len(report(2*second, 900*time.Millisecond, 0)), 0, "the report was a little late")
	assert.Equal(t, len(report(4*second, 0, 0)), 0, "warm, as expected")
	assert.Equal(t, coldRemaining(4*second), time.Duration(0))
	updates := report(6*second, 5*second, second)
	assert.Equal(t, len(updates), 1, "cold again")
	assert.Equal(t, updates[0].Server.Cold, 4*second, "from now on")
	r.Refresh(start.Add(8*second), []string{"a"})
	assert.Equal(t, coldRemaining(8*second), 2*second)
	assert.Equal(t, len(report(9*second, 0, 0)), 1, "warm sooner")
	assert.Equal(t, coldRemaining(9*second), time.Duration(0))
}
