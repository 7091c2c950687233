package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestPrefillEngineChoice checks that a prompt is prefilled where that is done first, and
// that a request is not placed if its prompt would be prefilled too late.
func TestPrefillEngineChoice(t *testing.T) {
	const queue = 150000 // tokens that a prefill engine prefills in three seconds
	tests := []struct {
		name    string
		loads   map[string]dispatch.Load
		maxTime time.Duration
		role    string
	}{
		{"idle", nil, time.Second, "prefill"},
		{"a short queue", map[string]dispatch.Load{"p0-0": {Prefill: 5000}, "p1-0": {Prefill: 5000}}, time.Second, "prefill"},
		{"a long queue", map[string]dispatch.Load{"p0-0": {Prefill: queue}, "p1-0": {Prefill: queue}}, 500 * time.Millisecond, "decode"},
		{"a long queue at one of them", map[string]dispatch.Load{"p0-0": {Prefill: queue}}, 500 * time.Millisecond, "prefill"},
		{"all decode engines prefill", map[string]dispatch.Load{
			"p0-0": {Prefill: queue}, "p1-0": {Prefill: queue}, "d0-0": {Prefill: 1}, "d1-0": {Prefill: 1},
		}, 500 * time.Millisecond, ""},
		{"no bound", map[string]dispatch.Load{
			"p0-0": {Prefill: queue}, "p1-0": {Prefill: queue}, "d0-0": {Prefill: 1}, "d1-0": {Prefill: 1},
		}, 0, "prefill"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(1, 1)
			f.SetOthers(now, knownLoads(tt.loads))
			work := small
			work.MaxPrefillTime = tt.maxTime
			p, ok := f.ChoosePair(now, work, engine, nil)
			assert.Equal(t, ok, tt.role != "")
			if ok {
				assert.Equal(t, p.PrefillServer().Role, tt.role)
				assert.Equal(t, f.Get(p.PrefillServer().ID).Others.Prefill < queue || tt.maxTime == 0, true)
			}
		})
	}
}

// TestSlowPrefillEngineGetsLessAndIsRetried checks that a prefill engine that is slower than
// expected gets less, and is tried again when it may have recovered.
func TestSlowPrefillEngineGetsLessAndIsRetried(t *testing.T) {
	f := fleet(1, 1)
	for range 5 {
		f.NotePrefill(now, "p0-0", time.Second, 1000)
	}
	for range 8 {
		p, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
		assert.Equal(t, p.Prefill.ID, "p1-0")
	}
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"p1-0": {Prefill: 3000}}))
	p, _ := f.ChoosePair(now, small, engine, nil)
	assert.Equal(t, p.Prefill.ID, "p1-0", "still the faster one")
	later := now.Add(30 * time.Second)
	f.NoteHeartbeats(later, []string{"p0-0", "p1-0", "d0-0", "d1-0"})
	p, _ = f.ChoosePair(later, small, engine, nil)
	assert.Equal(t, p.Prefill.ID, "p0-0")
}

// TestPrefillRateFollowsPrefills checks that the expected time of a prefill follows what the
// engines of the service take, and that an engine slower than the others counts as slow for
// as long as it is.
func TestPrefillRateFollowsPrefills(t *testing.T) {
	f := fleet(2, 1)
	prefillTime := func() time.Duration {
		p, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
		return p.PrefillTime
	}
	assert.Equal(t, prefillTime(), 20*time.Millisecond, "1,000 tokens, before any prefill")
	notePrefill := func(id string, took time.Duration) { f.NotePrefill(now, id, took, 1000) }
	for range 100 {
		for _, id := range []string{"p0-0", "p0-1", "p1-0"} {
			notePrefill(id, 40*time.Millisecond)
		}
		notePrefill("p1-1", 200*time.Millisecond)
	}
	got := prefillTime()
	assert.Assert(t, got > 38*time.Millisecond && got < 46*time.Millisecond, "%v", got)
	for _, id := range []string{"p0-0", "p0-1", "p1-0"} {
		f.StartPrefill(id, dispatch.Work{Prompt: 2500})
	}
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Assert(t, p.Prefill.ID != "p1-1", "140 ms elsewhere, 200 ms there")
	for range 100 {
		notePrefill("p0-0", 25*time.Millisecond)
	}
	got = prefillTime()
	assert.Assert(t, got < 140*time.Millisecond, "engines that prefill faster: %v", got)
}

// TestPrefillRateIsThatOfEngines guards against an observed rate that falls with the load: half of
// the prefills share their engine with others and take 2.75 times as long.
func TestPrefillRateIsThatOfEngines(t *testing.T) {
	f := dispatch.NewFleet("g", "z")
	now := time.Unix(1000, 0)
	f.Update(now, []registry.Server{{ID: "p", Address: "p", Service: "s", Zone: "z", Role: registry.Prefill, State: registry.Ready, Sequence: 1}})
	assert.Equal(t, f.PrefillRate("s"), 0.0)
	for range 100 {
		f.NotePrefill(now, "p", 100*time.Millisecond, 5500)
		f.NotePrefill(now, "p", 275*time.Millisecond, 5500)
	}
	assert.Assert(t, f.PrefillRate("s") > 45, "%v", f.PrefillRate("s"))
}
