package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharesOf returns shares of three organisations, the first of which may use as much as the
// two others.
func sharesOf() *Shares {
	s := NewShares()
	s.SetLimits(map[string]Limit{"large": {Rate: 2000}, "small": {Rate: 1000}, "hot": {Rate: 1000}, "free": {}})
	return s
}

// TestBeyondShare wants an organisation to be beyond its share while it uses much more of
// its limit than the others of theirs, whatever the limits are, and no longer.
func TestBeyondShare(t *testing.T) {
	s := sharesOf()
	now := time.Unix(1000, 0)
	use := func(seconds int, hot float64) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			s.Note(now, "large", 100)
			s.Note(now, "small", 50)
			s.Note(now, "hot", 50*hot)
			s.Note(now, "free", 5000)
		}
	}
	use(10, 1)
	for _, name := range []string{"large", "small", "hot", "free", "nobody"} {
		assert.Assert(t, !s.Beyond(now, name), name)
	}
	use(5, 4)
	assert.Assert(t, s.Beyond(now, "hot"))
	for _, name := range []string{"large", "small", "free"} {
		assert.Assert(t, !s.Beyond(now, name), name)
	}
	use(20, 1)
	assert.Assert(t, !s.Beyond(now, "hot"), "it is forgotten")
}

// TestSharesFollowTheLimits wants a change of the limits to change the shares, and what was
// used of one that is taken away to be forgotten.
func TestSharesFollowTheLimits(t *testing.T) {
	s := sharesOf()
	now := time.Unix(1000, 0)
	for _, name := range []string{"large", "small", "hot"} {
		s.Note(now, name, 1000)
	}
	assert.Assert(t, !s.Beyond(now, "hot"))
	s.SetLimits(map[string]Limit{"large": {Rate: 4000}, "small": {Rate: 4000}, "hot": {Rate: 1000}})
	assert.Assert(t, s.Beyond(now, "hot"))
	s.SetLimits(map[string]Limit{"large": {Rate: 4000}})
	assert.Assert(t, !s.Beyond(now, "hot"))
}

func BenchmarkShares(b *testing.B) {
	s := sharesOf()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Note(now, "hot", 10)
		s.Beyond(now, "hot")
	}
}
