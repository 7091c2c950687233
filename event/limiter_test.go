package event_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/event"
)

func TestLimiterBoundsLinesAndKeys(t *testing.T) {
	l := event.Limiter{Interval: time.Second, MaxKeys: 3}
	now := time.Unix(1000, 0)
	assert.Assert(t, l.Allow(now, "a"))
	assert.Assert(t, !l.Allow(now.Add(900*time.Millisecond), "a"), "a second line within the interval")
	assert.Assert(t, l.Allow(now.Add(time.Second), "a"))
	written := 0
	for n := range 100 {
		if l.Allow(now.Add(time.Second), fmt.Sprint(n)) {
			written++
		}
	}
	assert.Equal(t, written, 2, "lines about two more keys of three")
	assert.Assert(t, l.Allow(now.Add(3*time.Second), "b"), "keys expire after the interval")
}
