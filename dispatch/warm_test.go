package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// playPlain plays requests of 30 gateways to 3 servers of 6 slots for a minute. It returns the share of requests for which the gateway had a connection with an answer within half
// a second, the share of the busiest server relative to the mean, and the mean time to an answer.
func playPlain(warm bool, perSecond float64) (kept, largest float64, mean time.Duration) {
	type answer struct {
		at              time.Time
		took            time.Duration
		gateway, server int
	}
	const gateways, servers, slots, duration = 30, 3, 6, time.Minute
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var fleets [gateways]*Fleet
	var idle [gateways][servers][]time.Time // the times of the last answers on idle connections
	isClean := func(at time.Time) bool { return now.Sub(at) < 500*time.Millisecond }
	for g := range fleets {
		fleets[g] = NewFleet(fmt.Sprint("g", g), "z")
		for s := range servers {
			fleets[g].Update(now, []registry.Server{{ID: fmt.Sprint(s), Address: fmt.Sprint(s), Service: "plain", Zone: "z", State: registry.Ready, Sequence: 1}})
		}
		if warm {
			fleets[g].Warm = func(s *Server) bool { return slices.ContainsFunc(idle[g][s.ID[0]-'0'], isClean) }
		}
	}
	var due []answer
	var free [servers][slots]time.Time
	var sent [servers]int
	end, total, onKept, took := now.Add(duration), 0, 0, time.Duration(0)
	for arrival := now; arrival.Before(end); arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond)) {
		for len(due) > 0 && due[0].at.Before(arrival) {
			a := due[0]
			now, due = a.at, due[1:]
			fleets[a.gateway].NoteOutcome(now, fmt.Sprint(a.server), Success, a.took)
			fleets[a.gateway].Get(fmt.Sprint(a.server)).Open--
			idle[a.gateway][a.server] = append(idle[a.gateway][a.server], now)
		}
		now = arrival
		g := rng.IntN(gateways)
		fleets[g].NoteHeartbeats(now, []string{"0", "1", "2"})
		chosen := fleets[g].ChoosePlain(now, Work{Service: "plain"}, nil)
		chosen.Open++
		s := int(chosen.ID[0] - '0')
		if i := slices.IndexFunc(idle[g][s], isClean); i >= 0 {
			idle[g][s] = slices.Delete(idle[g][s], i, i+1)
			onKept++
		}
		slices.SortFunc(free[s][:], time.Time.Compare)
		if free[s][0].Before(now) {
			free[s][0] = now
		}
		free[s][0] = free[s][0].Add(time.Duration(20+rng.IntN(80)) * time.Millisecond)
		due = append(due, answer{free[s][0], free[s][0].Sub(now), g, s})
		slices.SortFunc(due, func(a, b answer) int { return a.at.Compare(b.at) })
		sent[s]++
		total++
		took += free[s][0].Sub(now)
	}
	return float64(onKept) / float64(total), float64(slices.Max(sent[:])) * servers / float64(total), took / time.Duration(total)
}

// TestWarmServersArePreferred replays the requests to plain services of the busiest deployment, 99
// a second. It guards against few requests on kept connections (0.63 without the preference), and
// against a preference that overloads a server or makes requests wait, also at 0.87 of the
// capacity.
func TestWarmServersArePreferred(t *testing.T) {
	for perSecond, least := range map[float64]float64{99: 0.68, 260: 0.84} {
		before, _, meanBefore := playPlain(false, perSecond)
		kept, largest, mean := playPlain(true, perSecond)
		t.Logf("%v/s: on kept connections %.2f, before %.2f; busiest server %.2f; mean %v, before %v", perSecond, kept, before, largest, mean, meanBefore)
		assert.Check(t, kept > least, "%v", kept)
		assert.Check(t, largest < 1.15, "%v", largest)
		assert.Check(t, mean < meanBefore*102/100, "%v, without the preference %v", mean, meanBefore)
	}
}
