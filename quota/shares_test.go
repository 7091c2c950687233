package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestShares returns the fair shares of three organisations; the limit of the first is as high
// as those of the two others together.
func newTestShares() *FairShares {
	s := NewFairShares()
	s.SetLimits(map[string]Limit{"large": {Rate: 2000}, "small": {Rate: 1000}, "hot": {Rate: 1000}, "free": {}})
	return s
}

// TestExceedsShare guards against missing an organisation that uses much more of its limit than the
// others use of theirs, whatever the limits are, and against holding that against it when it has
// stopped.
func TestExceedsShare(t *testing.T) {
	s := newTestShares()
	now := time.Unix(1000, 0)
	use := func(seconds int, hot float64) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			s.Add(now, "large", 100)
			s.Add(now, "small", 50)
			s.Add(now, "hot", 50*hot)
			s.Add(now, "free", 5000)
		}
	}
	use(10, 1)
	for _, name := range []string{"large", "small", "hot", "free", "unknown"} {
		assert.Assert(t, !s.Exceeds(now, name), name)
	}
	use(5, 4)
	assert.Assert(t, s.Exceeds(now, "hot"))
	for _, name := range []string{"large", "small", "free"} {
		assert.Assert(t, !s.Exceeds(now, name), name)
	}
	use(20, 1)
	assert.Assert(t, !s.Exceeds(now, "hot"), "the burst has decayed")
}

// TestFairSharesFollowLimits guards against shares that ignore a change of the limits, and against
// usage that is kept for an organisation whose limit was removed.
func TestFairSharesFollowLimits(t *testing.T) {
	s := newTestShares()
	now := time.Unix(1000, 0)
	for _, name := range []string{"large", "small", "hot"} {
		s.Add(now, name, 1000)
	}
	assert.Assert(t, !s.Exceeds(now, "hot"))
	s.SetLimits(map[string]Limit{"large": {Rate: 4000}, "small": {Rate: 4000}, "hot": {Rate: 1000}})
	assert.Assert(t, s.Exceeds(now, "hot"))
	s.SetLimits(map[string]Limit{"large": {Rate: 4000}})
	assert.Assert(t, !s.Exceeds(now, "hot"))
}

func BenchmarkFairShares(b *testing.B) {
	s := newTestShares()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Add(now, "hot", 10)
		s.Exceeds(now, "hot")
	}
}
