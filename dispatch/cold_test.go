package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
	"github.com/ledgepin/ledgepin/warmup"
)

// coldFleet returns a fleet whose services bound the requests to cold servers, with one cold
// server of each kind.
func coldFleet() *dispatch.Fleet {
	f := fleet(1, 1)
	f.SetColdSettings(map[string]dispatch.ColdSettings{"llm": {Bounded: true, Duration: 3 * time.Second}, "plain": {Bounded: true, Duration: 3 * time.Second}})
	f.Update(now, []registry.Server{
		{ID: "cold-d", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: "cd:1", Sequence: 1, Cold: 3 * time.Second, Age: time.Second},
		{ID: "cold-p", Service: "llm", Zone: "z0", Role: registry.Prefill, State: registry.Ready, Address: "cp:1", Sequence: 1, Cold: 3 * time.Second, Age: time.Second},
		{ID: "cold", Service: "plain", Zone: "z0", State: registry.Ready, Address: "c:1", Sequence: 1, Cold: 3 * time.Second, Age: time.Second},
	})
	return f
}

// placeOne places one request as a gateway does.
func placeOne(f *dispatch.Fleet, at time.Time) (dispatch.Pair, bool) {
	var q dispatch.Queue
	var out dispatch.Pair
	ok := false
	q.Add(&dispatch.QueuedRequest{Work: small, Engine: engine})
	f.ServeQueue(at, &q, func(_ *dispatch.QueuedRequest, p dispatch.Pair) { out, ok = p, true })
	return out, ok
}

// TestColdServersGetNoMoreThanLeased fills a fleet in which cold servers are the emptiest.
// Without a lease they get no requests, with one as many as it allows in each second, and as
// many as others once they are warm, which is counted from the time of their report.
func TestColdServersGetNoMoreThanLeased(t *testing.T) {
	f := coldFleet()
	f.Reserve("d0-0", small) // so that the cold engine is emptier
	got := func(at time.Time) (n int) {
		for range 6 {
			p, ok := placeOne(f, at)
			if !ok {
				continue
			}
			if p.Decode.ID == "cold-d" {
				n++
			}
			f.Release(p.Decode.ID, small)
			f.EndPrefill(p.PrefillServer().ID, small)
		}
		return n
	}
	assert.Equal(t, got(now), 0)
	assert.Equal(t, f.ChoosePlain(now, plain, dispatch.Avoid{"a": true, "b": true}), (*dispatch.Server)(nil))
	f.RenewLease(now, "cold-d", 2, warmup.LeaseTTL)
	assert.Equal(t, got(now), 2)
	assert.Equal(t, got(now.Add(500*time.Millisecond)), 0)
	f.RenewLease(now.Add(900*time.Millisecond), "cold-d", 2, warmup.LeaseTTL)
	assert.Equal(t, got(now.Add(1100*time.Millisecond)), 2)
	assert.Equal(t, got(now.Add(1999*time.Millisecond)), 0)
	assert.Assert(t, got(now.Add(2*time.Second)) > 2, "it is warm")
	assert.Equal(t, f.Exclusion(now, small, engine).Count[dispatch.RuleCold], 1)
}

// TestServersCountAsColdAfterEvacuation ends the evacuation of a zone whose servers did not
// report meanwhile: they count as cold until they report themselves, or for as long as a
// server is cold after its start.
func TestServersCountAsColdAfterEvacuation(t *testing.T) {
	f := coldFleet()
	at := now.Add(10 * time.Second)
	alive := []string{"d0-0", "d1-0", "p0-0", "p1-0", "a", "b"}
	f.NoteHeartbeats(at, alive)
	f.SetEvacuated(at, []string{"z0"})
	f.SetEvacuated(at.Add(time.Second), nil)
	at = at.Add(time.Second)
	cold := func(at time.Time, id string) bool { return f.IsCold(at, f.Get(id)) }
	assert.Assert(t, cold(at, "d0-0") && cold(at, "a"))
	assert.Assert(t, !cold(at, "d1-0"), "its zone was not evacuated")
	f.NoteHeartbeats(at.Add(time.Millisecond), []string{"d0-0"})
	assert.Assert(t, !cold(at.Add(time.Millisecond), "d0-0"))
	assert.Assert(t, cold(at.Add(2900*time.Millisecond), "a"))
	assert.Assert(t, !cold(at.Add(3*time.Second), "a"))
}

// TestColdTimeFromAnswerCounts checks that the cold time in a server's own answer counts, and
// that a service without a bound has no cold servers.
func TestColdTimeFromAnswerCounts(t *testing.T) {
	f := coldFleet()
	cold := func(d time.Duration) { f.Observe(now, "a", selfreport.Report{Sent: now, Received: now, Cold: &d}) }
	cold(time.Second)
	assert.Assert(t, f.IsCold(now, f.Get("a")))
	cold(0)
	assert.Assert(t, !f.IsCold(now, f.Get("a")))
	f.SetColdSettings(nil)
	assert.Assert(t, !f.IsCold(now, f.Get("cold")))
}
