package ratelimit_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/ratelimit"
)

// TestObservationsArriveInAnyOrder changes the limit of a server at arbitrary times and delivers
// its answers in any order. The limit in force must not exceed what the server has allowed since
// the newest answer that allowed less was received; and once the limit has been stable for a while,
// the next answer must set exactly that limit.
func TestObservationsArriveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 20 * time.Second
		duration := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
		}
		type change struct {
			at   time.Duration
			rate float64 // zero for no limit
		}
		changes := []change{{0, 0}}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			changes = append(changes, change{duration("change", 0, length/2), rapid.SampledFrom([]float64{0, 1, 2, 4.1}).Draw(t, "rate")})
		}
		slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
		limitAt := func(d time.Duration) ratelimit.Observation {
			var rate float64
			for _, c := range changes {
				if c.at <= d {
					rate = c.rate
				}
			}
			return ratelimit.Observation{Limited: rate > 0, Rate: rate}
		}
		answer := func(sent time.Duration) ratelimit.Observation {
			answered := sent + duration("to the server", 0, 300*ms)
			o := limitAt(answered)
			o.Sent, o.Received = at(sent), at(answered+duration("from the server", 0, 300*ms))
			return o
		}
		var observations []ratelimit.Observation
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			observations = append(observations, answer(duration("sent", 0, length/2)))
		}
		slices.SortStableFunc(observations, func(a, b ratelimit.Observation) int { return a.Received.Compare(b.Received) })
		var l ratelimit.Limit
		for i, o := range observations {
			l.Observe(o.Received, o)
			newest := l.Newest()
			for _, earlier := range observations[:i+1] {
				tighter := earlier.Limited && (!newest.Limited || earlier.Rate < newest.Rate)
				if tighter && earlier.Received.After(newest.Sent) {
					t.Fatalf("%+v is in force, but %+v was received after its request was sent", newest, earlier)
				}
			}
		}
		last := answer(length)
		l.Observe(last.Received, last)
		assert.Assert(t, l.Newest().Same(limitAt(length)), "%+v", l.Newest())
	})
}
