package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// TestQueueServesByPriority checks that the most urgent request is placed first, and equal
// ones in the order of arrival. No request is passed over for lack of capacity: otherwise a
// large prompt would wait for ever, and urgent requests with large prompts would be served
// less often than others.
func TestQueueServesByPriority(t *testing.T) {
	f := fleet(1, 1)
	var q dispatch.Queue
	add := func(priority int, w dispatch.Work) *dispatch.QueuedRequest {
		w.Urgency.Organisation = priority
		x := &dispatch.QueuedRequest{Work: w, Engine: engine, Avoid: dispatch.Avoid{}}
		q.Add(x)
		return x
	}
	large := small
	large.Prompt = 100 * engine.KVTokens
	late, first, second := add(3, small), add(1, small), add(1, small)
	huge := add(2, large)
	var served []*dispatch.QueuedRequest
	f.ServeQueue(now, &q, func(r *dispatch.QueuedRequest, p dispatch.Pair) {
		served = append(served, r)
		f.EndPrefill(p.PrefillServer().ID, r.Work)
		f.Release(p.Decode.ID, r.Work)
	})
	assert.Equal(t, len(served), 2)
	assert.Assert(t, served[0] == first && served[1] == second)
	assert.Equal(t, q.Len(), 2, "the large one holds up less urgent ones")
	q.Remove(huge)
	f.ServeQueue(now, &q, func(r *dispatch.QueuedRequest, _ dispatch.Pair) { served = append(served, r) })
	assert.Assert(t, len(served) == 3 && served[2] == late)
	assert.Equal(t, q.Len(), 0)
}

// TestRequestThatAvoidsFreeEnginesDoesNotBlockQueue guards against a request that has tried
// all engines with capacity and holds up those behind it: one hold that came late from the
// only decode engine had all requests of a gateway refused for 2 s. A request that needs more
// capacity than there is still holds them up.
func TestRequestThatAvoidsFreeEnginesDoesNotBlockQueue(t *testing.T) {
	f := fleet(1, 1)
	everywhere := dispatch.Avoid{"d0-0": true, "d1-0": true}
	large := small
	large.Prompt = 100 * engine.KVTokens
	for _, c := range []struct {
		name   string
		first  *dispatch.QueuedRequest
		served int
	}{
		{"it has tried all engines", &dispatch.QueuedRequest{Work: small, Engine: engine, Avoid: everywhere}, 2},
		{"there is no capacity for it", &dispatch.QueuedRequest{Work: large, Engine: engine, Avoid: dispatch.Avoid{}}, 0},
		{"both", &dispatch.QueuedRequest{Work: large, Engine: engine, Avoid: everywhere}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q dispatch.Queue
			q.Add(c.first)
			for range 2 {
				q.Add(&dispatch.QueuedRequest{Work: small, Engine: engine, Avoid: dispatch.Avoid{}})
			}
			served := 0
			f.ServeQueue(now, &q, func(r *dispatch.QueuedRequest, p dispatch.Pair) {
				served++
				f.EndPrefill(p.PrefillServer().ID, r.Work)
				f.Release(p.Decode.ID, r.Work)
			})
			assert.Equal(t, served, c.served)
			assert.Equal(t, q.Len(), 3-c.served, "it stays in the queue")
		})
	}
}
