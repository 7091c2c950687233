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

// playPlain plays requests of 30 gateways to 3 servers of 6 slots for a minute. It returns the
// share of requests for which the gateway had a connection with an answer within half a second,
// the share of the busiest server relative to the mean, and the mean time to an answer.
func playPlain(warm bool, perSecond float64) (kept, largest float64, mean time.Duration) {
	type answer struct {
		at              time.Time
		took            time.Duration
		gateway, server int
	}
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var fleets [30]*Fleet
	var idle [30][3][]time.Time // the times of the last answers on idle connections
	isClean := func(at time.Time) bool { return now.Sub(at) < 500*time.Millisecond }
	ids := []string{"0", "1", "2"}
	for g := range fleets {
		fleets[g] = NewFleet(fmt.Sprint("g", g), "z")
		for _, id := range ids {
			fleets[g].Update(now, []registry.Server{{ID: id, Address: id, Service: "plain", Zone: "z", State: registry.Ready, Sequence: 1}})
		}
		if warm {
			fleets[g].Warm = func(s *Server) bool { return slices.ContainsFunc(idle[g][s.ID[0]-'0'], isClean) }
		}
	}
	var due []answer
	var free [3][6]time.Time
	var sent [3]float64
	total, onKept, took := 0.0, 0.0, time.Duration(0)
	for arrival, end := now, now.Add(time.Minute); arrival.Before(end); arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond)) {
		for ; len(due) > 0 && due[0].at.Before(arrival); due = due[1:] {
			a := due[0]
			now = a.at
			fleets[a.gateway].NoteOutcome(now, ids[a.server], Success, a.took)
			fleets[a.gateway].Get(ids[a.server]).Open--
			idle[a.gateway][a.server] = append(idle[a.gateway][a.server], now)
		}
		now = arrival
		g := rng.IntN(len(fleets))
		fleets[g].NoteHeartbeats(now, ids)
		chosen := fleets[g].ChoosePlain(now, Work{Service: "plain"}, nil)
		chosen.Open++
		s := int(chosen.ID[0] - '0')
		if i := slices.IndexFunc(idle[g][s], isClean); i >= 0 {
			idle[g][s] = slices.Delete(idle[g][s], i, i+1)
			onKept++
		}
		slices.SortFunc(free[s][:], time.Time.Compare)
		free[s][0] = slices.MaxFunc([]time.Time{free[s][0], now}, time.Time.Compare).Add(time.Duration(20+rng.IntN(80)) * time.Millisecond)
		due = append(due, answer{free[s][0], free[s][0].Sub(now), g, s})
		slices.SortFunc(due, func(a, b answer) int { return a.at.Compare(b.at) })
		sent[s]++
		total++
		took += free[s][0].Sub(now)
	}
	return onKept / total, slices.Max(sent[:]) * float64(len(sent)) / total, took / time.Duration(total)
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
