package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
)

// testIncarnation is an incarnation of a server, and what it has reported about itself.
type testIncarnation struct {
	server      registry.Server
	until       time.Duration // the end of its pauses
	leaving     bool
	freeingSent bool
}

// TestSelfReportsInAnyOrder has three servers ask for pauses, report that they leave, report
// themselves as ready and restart, in random order. None is chosen or called in its pause, or
// chosen once it has reported that it leaves; every other one can be chosen again soon after
// its pause, and its next incarnation at once.
func TestSelfReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		f := NewFleet("g", "z")
		f.Others.Gateways = rapid.SampledFrom([]int{1, 5, 608}).Draw(t, "gateways")
		now, sequence := time.Duration(0), uint64(0)
		at := func() time.Time { return start.Add(now) }
		var list []*testIncarnation
		newIncarnation := func(n int, born int64) *testIncarnation {
			sequence++
			name := fmt.Sprint("s", n)
			return &testIncarnation{server: registry.Server{
				ID: registry.IncarnationID(name, born), Name: name, Born: born, Service: "plain", Zone: "z", Address: fmt.Sprint("10.0.0.1:", n+1), State: registry.Ready, Sequence: sequence,
			}}
		}
		for n := range 3 {
			s := newIncarnation(n, int64(n+1))
			list = append(list, s)
			f.Update(at(), []registry.Server{s.server})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "passes"))
			for _, s := range list { // all report themselves as ready, whatever their answers reported
				sequence++
				s.server.Sequence = sequence
				f.Update(at(), []registry.Server{s.server})
			}
			n := rapid.IntRange(0, 2).Draw(t, "server")
			s := list[n]
			if now >= s.until {
				s.freeingSent = false
			}
			switch rapid.SampledFrom([]string{"pause", "leave", "served", "restart", "free", "call", "choose", "choose"}).Draw(t, "what") {
			case "pause":
				d := time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "pause"))
				f.Observe(at(), s.server.ID, selfreport.Report{Sent: at(), Received: at(), RetryAfter: d})
				s.until = max(s.until, now+d)
			case "leave":
				f.Observe(at(), s.server.ID, selfreport.Report{Sent: at(), Received: at(), Leaving: true})
				s.leaving = true
			case "served": // an answer without fields ends nothing
				f.Observe(at(), s.server.ID, selfreport.Report{Sent: at(), Received: at()})
				f.NoteOutcome(at(), s.server.ID, Success, time.Millisecond)
			case "restart":
				list[n] = newIncarnation(n, s.server.Born+10)
				f.Update(at(), []registry.Server{list[n].server})
			case "call":
				assert.Equal(t, f.AdmitCall(at(), s.server.ID, false), now >= s.until)
			case "free":
				sent := f.AdmitCall(at(), s.server.ID, true)
				assert.Equal(t, sent, now >= s.until || !s.freeingSent)
				s.freeingSent = true
			case "choose":
				chosen := f.ChoosePlain(at(), plainWork, nil)
				if chosen == nil {
					continue
				}
				for _, s := range list {
					assert.Assert(t, s.server.ID != chosen.ID || now >= s.until && !s.leaving, "%s is chosen at %v: %+v", chosen.ID, now, s)
				}
			}
		}
		now += 3*time.Second + 2*time.Second
		for _, s := range list {
			sequence++
			s.server.Sequence = sequence
			f.Update(at(), []registry.Server{s.server})
		}
		f.Sweep(at())
		for _, s := range list {
			assert.Equal(t, f.Available(at(), s.server.ID), !s.leaving)
		}
	})
}

// TestMinPauseRemaining checks that the wait for the first server is returned where all
// servers are paused, and none where one is not.
func TestMinPauseRemaining(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("g", "z")
	for i, id := range []string{"a", "b"} {
		f.Update(now, []registry.Server{{ID: id, Service: "plain", Zone: "z", State: registry.Ready, Address: fmt.Sprint("10.0.0.1:", i+1), Sequence: 1}})
	}
	pause := func(id string, d time.Duration) {
		f.Observe(now, id, selfreport.Report{Sent: now, Received: now, RetryAfter: d})
	}
	pause("a", 4*time.Second)
	_, allPaused := f.MinPauseRemaining(now, plainWork, "")
	assert.Assert(t, !allPaused)
	pause("b", 2*time.Second)
	remaining, allPaused := f.MinPauseRemaining(now, plainWork, "")
	assert.Assert(t, allPaused && remaining == 2*time.Second, "%v", remaining)
	assert.Equal(t, f.CountPaused(now), 2)
	back := now.Add(2 * time.Second)
	remaining, allPaused = f.MinPauseRemaining(back, plainWork, "")
	assert.Assert(t, allPaused && remaining == 0)
	assert.Assert(t, f.ChoosePlain(back, plainWork, nil).ID == "b")
}
