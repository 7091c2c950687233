package control_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
)

// newSuspendableClock returns the clock of a VM that a test can suspend: the monotonic
// clock stops for a time that the other clocks count.
func newSuspendableClock() (c *clock.Clock, suspend func(time.Duration)) {
	var suspended atomic.Int64
	startedAt := time.Now()
	c = clock.New(clock.Source{
		Read:     func() (time.Duration, int64) { return time.Since(startedAt), time.Now().UnixNano() + suspended.Load() },
		BootTime: func() (time.Duration, error) { return time.Since(startedAt) + time.Duration(suspended.Load()), nil },
	})
	return c, func(d time.Duration) { suspended.Add(int64(d)) }
}

// TestSuspendedReplicaServesNoStaleTable checks that a resumed replica does not confirm its
// state from before the suspension, since the others may have elected a leader and accepted
// a table meanwhile.
func TestSuspendedReplicaServesNoStaleTable(t *testing.T) {
	c := &cluster{t: t}
	for range 3 {
		c.seeds = append(c.seeds, c.prepare(true).addr)
	}
	var suspend func(time.Duration)
	c.nodes[0].clock, suspend = newSuspendableClock()
	for _, n := range c.nodes {
		c.start(n)
		t.Cleanup(n.stop)
	}
	c.put(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table, err := c.nodes[0].proc.Table(); err != nil || table == nil {
			return poll.Continue("not current: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	// No other replica is running, so any answer would be from before the suspension.
	c.nodes[1].stop()
	c.nodes[2].stop()
	suspend(5 * time.Second)
	_, err := c.nodes[0].proc.Table()
	assert.Assert(t, err != nil, "the replica returned its state from before the suspension")
}
