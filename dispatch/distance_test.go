package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// twoRegionFleet returns fleet(p, d) with its second zone in another region, at a round-trip
// time of 60 ms.
func twoRegionFleet(p, d int) *dispatch.Fleet {
	f := fleet(p, d)
	f.SetRegions(map[string]string{"z0": "north", "z1": "south"})
	for _, id := range []string{"d1-0", "p1-0", "b"} {
		for range 50 {
			f.NoteConnect(id, 60*time.Millisecond)
		}
	}
	return f
}

// TestRequestsStayInRegionWithCapacity fills a fleet of two regions beyond the capacity of
// the gateway's own one. Requests are prefilled and run there until none of its engines has
// capacity, are then prefilled and run in the other region, and come back as soon as there is
// capacity again.
func TestRequestsStayInRegionWithCapacity(t *testing.T) {
	f := twoRegionFleet(2, 2)
	var own, other int
	for {
		p, ok := f.ChoosePair(now, small, engine, nil)
		if !ok {
			break
		}
		if p.Decode.Zone == "z0" {
			assert.Equal(t, other, 0, "placed in the other region although its own had capacity")
			assert.Equal(t, p.PrefillServer().Zone, "z0")
			own++
		} else {
			assert.Equal(t, p.PrefillServer().Zone, "z1", "no KV cache crosses regions")
			other++
		}
		f.Reserve(p.Decode.ID, small)
	}
	assert.Equal(t, own, 8)
	assert.Equal(t, other, 8)
	f.Release("d0-0", small)
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.Decode.ID, "d0-0")
}

// TestLongPrefillQueueUsesOtherRegion checks that a prompt is prefilled in another region
// once the queue in the gateway's own region takes longer than the round trips there.
func TestLongPrefillQueueUsesOtherRegion(t *testing.T) {
	f := twoRegionFleet(1, 2)
	long := dispatch.Work{Service: "llm", Prompt: 100_000}
	f.StartPrefill("p0-0", long)
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.PrefillServer().Zone, "z1")
	f.EndPrefill("p0-0", long)
	p, ok = f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.PrefillServer().Zone, "z0")
}

// TestMigrationPrefersZoneThenRegion checks that a run that has to leave its engine migrates
// within its zone, else within its region, and to another region only if there is no other
// engine.
func TestMigrationPrefersZoneThenRegion(t *testing.T) {
	f := twoRegionFleet(0, 2)
	f.Update(now, []registry.Server{{ID: "near", Service: "llm", Zone: "z2", Role: registry.Decode, State: registry.Ready, Address: "near:1", Sequence: 1}})
	f.SetRegions(map[string]string{"z0": "north", "z1": "south", "z2": "north"})
	f.MarkGone("d1-1") // leaves so few that each choice looks at all
	target := func() string { return f.MigrationTarget(now, "d0-0", small, engine, 0.9).ID }
	assert.Equal(t, target(), "d0-1")
	f.MarkGone("d0-1")
	assert.Equal(t, target(), "near")
	f.MarkGone("near")
	assert.Equal(t, f.Get(target()).Zone, "z1")
}

// TestRoundTripsFollowConnections checks that round-trip times follow the durations of
// connections, and are guessed from the topology before.
func TestRoundTripsFollowConnections(t *testing.T) {
	f := fleet(1, 1)
	assert.Assert(t, f.RoundTrip("z1") < 10*time.Millisecond)
	f.SetRegions(map[string]string{"z0": "north", "z1": "south"})
	assert.Assert(t, f.RoundTrip("z1") > 10*time.Millisecond)
	for range 50 {
		f.NoteConnect("d1-0", 60*time.Millisecond)
	}
	assert.Assert(t, (f.RoundTrip("z1")-60*time.Millisecond).Abs() < time.Millisecond)
	assert.Assert(t, f.RoundTrip("z0") < 10*time.Millisecond)
}

// TestOneRegionChoosesLikeNone checks that a fleet makes the same choices whether all its
// zones are in one region or no regions are known, however long its connections take.
func TestOneRegionChoosesLikeNone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		with, without := fleet(2, 3), fleet(2, 3)
		with.SetRegions(map[string]string{"z0": "north", "z1": "north"})
		for step := range rapid.IntRange(1, 30).Draw(r, "steps") {
			id := rapid.SampledFrom([]string{"d0-0", "d1-0", "p1-1", "a", "b"}).Draw(r, "server")
			took := time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
			w := dispatch.Work{Service: "llm", Prompt: rapid.IntRange(1, 3000).Draw(r, "prompt"), Expected: 500}
			var got [2]string
			for i, f := range []*dispatch.Fleet{with, without} {
				f.NoteConnect(id, took)
				if p, ok := f.ChoosePair(now, w, engine, nil); ok {
					got[i] = fmt.Sprint(p.PrefillServer().ID, p.Decode.ID)
					f.Reserve(p.Decode.ID, w)
					f.StartPrefill(p.PrefillServer().ID, w)
				}
				if s := f.ChoosePlain(now, plain, nil); s != nil {
					got[i] += s.ID
				}
				if s := f.MigrationTarget(now, "d0-0", w, engine, 0.5); s != nil {
					got[i] += s.ID
				}
			}
			assert.Equal(r, got[0], got[1], "step %d", step)
		}
	})
}
