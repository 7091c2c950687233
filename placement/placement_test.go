package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/placement"
)

var start = time.Unix(1000, 0)

// newView returns a view with prefill servers p0.. and decode servers d0..
func newView(prefill, decode int) *placement.View {
	v := placement.NewView("z1", rand.New(rand.NewPCG(1, 1)))
	add := func(name, role string) {
		v.Set(placement.ServerConfig{Name: name, Zone: "z1", Role: role, Models: []string{"m"}, Slots: 8, LinkRate: 1e9})
		v.SetConnected(name, true)
	}
	for i := range prefill {
		add(fmt.Sprint("p", i), "prefill")
	}
	for i := range decode {
		add(fmt.Sprint("d", i), "decode")
	}
	return v
}

func query() placement.Query {
	return placement.Query{Model: "m", Tokens: 800, KVBytes: 1e6, TBT: 75 * time.Millisecond}
}

func load(others, slots int) placement.Load {
	return placement.Load{Others: others, Slots: slots, Models: []string{"m"}}
}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name      string
		before    func(*placement.View)
		modify    func(*placement.Query)
		prefill   string
		decode    string
		exclusion placement.Exclusion
	}{
		{name: "least backlog", before: func(v *placement.View) {
			l := load(0, 8)
			l.Backlog = []int32{9000}
			v.Report("p0", l)
		}, prefill: "p1", decode: "any"},
		{name: "low priority backlog does not count", before: func(v *placement.View) {
			l := load(0, 8)
			l.Backlog = []int32{0, 0, 90000}
			v.Report("p0", l)
			v.Report("p1", placement.Load{Slots: 8, Backlog: []int32{100}, Models: []string{"m"}})
		}, prefill: "p0", decode: "any"},
		{name: "most free slots", before: func(v *placement.View) { v.Report("d0", load(6, 8)) }, prefill: "any", decode: "d1"},
		{name: "down", before: func(v *placement.View) { v.SetConnected("p0", false) }, prefill: "p1", decode: "any"},
		{name: "leaving", before: func(v *placement.View) { v.SetLeaving("d0", true) }, prefill: "any", decode: "d1"},
		{name: "model not loaded", before: func(v *placement.View) { v.Report("p1", placement.Load{Slots: 8, NoModels: true}) }, prefill: "p0", decode: "any"},
		{name: "ejected", before: func(v *placement.View) {
			for range 3 {
				v.RecordFailure(start, v.Server("p0"))
			}
		}, prefill: "p1", decode: "any"},
		{name: "just failed", modify: func(q *placement.Query) { q.Avoid = "d1" }, prefill: "any", decode: "d0"},
		{name: "decode full", before: func(v *placement.View) { v.Report("d0", load(8, 8)); v.Report("d1", load(8, 8)) }, exclusion: placement.NoSlot},
		{name: "last slot is for the first priority", before: func(v *placement.View) { v.Report("d0", load(15, 16)); v.Report("d1", load(15, 16)) },
			modify: func(q *placement.Query) { q.Priority = 1 }, exclusion: placement.NoSlot},
		{name: "prefill busy", before: func(v *placement.View) {
			for _, n := range []string{"p0", "p1"} {
				v.PrefillReserved(v.Server(n), 0, 100)
				v.PrefillReserved(v.Server(n), 0, 100)
			}
		}, exclusion: placement.Busy},
		{name: "own zone is preferred", before: func(v *placement.View) {
			v.Set(placement.ServerConfig{Name: "far", Zone: "z2", Role: "decode", Models: []string{"m"}, Slots: 8, LinkRate: 1e9})
			v.SetConnected("far", true)
			v.Report("d0", load(2, 8))
			v.Report("d1", load(8, 8))
		}, prefill: "any", decode: "d0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newView(2, 2)
			if c.before != nil {
				c.before(v)
			}
			q := query()
			if c.modify != nil {
				c.modify(&q)
			}
			got := v.Choose(start, q)
			if c.exclusion != "" {
				assert.Equal(t, got.Exclusion, c.exclusion)
				return
			}
			assert.Assert(t, got.Prefill != nil && got.Decode != nil, "%s", got.Exclusion)
			assert.Assert(t, c.prefill == "any" || got.Prefill.Name == c.prefill, got.Prefill.Name)
			assert.Assert(t, c.decode == "any" || got.Decode.Name == c.decode, got.Decode.Name)
		})
	}
}

func TestServerWithCachedPrefixIsChosen(t *testing.T) {
	v := newView(40, 2) // more than one choice considers
	q := query()
	q.Tokens = 4000
	q.Prefixes = placement.Prefixes(strings.Repeat("log line; ", 1600))
	v.PrefillDone(v.Server("p33"), q.Prefixes, 4000, 0, time.Second)
	got := v.Choose(start, q)
	assert.Equal(t, got.Prefill.Name, "p33")
	assert.Assert(t, got.Work < 400, "%d", got.Work)
}

func TestEjectedServerGetsOneProbe(t *testing.T) {
	v := newView(1, 1)
	p := v.Server("p0")
	for range 3 {
		v.RecordFailure(start, p)
	}
	assert.Equal(t, v.Choose(start, query()).Exclusion, placement.Ejected)
	later := start.Add(1100 * time.Millisecond)
	assert.Equal(t, v.Choose(later, query()).Prefill, p, "one probe")
	v.PrefillReserved(p, 0, 10)
	assert.Equal(t, v.Choose(later, query()).Exclusion, placement.Ejected, "no second probe")
	v.PrefillReleased(p, 0, 10)
	v.PrefillDone(p, nil, 10, 0, time.Millisecond)
	assert.Equal(t, v.Choose(later, query()).Prefill, p)
}

func TestPrefillRateIsMeasured(t *testing.T) {
	v := newView(2, 1)
	for range 20 {
		v.PrefillDone(v.Server("p0"), nil, 1000, 0, time.Second)         // a thousand tokens a second
		v.PrefillDone(v.Server("p1"), nil, 1000, 0, 50*time.Millisecond) // twenty thousand tokens a second
	}
	assert.Equal(t, v.Choose(start, query()).Prefill.Name, "p1")
	minTime := v.MinTTFT(start, query())
	assert.Assert(t, minTime > 40*time.Millisecond && minTime < 50*time.Millisecond, "%s", minTime)
}

func TestTransfersShareTheLink(t *testing.T) {
	v := newView(1, 1)
	p, d := v.Server("p0"), v.Server("d0")
	alone := v.TransferTime(p, d, 1e9)
	v.TransferStarted(p, d)
	assert.Equal(t, v.TransferTime(p, d, 1e9), 2*alone)
	v.TransferEnded(p, d)
	assert.Equal(t, v.TransferTime(p, d, 1e9), alone)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 55, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newView(n/2, n-n/2)
			q := query()
			q.Prefixes = placement.Prefixes(strings.Repeat("log line; ", 1600))
			b.ReportAllocs()
			for b.Loop() {
				v.Choose(start, q)
			}
		})
	}
}
