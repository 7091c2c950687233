package selfreport_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/selfreport"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// TestPausedServerGetsAtMostOneFreeingCall has a server request pauses at random times and in
// random order. In a pause nothing but one call that frees something is admitted, and the
// server may be chosen again soon after the last pause.
func TestPausedServerGetsAtMostOneFreeingCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p selfreport.Pause
		type pause struct{ from, to time.Duration }
		var all []pause
		now, freed := time.Duration(0), 0
		paused := func(d time.Duration) bool {
			for _, a := range all {
				if d >= a.from && d < a.to {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(400*ms)).Draw(t, "step"))
			if !paused(now) {
				freed = 0
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				d := time.Duration(rapid.Int64Range(1, int64(3*second)).Draw(t, "pause"))
				all = append(all, pause{now, now + d})
				p.Extend(at(now), d, selfreport.ReturnSpread(rapid.IntRange(1, 700).Draw(t, "gateways"), d))
			case 1:
				assert.Equal(t, p.AdmitCall(at(now), false), !paused(now))
			case 2:
				if p.AdmitCall(at(now), true) && paused(now) {
					freed++
				}
				assert.Assert(t, freed <= 1, "%d calls that free something in one pause", freed)
			case 3:
				if p.MayChoose(at(now)) {
					assert.Assert(t, !paused(now))
					p.RequestServed(at(now))
				}
			}
		}
		end := time.Duration(0)
		for _, a := range all {
			end = max(end, a.to)
		}
		assert.Assert(t, p.MayChoose(at(end+4*second)))
	})
}

// TestRequestsRampUpAfterPause checks that a gateway sends one request after a pause, doubles
// the bound with each request that is served, and drops the bound after a while.
func TestRequestsRampUpAfterPause(t *testing.T) {
	var p selfreport.Pause
	// begin begins requests until no more are allowed, and returns their number.
	begin := func(now time.Time) (n int) {
		for n < 1000 && p.MayChoose(now) {
			p.BeginRequest(now)
			n++
		}
		return n
	}
	assert.Equal(t, begin(at(0)), 1000, "no pause")
	assert.Assert(t, p.Extend(at(0), 3*second, 100*ms))
	assert.Assert(t, !p.Extend(at(10*ms), 3*second, 100*ms), "known already")
	assert.Assert(t, p.Extend(at(second), 3*second, 100*ms), "much longer")
	assert.Equal(t, begin(at(4*second+50*ms)), 0, "other gateways return first")
	back := at(4*second + 100*ms)
	assert.Assert(t, p.Ramping(back))
	assert.Equal(t, begin(back), 1)
	for _, want := range []int{2, 3, 5, 9} { // the bound doubles, and the served request is no longer open
		p.RequestServed(back)
		assert.Equal(t, begin(back), want)
	}
	p.RequestServed(back)
	assert.Assert(t, !p.Ramping(back))
	assert.Equal(t, begin(back), 1000)

	p.Extend(at(10*second), second, 0)
	assert.Equal(t, begin(at(11*second)), 1)
	assert.Equal(t, begin(at(13*second)), 1000, "a server that serves nothing is bounded for ever")
}

// TestPauseIsBounded guards against a server that requests a pause of years and is never
// tried again.
func TestPauseIsBounded(t *testing.T) {
	var p selfreport.Pause
	p.Extend(at(0), 1e6*time.Hour, 0)
	assert.Assert(t, p.Active(at(selfreport.MaxPause-second)))
	assert.Assert(t, !p.Active(at(selfreport.MaxPause)))
}
