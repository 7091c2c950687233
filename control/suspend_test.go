package control_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
)

// suspendable is a clock of a VM that a test suspends: the steady clock stands still for a
// time that the others count.
func suspendable() (c *clock.Clock, suspend func(time.Duration)) {
	var away atomic.Int64
	began := time.Now()
	c = clock.New(clock.Source{
		Read: func() (time.Duration, int64) { return time.Since(began), time.Now().UnixNano() + away.Load() },
		Boot: func() (time.Duration, error) { return time.Since(began) + time.Duration(away.Load()), nil },
	})
	return c, func(d time.Duration) { away.Add(int64(d)) }
}

// TestSuspendedReplica wants a replica that wakes up to vouch for nothing that it knew
// before: others may have elected a leader and accepted a table meanwhile.
func TestSuspendedReplica(t *testing.T) {
	c := &cell{t: t}
	for range 3 {
		c.seeds = append(c.seeds, c.prepare(true).addr)
	}
	var suspend func(time.Duration)
	c.nodes[0].clock, suspend = suspendable()
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
	// Nobody is left to ask, so what it says is what it knew.
	c.nodes[1].stop()
	c.nodes[2].stop()
	suspend(5 * time.Second)
	_, err := c.nodes[0].proc.Table()
	assert.Assert(t, err != nil, "it vouches for what it knew before it was suspended")
}
