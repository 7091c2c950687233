package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// TestQueueTimeout covers requests that find no capacity: one waits as long as it can still
// be served in time, and is refused at once if that is unlikely.
func TestQueueTimeout(t *testing.T) {
	const target = 900 * time.Millisecond
	known := dispatch.RunTimes{Total: 3 * time.Second, First: 200 * time.Millisecond, FirstDeviation: 50 * time.Millisecond}
	slow := known
	slow.First = 2 * target
	tests := []struct {
		name          string
		runs          int
		queued, ahead int
		times         dispatch.RunTimes
		within, want  time.Duration
	}{
		{"no request waits before it", 30, 0, 0, known, target, 500 * time.Millisecond},
		{"a third has passed", 30, 0, 0, known, 600 * time.Millisecond, 200 * time.Millisecond},
		{"a slot is free in 0.4 s: ten runs end in a second", 30, 2, 1, known, target, 200 * time.Millisecond},
		{"others wait, and little time is left", 30, 0, 1, known, 650 * time.Millisecond, 200 * time.Millisecond},
		{"others wait, and hardly any time is left", 60, 0, 1, known, 510 * time.Millisecond, 110 * time.Millisecond},
		{"a slot is free in 0.6 s", 30, 3, 2, known, target, 0},
		{"twice the runs, half the time", 60, 3, 2, known, target, 200 * time.Millisecond},
		{"no run has ended since the start: prompts are prefilled in 20 ms", 30, 50, 5, dispatch.RunTimes{}, target, 200 * time.Millisecond},
		{"no run is known, as after an outage", 0, 50, 5, known, target, 200 * time.Millisecond},
		{"first events come after the target", 30, 0, 0, slow, target, 0},
		{"the target has passed", 30, 0, 0, known, -time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(1, 1)
			o := knownLoads(map[string]dispatch.Load{"d0-0": {Runs: tt.runs}})
			o.Queued = tt.queued
			f.SetOthers(now, o)
			got := f.QueueTimeout(now, small, tt.within, tt.ahead, tt.times)
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestRunTimesFollowRuns checks that the averages follow what runs take, and that the
// deviation of first events follows their spread.
func TestRunTimesFollowRuns(t *testing.T) {
	var r dispatch.RunTimes
	r.Note(3*time.Second, 200*time.Millisecond, 2*time.Second, 2000)
	assert.Equal(t, r, dispatch.RunTimes{Token: time.Millisecond, Total: 3 * time.Second, First: 200 * time.Millisecond, FirstDeviation: 100 * time.Millisecond})
	for range 100 {
		r.Note(3*time.Second, 200*time.Millisecond, 2*time.Second, 2000)
	}
	assert.Assert(t, r.FirstDeviation < time.Millisecond, "%v", r.FirstDeviation)
	for i := range 200 {
		r.Note(4*time.Second, time.Duration(100+200*(i%2))*time.Millisecond, 2*time.Second, 1000)
	}
	assert.Assert(t, r.First > 170*time.Millisecond && r.First < 230*time.Millisecond, "%v", r.First)
	assert.Assert(t, r.FirstDeviation > 80*time.Millisecond && r.FirstDeviation < 120*time.Millisecond, "%v", r.FirstDeviation)
	assert.Assert(t, r.Total > 3900*time.Millisecond && r.Token > 1900*time.Microsecond)
	before := r
	r.Note(time.Second, 0, 0, 0)
	assert.Equal(t, r, before, "an answer without tokens changes nothing")
}
