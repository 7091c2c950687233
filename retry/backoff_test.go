package retry_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/retry"
)

func TestPause(t *testing.T) {
	b := retry.Backoff{Min: 60 * time.Millisecond, Max: 5 * time.Second}
	almost := math.Nextafter(1, 0)
	for _, c := range []struct {
		failures int
		maxPause time.Duration
	}{
		{0, 60 * time.Millisecond},
		{1, 120 * time.Millisecond},
		{2, 240 * time.Millisecond},
		{6, 3840 * time.Millisecond},
		{7, 5 * time.Second},
		{8, 5 * time.Second},
		{math.MaxInt, 5 * time.Second},
	} {
		assert.Equal(t, b.Pause(c.failures, 0), b.Min, "%d failures", c.failures)
		assert.Equal(t, b.Pause(c.failures, almost).Round(time.Microsecond), c.maxPause, "%d failures", c.failures)
		half := b.Min + (c.maxPause-b.Min)/2
		assert.Equal(t, b.Pause(c.failures, .5), half, "%d failures", c.failures)
	}
}

// TestPausesAreSpread guards against processes that start together and retry together.
func TestPausesAreSpread(t *testing.T) {
	b := retry.Backoff{Min: 60 * time.Millisecond, Max: 5 * time.Second}
	r := rand.New(rand.NewPCG(1, 2))
	var tenths [10]int
	for range 10_000 {
		tenths[int(10*float64(b.Pause(9, r.Float64())-b.Min)/float64(b.Max-b.Min))]++
	}
	for i, n := range tenths {
		assert.Assert(t, n > 850 && n < 1150, "%d of 10,000 pauses in tenth %d", n, i)
	}
}
