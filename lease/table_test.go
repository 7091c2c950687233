package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/lease"
)

var (
	start = time.Unix(1000, 0)
	opts  = lease.Options{TTL: 2 * time.Second, CancelInterval: 500 * time.Millisecond}
)

func request(req, owner string) lease.Request {
	return lease.Request{ID: lease.ID{Req: req, Attempt: 1}, Owner: owner, Hold: time.Second}
}

func id(req string) lease.ID { return lease.ID{Req: req, Attempt: 1} }

func TestReserve(t *testing.T) {
	leaving := func(tb *lease.Table) { tb.SetLeaving(true) }
	recovering := func(tb *lease.Table) { tb.SetRecovering(true) }
	oneUsed := func(tb *lease.Table) { tb.Reserve(start, request("a", "e")) }
	full := func(tb *lease.Table) { oneUsed(tb); tb.Reserve(start, request("b", "e")) }
	for _, c := range []struct {
		name    string
		before  func(*lease.Table)
		request lease.Request
		want    lease.Reason
	}{
		{"free", func(*lease.Table) {}, request("a", "e"), lease.None},
		{"full", full, request("c", "e"), lease.Full},
		{"twice", oneUsed, request("a", "e"), lease.Duplicate},
		{"leaving", leaving, request("a", "e"), lease.Leaving},
		{"recovering", recovering, request("a", "e"), lease.Recovery},
		{"headroom kept free", oneUsed, lease.Request{ID: id("b"), Owner: "e", Hold: time.Second, Headroom: 1}, lease.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			tb := lease.New(2, opts)
			c.before(tb)
			assert.Equal(t, tb.Reserve(start, c.request), c.want)
		})
	}
}

func TestHoldExpires(t *testing.T) {
	tb := lease.New(1, opts)
	tb.Reserve(start, request("a", "e"))
	assert.Equal(t, len(tb.Tick(start.Add(time.Second))), 0)
	assert.Equal(t, tb.Used(), 0)
	assert.Assert(t, !tb.Start(id("a")))
}

func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	tb := lease.New(1, opts)
	tb.Reserve(start, request("a", "e"))
	tb.Start(id("a"))
	assert.DeepEqual(t, tb.Cancel(start, id("a")), []lease.EngineCancel{{ID: id("a"), Try: 1}})
	assert.Equal(t, len(tb.Tick(start.Add(400*time.Millisecond))), 0)
	assert.DeepEqual(t, tb.Tick(start.Add(500*time.Millisecond)), []lease.EngineCancel{{ID: id("a"), Try: 2}})
	assert.Equal(t, tb.Reserve(start, request("b", "e")), lease.Full, "the slot is in use until the engine has confirmed")
	tb.Finish(id("a"))
	assert.Equal(t, tb.Reserve(start, request("b", "e")), lease.None)
}

func TestOwnerWithoutHeartbeatLosesItsLeases(t *testing.T) {
	tb := lease.New(4, opts)
	keep := request("k", "dead")
	keep.Keep = true
	for _, a := range []lease.Request{request("a", "dead"), request("b", "alive"), keep} {
		tb.Reserve(start, a)
		tb.Start(a.ID)
	}
	now := start.Add(3 * time.Second)
	tb.Renew(now, "alive")
	assert.DeepEqual(t, tb.Tick(now), []lease.EngineCancel{{ID: id("a"), Try: 1, Expired: true}})
}

func TestOnlyOrphansAreCancelled(t *testing.T) {
	tb := lease.New(4, opts)
	assert.Assert(t, tb.Restore(start, id("known"), "e", false))
	assert.Equal(t, len(tb.CancelOrphan(start, id("known"))), 0)
	assert.DeepEqual(t, tb.CancelOrphan(start, id("orphan")), []lease.EngineCancel{{ID: id("orphan"), Try: 1}})
}

// TestNoSlotStaysHeld runs random requests, cancels, lost confirmations and lost
// heartbeats. There must never be more leases than slots, and all slots must be
// free some time after the last heartbeat of all owners.
func TestNoSlotStaysHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		tb := lease.New(slots, opts)
		now := start
		engine := map[lease.ID]bool{} // the requests that the engine runs
		confirm := func(list []lease.EngineCancel, answers bool) {
			for _, e := range list {
				if answers {
					delete(engine, e.ID)
					tb.Finish(e.ID)
				}
			}
		}
		n := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range n {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			req := lease.ID{Req: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "req")), Attempt: uint32(rapid.IntRange(1, 2).Draw(t, "attempt"))}
			owner := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "owner")
			answers := rapid.Bool().Draw(t, "engine answers")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				tb.Reserve(now, lease.Request{ID: req, Owner: owner, Hold: time.Second})
			case 1:
				if tb.Start(req) {
					engine[req] = true
				}
			case 2:
				confirm(tb.Cancel(now, req), answers)
			case 3:
				tb.Renew(now, owner)
			case 4:
				confirm(tb.Tick(now), answers)
			case 5:
				if engine[req] { // the request ends without a cancel
					delete(engine, req)
					tb.Finish(req)
				}
			}
			if tb.Used() > slots {
				t.Fatalf("step %d: %d leases on %d slots", i, tb.Used(), slots)
			}
			if len(engine) > tb.Used() {
				t.Fatalf("step %d: the engine runs %d requests, the table has %d leases", i, len(engine), tb.Used())
			}
		}
		for range 10 {
			now = now.Add(time.Second)
			confirm(tb.Tick(now), true)
		}
		if tb.Used() != 0 || len(engine) != 0 {
			t.Fatalf("%d leases and %d requests remain", tb.Used(), len(engine))
		}
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := lease.New(n, opts)
			for i := range n {
				tb.Reserve(start, request(fmt.Sprint(i), fmt.Sprint(i%40)))
				tb.Start(id(fmt.Sprint(i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				tb.Tick(start)
			}
		})
	}
}
