package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// lossFleet returns the fleet of a gateway with decode engines that have served a request.
func lossFleet(now time.Time, engines int) *Fleet {
	f := NewFleet("g", "z")
	for i := range engines {
		f.Update(now, []registry.Server{lossReport(i, 1, registry.Ready)})
		f.NoteOutcome(now, lossID(i), Success, time.Second)
	}
	setLost(f, now, 4, 0)
	return f
}

func lossReport(i int, born int64, state registry.State) registry.Server {
	name := fmt.Sprint("e", i)
	return registry.Server{ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: "llm", Address: name, State: state, Role: registry.Decode, Sequence: uint64(born)}
}

func lossID(i int) string { return lossReport(i, 1, registry.Ready).ID }

// setLost gives a gateway the losses of the others by engine, and their runs at the first one.
func setLost(f *Fleet, now time.Time, known, runs int, lost ...int) {
	o := OtherGateways{Gateways: 4, Known: known, Loads: map[string]Load{lossID(0): {Runs: runs}}, Evidence: map[string]Evidence{}}
	for i, n := range lost {
		o.Evidence[lossID(i)] = Evidence{Bad: n, Lost: n, Gateways: 1}
	}
	f.SetOthers(now, o)
}

// usable returns the numbers of the engines that may get new work.
func usable(f *Fleet, now time.Time) []int {
	out := []int{}
	for i := range len(f.servers) {
		f.NoteHeartbeats(now, []string{lossID(i)})
		if s := f.Get(lossID(i)); s != nil && f.eligible(now, s, nil) {
			out = append(out, i)
		}
	}
	return out
}

// TestLossesOfOneGateway covers a gateway without a view of the others: its first loss ejects an
// engine for a moment, further ones for longer, also in its next incarnation; a loss by an engine
// that leaves ejects none.
func TestLossesOfOneGateway(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lossFleet(now, 4)
	f.NoteOutcome(now, lossID(0), Lost, 0)
	assert.DeepEqual(t, usable(f, now), []int{1, 2, 3})
	now = now.Add(minEjection)
	assert.DeepEqual(t, usable(f, now), []int{0, 1, 2, 3})
	f.NoteOutcome(now, lossID(0), Lost, 0)
	next := []registry.Server{lossReport(0, 2, registry.Ready), lossReport(2, 2, registry.Ready)}
	f.Update(now, next)
	for range 2 {
		f.NoteOutcome(now, lossID(2), Lost, 0) // becomes known after the restart
	}
	for i, s := range next {
		assert.Assert(t, !f.eligible(now.Add(minEjection/2), f.Get(s.ID), nil), s.Name)
		assert.Equal(t, f.Evidence(now)[s.ID].Lost, 2, "reported for the newest incarnation")
		assert.Equal(t, f.Evidence(now)[lossID(2*i)].Lost, 0)
	}
	f.Sweep(now.Add(30 * time.Second))
	assert.Equal(t, len(f.losses), 0)
	f.Update(now, []registry.Server{lossReport(1, 1, registry.Draining)})
	f.NoteOutcome(now, lossID(1), Lost, 0)
	assert.Equal(t, len(f.losses), 0)
}

// TestCommonLossesEjectNone covers an availability zone that resets its connections: if most
// engines of a group lose answers, nobody may be refused because of it. At most half are ejected,
// and never the last one.
func TestCommonLossesEjectNone(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct{ lost, usable []int }{
		{[]int{3, 3, 3, 3, 3, 3}, []int{0, 1, 2, 3, 4, 5}},
		{[]int{3, 3, 3, 3, 0, 0}, []int{0, 1, 2, 3, 4, 5}},
		{[]int{3, 2, 3, 0, 0, 0}, []int{3, 4, 5}},
		{[]int{1, 0, 9, 0, 0, 0}, []int{0, 1, 3, 4, 5}},
		{[]int{9}, []int{0}},
	} {
		f := lossFleet(now.Add(-10*time.Second), len(tt.lost))
		usable(f, now) // has them report themselves
		setLost(f, now, 4, 0, tt.lost...)
		assert.DeepEqual(t, usable(f, now), tt.usable)
	}
}

// TestLossesComeBackAfterReplicaDies covers a control replica that dies in the middle of an
// ejection, and another one during the probe: the sums of the next one come back one gateway
// after the other, and must neither lengthen the ejection nor end it early.
func TestLossesComeBackAfterReplicaDies(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lossFleet(now, 4)
	setLost(f, now, 4, 0, 6)
	for _, start := range []time.Duration{0, minEjection} {
		for i, lost := range []int{0, 2, 4, 6} {
			at := now.Add(start + time.Duration(i)*10*time.Millisecond)
			setLost(f, at, i+1, 0, lost)
			assert.Assert(t, start > 0 || len(usable(f, at)) == 3)
		}
	}
	assert.Equal(t, f.losses["e0"].phase, probing)
	assert.Equal(t, f.losses["e0"].duration, minEjection)
}

// TestOneProbeAtATime follows an engine that loses its first probe and serves the second: each
// gateway learns of the probe of another by its reservation, and sends none meanwhile.
func TestOneProbeAtATime(t *testing.T) {
	at := time.Unix(1000, 0)
	f := lossFleet(at, 4)
	setLost(f, at, 4, 0, 2)
	check := func(after time.Duration, runs, lost, want int) {
		t.Helper()
		at = at.Add(after)
		setLost(f, at, 4, runs, lost)
		assert.Equal(t, len(usable(f, at)), want)
	}
	check(3*time.Second, 0, 0, 4)                  // after all turns
	check(0, 1, 0, 3)                              // another gateway has sent the probe
	check(100*time.Millisecond, 0, 1, 3)           // and lost it
	check(2*minEjection-time.Millisecond, 0, 0, 3) // twice as long
	check(2*time.Second, 0, 0, 4)
	f.Reserve(lossID(0), Work{Service: "llm", Prompt: 100, Expected: 100})
	f.NoteSent(at, lossID(0))
	check(0, 0, 0, 3)             // this gateway has sent it
	check(2*minEjection, 0, 0, 4) // its run has lasted long enough
}
