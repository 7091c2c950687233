package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/ratelimit"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// unlimited returns the observation of an answer without a limit; the times are relative to start.
func unlimited(sent, heard time.Duration) ratelimit.Observation {
	return ratelimit.Observation{Sent: at(sent), Received: at(heard)}
}

func limited(rate float64, sent, heard time.Duration) ratelimit.Observation {
	o := unlimited(sent, heard)
	o.Limited, o.Rate = true, rate
	return o
}

const ms = time.Millisecond

// TestStaleObservationsAreIgnored guards against answers that overtake each other: the observation
// that is certainly the newest must stay, and where the order is uncertain the one that allows
// less.
func TestStaleObservationsAreIgnored(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		observations []ratelimit.Observation
		rate         float64 // negative for no limit
	}{
		"limited": {[]ratelimit.Observation{limited(4.1, 0, 10*ms)}, 4.1},
		"request sent before the limit was received": {[]ratelimit.Observation{limited(4.1, 0, 10*ms), unlimited(5*ms, 2*second)}, 4.1},
		"request sent just after":                    {[]ratelimit.Observation{limited(4.1, 0, 10*ms), unlimited(100*ms, 110*ms)}, 4.1},
		"later answer without a limit":               {[]ratelimit.Observation{limited(4.1, 0, 10*ms), unlimited(second, second+10*ms)}, -1},
		"limit repeated in between":                  {[]ratelimit.Observation{limited(4.1, 0, 10*ms), limited(4.1, 700*ms, 800*ms), unlimited(second, second+10*ms)}, 4.1},
		"delayed and older than the end":             {[]ratelimit.Observation{limited(4.1, 0, 10*ms), unlimited(second, second+10*ms), limited(4.1, 0, 900*ms)}, -1},
		"delayed, perhaps newer":                     {[]ratelimit.Observation{limited(4.1, 0, 10*ms), unlimited(second, second+10*ms), limited(4.1, 0, 1100*ms)}, 4.1},
		"lower at once":                              {[]ratelimit.Observation{limited(4.1, 0, 10*ms), limited(2, 0, 10*ms)}, 2},
		"higher, request sent before":                {[]ratelimit.Observation{limited(2, 0, 10*ms), limited(4.1, 5*ms, 20*ms)}, 2},
		"higher, request sent later":                 {[]ratelimit.Observation{limited(2, 0, 10*ms), limited(4.1, second, second)}, 4.1},
		"zero allows the minimum rate":               {[]ratelimit.Observation{limited(0, 0, 10*ms)}, 0.5},
	} {
		var l ratelimit.Limit
		for _, o := range c.observations {
			l.Observe(o.Received, o)
		}
		rate, limited := l.Rate(at(5 * second))
		assert.Equal(t, limited, c.rate >= 0, name)
		if limited {
			assert.Equal(t, rate, c.rate, name)
		}
	}
}

// TestRateRisesAfterLimitEnds guards against a jump of the rate when a limit ends, and against a
// ramp that never ends.
func TestRateRisesAfterLimitEnds(t *testing.T) {
	var l ratelimit.Limit
	l.Observe(at(0), limited(4, -ms, 0))
	assert.Assert(t, l.Observe(at(time.Second), unlimited(time.Second-ms, time.Second)))
	before := 4.0
	for d := time.Duration(0); d < 2*time.Second; d += 100 * ms {
		rate, limited := l.Rate(at(time.Second + d))
		assert.Assert(t, limited && rate >= before && rate <= 1.4*before, "%v at %v", rate, d)
		before = rate
	}
	_, limited := l.Rate(at(3 * time.Second))
	assert.Assert(t, !limited)
}
