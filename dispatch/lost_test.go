package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// lossFleet returns the fleet of a gateway with some decode engines that have served a request.
func lossFleet(now time.Time, engines int) *Fleet {
	f := NewFleet("g", "z")
	for i := range engines {
		r := lossReport(i, 1)
		f.Update(now, []registry.Server{r})
		f.NoteOutcome(now, r.ID, Success, time.Second)
	}
	return f
}

func lossReport(i int, born int64) registry.Server {
	name := fmt.Sprint("e", i)
	return registry.Server{ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: "llm", Address: name, Zone: "z", State: registry.Ready, Role: registry.Decode, Sequence: 1}
}

// setLost gives a gateway the losses of the others, by engine.
func setLost(f *Fleet, now time.Time, known int, lost ...int) {
	o := OtherGateways{Gateways: 4, Known: known, Evidence: map[string]Evidence{}}
	for i, n := range lost {
		o.Evidence[lossReport(i, 1).ID] = Evidence{Bad: n, Lost: n, Gateways: 1}
	}
	f.SetOthers(now, o)
}

// usable returns the numbers of the engines that may get new work.
func usable(f *Fleet, now time.Time, engines int, born int64) []int {
	out := []int{}
	for i := range engines {
		if s := f.Get(lossReport(i, born).ID); s != nil && f.eligible(now, s, nil) {
			out = append(out, i)
		}
	}
	return out
}

// TestLossesOfOneGateway covers a gateway without a view of the others: its first loss ejects an
// engine for a moment, further ones for longer, also in its next incarnation; a loss by an engine
// that leaves, and the loss of an only engine, eject none.
func TestLossesOfOneGateway(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lossFleet(now, 4)
	f.NoteOutcome(now, lossReport(0, 1).ID, Lost, 0)
	assert.DeepEqual(t, usable(f, now, 4, 1), []int{1, 2, 3})
	assert.DeepEqual(t, usable(f, now.Add(minEjection), 4, 1), []int{0, 1, 2, 3})

	now = now.Add(time.Second)
	f.NoteOutcome(now, lossReport(0, 1).ID, Lost, 0)
	f.Update(now, []registry.Server{lossReport(0, 2)})
	s := f.Get(lossReport(0, 2).ID)
	assert.Assert(t, !f.eligible(now.Add(minEjection/2), s, nil))
	assert.Equal(t, f.Evidence(now)[s.ID].Lost, 2, "reported for the newest incarnation")
	f.Sweep(now.Add(30 * time.Second))
	assert.Equal(t, len(f.losses), 0)

	f.Update(now, []registry.Server{{ID: lossReport(1, 1).ID, Name: "e1", Born: 1, Service: "llm", Address: "e1", Zone: "z", State: registry.Draining, Role: registry.Decode, Sequence: 2}})
	f.NoteOutcome(now, lossReport(1, 1).ID, Lost, 0)
	assert.Equal(t, len(f.losses), 0)

	only := lossFleet(now, 1)
	for range 2 {
		only.NoteOutcome(now, lossReport(0, 1).ID, Lost, 0)
	}
	assert.DeepEqual(t, usable(only, now, 1, 1), []int{0})
}

// TestCommonLossesEjectNone covers an availability zone that resets its connections: if most
// engines of a group lose answers, nobody may be refused because of it. At most half are ejected,
// those with the most losses.
func TestCommonLossesEjectNone(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct{ lost, usable []int }{
		{[]int{3, 3, 3, 3, 3, 3}, []int{0, 1, 2, 3, 4, 5}},
		{[]int{3, 3, 3, 3}, []int{0, 1, 2, 3, 4, 5}},
		{[]int{3, 2, 3}, []int{3, 4, 5}},
		{[]int{1, 0, 9}, []int{0, 1, 3, 4, 5}},
	} {
		f := lossFleet(now.Add(-10*time.Second), 6)
		for i := range 6 {
			f.NoteHeartbeats(now, []string{lossReport(i, 1).ID})
		}
		setLost(f, now, 4)
		setLost(f, now, 4, tt.lost...)
		assert.DeepEqual(t, usable(f, now, 6, 1), tt.usable)
	}
}

// TestLossesComeBackAfterReplicaDies covers a control replica that dies in the middle of an
// ejection: the sums of the next one come back one gateway after the other, and must neither
// lengthen the ejection nor end it early.
func TestLossesComeBackAfterReplicaDies(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lossFleet(now, 4)
	setLost(f, now, 4)
	setLost(f, now, 4, 6)
	for i, lost := range []int{0, 2, 4, 6} {
		at := now.Add(time.Duration(i+1) * 100 * time.Millisecond)
		setLost(f, at, i+1, lost)
		assert.DeepEqual(t, usable(f, at, 4, 1), []int{1, 2, 3})
	}
	at := now.Add(minEjection)
	for i, lost := range []int{0, 2, 4, 6} { // and once more, while it is probed
		setLost(f, at.Add(time.Duration(i)*10*time.Millisecond), i+1, lost)
	}
	l := f.losses["e0"]
	assert.Equal(t, l.phase, probing)
	assert.Equal(t, l.duration, minEjection)
}

// TestOneProbeAtATime follows an engine that loses its first probe and serves the second: each
// gateway learns of the probe of another by its reservation, and sends none meanwhile.
func TestOneProbeAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	f := lossFleet(now, 4)
	setLost(f, now, 4)
	setLost(f, now, 4, 2)
	id, work := lossReport(0, 1).ID, Work{Service: "llm", Prompt: 100, Expected: 100}
	setRuns := func(at time.Time, runs, lost int) {
		f.SetOthers(at, OtherGateways{Gateways: 4, Known: 4, Loads: map[string]Load{id: {Runs: runs}}, Evidence: map[string]Evidence{id: {Lost: lost, Bad: lost}}})
	}
	at := now.Add(3 * time.Second) // after all turns
	setRuns(at, 0, 0)
	assert.DeepEqual(t, usable(f, at, 4, 1), []int{0, 1, 2, 3}) // a probe is due
	setRuns(at, 1, 0)
	assert.DeepEqual(t, usable(f, at, 4, 1), []int{1, 2, 3}) // another gateway has sent it
	setRuns(at.Add(100*time.Millisecond), 0, 1)
	at = at.Add(100*time.Millisecond + 2*minEjection)
	assert.DeepEqual(t, usable(f, at.Add(-1), 4, 1), []int{1, 2, 3}) // twice as long after a lost probe
	at = at.Add(2 * time.Second)
	for i := range 4 {
		f.NoteHeartbeats(at, []string{lossReport(i, 1).ID})
	}
	setRuns(at, 0, 0)
	f.Reserve(id, work)
	f.NoteSent(at, id)
	assert.DeepEqual(t, usable(f, at, 4, 1), []int{1, 2, 3}) // this gateway has sent it
	setRuns(at.Add(2*minEjection), 0, 0)
	assert.DeepEqual(t, usable(f, at.Add(2*minEjection), 4, 1), []int{0, 1, 2, 3}) // the run has lasted long enough
}
