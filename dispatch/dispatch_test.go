package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

var (
	now    = time.Unix(1000, 0)
	engine = &route.Engine{Slots: 4, KVTokens: 10000, KVHold: time.Second}
	plain  = dispatch.Work{Service: "plain"}
	small  = dispatch.Work{Service: "llm", Prompt: 1000, Expected: 1000}
)

// fleet returns a fleet with p prefill and d decode engines in each of two zones, and two
// plain servers.
func fleet(p, d int) *dispatch.Fleet {
	f := dispatch.NewFleet("g", "z0")
	var list []registry.Server
	add := func(id, service, zone, role string) {
		list = append(list, registry.Server{ID: id, Service: service, Zone: zone, Role: role, State: registry.Ready, Address: id + ":1", Sequence: 1})
	}
	for z := range 2 {
		zone := fmt.Sprint("z", z)
		for i := range p {
			add(fmt.Sprintf("p%d-%d", z, i), "llm", zone, registry.Prefill)
		}
		for i := range d {
			add(fmt.Sprintf("d%d-%d", z, i), "llm", zone, registry.Decode)
		}
	}
	add("a", "plain", "z0", "")
	add("b", "plain", "z1", "")
	f.Update(now, list)
	return f
}

// knownLoads returns the state of a single gateway that has the given loads of its engines.
func knownLoads(loads map[string]dispatch.Load) dispatch.OtherGateways {
	return dispatch.OtherGateways{Gateways: 1, Known: 1, Loads: loads}
}

func TestPairStaysInOneZone(t *testing.T) {
	f := fleet(1, 1)
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.Prefill.Zone, p.Decode.Zone)
}

// TestMemoryIsNotOverbooked places requests until none fits. No engine may have more
// reservations than its memory with overcommit, or than its slots.
func TestMemoryIsNotOverbooked(t *testing.T) {
	f := fleet(1, 2)
	for {
		p, ok := f.ChoosePair(now, small, engine, nil)
		if !ok {
			break
		}
		f.Reserve(p.Decode.ID, small)
	}
	for _, s := range f.List() {
		assert.Assert(t, float64(s.Own.Tokens) <= dispatch.MemoryOvercommit*float64(engine.KVTokens), "%s has %d", s.ID, s.Own.Tokens)
		assert.Assert(t, s.Own.Runs <= engine.Slots)
	}
	assert.Equal(t, f.Get("d0-0").Own.Runs, 4)
	f.Release("d0-0", small)
	_, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok, "capacity is free again")
}

// TestLoadsOfOtherGatewaysCount guards against choices that ignore what other gateways have
// reserved, or assume no load from gateways whose loads are not known.
func TestLoadsOfOtherGatewaysCount(t *testing.T) {
	f := fleet(1, 1)
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d0-0": {Tokens: 12000}, "d1-0": {Tokens: 4000}}))
	p, ok := f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, ok)
	assert.Equal(t, p.Decode.ID, "d1-0")
	f.Others.Gateways, f.Others.Known = 5, 1
	_, ok = f.ChoosePair(now, small, engine, nil)
	assert.Assert(t, !ok, "the loads of four gateways are not known")
}

func TestUnavailableEnginesAreNotChosen(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *dispatch.Fleet)
	}{
		{"leaving", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{{ID: "d0-0", Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Draining, Sequence: 2}})
		}},
		{"gone", func(f *dispatch.Fleet) { f.MarkGone("d0-0") }},
		{"changing its role", func(f *dispatch.Fleet) { f.BeginRoleChange(now, "d0-0", registry.Prefill, time.Second) }},
		{"unreachable", func(f *dispatch.Fleet) { f.NoteOutcome(now, "d0-0", dispatch.Unreachable, 0) }},
		{"another incarnation at its address", func(f *dispatch.Fleet) {
			f.Update(now, []registry.Server{{ID: "d9", Service: "other", Address: "d0-0:1", Zone: "z0", State: registry.Ready, Sequence: 1}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(1, 1)
			tt.change(f)
			p, ok := f.ChoosePair(now, small, engine, nil)
			assert.Assert(t, ok)
			assert.Equal(t, p.Decode.ID, "d1-0")
		})
	}
}

// TestMostRecentlyReportedIncarnationIsUsed covers two incarnations at one address in both
// orders of arrival: a replica that has just started publishes old reports.
func TestMostRecentlyReportedIncarnationIsUsed(t *testing.T) {
	older := registry.Server{ID: "old", Service: "s", Address: "x:1", State: registry.Ready, Sequence: 9, Age: 2 * time.Second}
	newer := registry.Server{ID: "new", Service: "s", Address: "x:1", State: registry.Ready, Sequence: 1}
	for _, order := range [][]registry.Server{{older, newer}, {newer, older}} {
		f := dispatch.NewFleet("g", "z0")
		for _, s := range order {
			f.Update(now, []registry.Server{s})
		}
		assert.Assert(t, f.Available(now, "new") && !f.Available(now, "old"), "%s first", order[0].ID)
	}
}

// TestSilentServerIsUsedWhileRequestsSucceed covers a server that control has lost, but whose
// requests succeed: it may only be partitioned from control.
func TestSilentServerIsUsedWhileRequestsSucceed(t *testing.T) {
	f := fleet(0, 0)
	later := now.Add(time.Minute / 2)
	assert.Assert(t, f.ChoosePlain(later, plain, nil) == nil)
	f.NoteOutcome(later.Add(-time.Second), "a", dispatch.Success, 10*time.Millisecond)
	assert.Equal(t, f.ChoosePlain(later, plain, nil).ID, "a")
}

// TestSilentServersDoNotHideLiveOnes guards against a choice that looks only at servers that
// control has assigned to other gateways, whose reports no longer arrive, and finds none.
func TestSilentServersDoNotHideLiveOnes(t *testing.T) {
	f := dispatch.NewFleet("g", "z0")
	var list []registry.Server
	for i := range 200 {
		list = append(list, registry.Server{ID: fmt.Sprint("a", i), Service: "plain", State: registry.Ready, Address: fmt.Sprint(i, ":1"), Sequence: 1})
	}
	f.Update(now, list)
	later := now.Add(10 * time.Second)
	f.NoteHeartbeats(later.Add(-time.Second), []string{"a7"})
	f.Sweep(later)
	for range 50 {
		s := f.ChoosePlain(later, plain, nil)
		assert.Assert(t, s != nil && s.ID == "a7")
	}
}

// TestOnlyEngineWithCapacityIsFound guards against a choice that looks at a subset of the
// servers and reports that there is none although another one has capacity.
func TestOnlyEngineWithCapacityIsFound(t *testing.T) {
	f := fleet(4, 10)
	loads := map[string]dispatch.Load{}
	for i := range 20 {
		loads[fmt.Sprintf("d%d-%d", i%2, i/2)] = dispatch.Load{Tokens: 20000}
	}
	delete(loads, "d1-6")
	f.SetOthers(now, knownLoads(loads))
	avoid := dispatch.Avoid{}
	for i := range 8 {
		avoid[fmt.Sprintf("p%d-%d", i%2, i/2)] = true
	}
	delete(avoid, "p0-3")
	for range 20 {
		p, ok := f.ChoosePair(now, small, engine, avoid)
		assert.Assert(t, ok)
		assert.Equal(t, p.Decode.ID, "d1-6")
		assert.Assert(t, p.Prefill != nil && p.Prefill.ID == "p0-3")
		assert.Equal(t, f.ChooseDecode(now, small, engine, "z0", nil).ID, "d1-6")
	}
}

// TestFailingServerGetsFewRequests covers a server that fails half of its requests, whatever
// its health check reports.
func TestFailingServerGetsFewRequests(t *testing.T) {
	f := fleet(0, 0)
	toA := 0
	at := now
	for i := range 400 {
		at = at.Add(10 * time.Millisecond)
		f.Update(at, []registry.Server{
			{ID: "a", Service: "plain", Address: "a:1", State: registry.Ready, Sequence: uint64(i + 2)},
			{ID: "b", Service: "plain", Address: "b:1", State: registry.Ready, Sequence: uint64(i + 2)},
		})
		s := f.ChoosePlain(at, plain, nil)
		o := dispatch.Success
		if s.ID == "a" {
			toA++
			if toA%2 == 0 {
				o = dispatch.Failure
			}
		}
		f.NoteOutcome(at, s.ID, o, 20*time.Millisecond)
	}
	assert.Assert(t, toA < 120, "%d of 400 went to the failing server", toA)
}

// TestUnreachableServerIsBlockedUntilItReports checks that a server that could not be reached
// is blocked until it reports itself again, and not for ever if it does not.
func TestUnreachableServerIsBlockedUntilItReports(t *testing.T) {
	f := fleet(1, 1)
	f.NoteOutcome(now, "d0-0", dispatch.Unreachable, 0)
	chosen := func(at time.Time) string {
		p, ok := f.ChoosePair(at, small, engine, nil)
		assert.Assert(t, ok)
		return p.Decode.ID
	}
	report := func(age time.Duration) {
		f.Update(now.Add(2*time.Second), []registry.Server{
			{ID: "d0-0", Service: "llm", Zone: "z0", Role: registry.Decode, Address: "d0-0:1", State: registry.Ready, Sequence: 1, Age: age},
			{ID: "d1-0", Service: "llm", Zone: "z1", Role: registry.Decode, Address: "d1-0:1", State: registry.Ready, Sequence: 1},
		})
	}
	f.Reserve("d1-0", small) // so that the other one is the least used
	report(2500 * time.Millisecond)
	assert.Equal(t, chosen(now.Add(2*time.Second)), "d1-0", "no report since")
	report(time.Second)
	assert.Equal(t, chosen(now.Add(2*time.Second)), "d0-0", "reported again")
	f.NoteOutcome(now.Add(2*time.Second), "d0-0", dispatch.Unreachable, 0)
	assert.Equal(t, chosen(now.Add(4*time.Second)), "d1-0")
	assert.Equal(t, chosen(now.Add(5100*time.Millisecond)), "d0-0", "tried again, as its reports may be lost in a partition")
}

// TestRefusedHandoverBlocksEngineAtFault checks that a refusal blocks the engine that is at
// fault for it, and no other.
func TestRefusedHandoverBlocksEngineAtFault(t *testing.T) {
	once := dispatch.Handover{Prefill: "p0-0", RefusedBy: []string{"d0-0"}}
	tests := []struct {
		name    string
		notes   []dispatch.Handover
		blocked []string
	}{
		{"accepted elsewhere", []dispatch.Handover{{Prefill: "p0-0", RefusedBy: []string{"d0-0"}, AcceptedBy: "d1-0"}}, []string{"d0-0"}},
		{"refused twice", []dispatch.Handover{{Prefill: "p0-0", RefusedBy: []string{"d0-0", "d1-0"}}}, []string{"p0-0"}},
		{"refused once", []dispatch.Handover{once}, nil},
		{"results that expire", []dispatch.Handover{once, {Prefill: "p0-0", RefusedBy: []string{"d1-0"}}}, []string{"p0-0"}},
		{"an engine that accepts none", []dispatch.Handover{once, {Prefill: "p1-0", RefusedBy: []string{"d0-0"}}}, []string{"d0-0"}},
		{"accepted meanwhile", []dispatch.Handover{once, {Prefill: "p0-0", AcceptedBy: "d0-0"}, once}, nil},
		{"a refused copy", []dispatch.Handover{{RefusedBy: []string{"d0-0"}}, {RefusedBy: []string{"d0-0"}}}, []string{"d0-0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(1, 1)
			for _, h := range tt.notes {
				f.NoteHandover(now, h)
			}
			var blocked []string
			for _, id := range []string{"d0-0", "d1-0", "p0-0", "p1-0"} {
				if f.Blocked(now, id) {
					blocked = append(blocked, id)
				}
			}
			assert.DeepEqual(t, blocked, tt.blocked)
		})
	}
}

func TestBudgetHoldsInEachSlidingWindow(t *testing.T) {
	b := &dispatch.Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	const gateways = 5
	at := now
	var sent []time.Time
	for range 3000 {
		at = at.Add(10 * time.Millisecond)
		b.CountRequest(at)
		if b.Take(at, gateways, 1) {
			sent = append(sent, at)
		}
	}
	for i, from := range sent {
		n := 0
		for _, t := range sent[i:] {
			if t.Sub(from) < b.Window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= 0.2*1000+50.0/gateways, "%d sends in one window", n)
	}
	assert.Assert(t, len(sent) > 100)
}

// TestBudgetHoldsOverGatewayRestarts restarts gateways, which could send every request once
// more, one after the other: together they must keep the budget.
func TestBudgetHoldsOverGatewayRestarts(t *testing.T) {
	const gateways, slack = 3, 50.0
	newBudget := func(since time.Time) *dispatch.Budget {
		return &dispatch.Budget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second, Since: since}
	}
	var budgets [gateways]*dispatch.Budget
	for g := range budgets {
		budgets[g] = newBudget(now.Add(-time.Minute))
	}
	requests, sends := 0, 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		for g, b := range budgets {
			if at.Equal(now.Add(time.Duration(g+2) * 2 * time.Second)) {
				budgets[g] = newBudget(at)
				b = budgets[g]
			}
			if at.Sub(now)%(500*time.Millisecond) == 0 {
				b.CountRequest(at)
				requests++
			}
			for b.Take(at, gateways, 1) {
				sends++
			}
		}
	}
	assert.Assert(t, float64(sends) <= 0.2*float64(requests)+slack, "%d sends for %d requests", sends, requests)
	assert.Assert(t, sends > 30)
}

// TestGatewaysWithStaleLoadsSpreadRequests guards against gateways that all choose the least
// used engine, because the loads that they exchange are some tens of milliseconds old.
func TestGatewaysWithStaleLoadsSpreadRequests(t *testing.T) {
	prefill, decode := map[string]int{}, map[string]int{}
	for g := range 12 {
		f := dispatch.NewFleet(fmt.Sprint("g", g), "z0")
		var list []registry.Server
		others := map[string]dispatch.Load{}
		for i := range 40 {
			s := registry.Server{ID: fmt.Sprint("e", i), Service: "llm", Zone: "z0", Role: registry.Decode, State: registry.Ready, Address: fmt.Sprint(i, ":1"), Sequence: 1}
			if i < 12 {
				s.Role = registry.Prefill
			}
			list = append(list, s)
			others[s.ID] = dispatch.Load{Tokens: 1000 + i, Prefill: i}
		}
		f.Update(now, list)
		f.SetOthers(now, knownLoads(others))
		p, ok := f.ChoosePair(now, small, engine, nil)
		assert.Assert(t, ok)
		prefill[p.Prefill.ID]++
		decode[p.Decode.ID]++
	}
	for id, n := range decode {
		assert.Assert(t, n <= 4, "%d of 12 requests run at %s", n, id)
	}
	for id, n := range prefill {
		assert.Assert(t, n <= 6, "%d of 12 prompts are prefilled at %s", n, id)
	}
}

// BenchmarkPairWaiting chooses among 600 servers while requests wait at other gateways.
func BenchmarkPairWaiting(b *testing.B) {
	f := fleet(100, 200)
	f.Others.Queued = 50
	f.Others.Demand = []demand.Class{{Service: "llm", Waiting: 20}, {Service: "llm", Route: 1, Waiting: 30, Before: 5}}
	w := small
	w.Urgency.Route = 1
	b.ReportAllocs()
	for range b.N {
		if _, ok := f.ChoosePair(now, w, engine, nil); !ok {
			b.Fatal("no capacity")
		}
	}
}

func BenchmarkPair(b *testing.B) {
	for _, n := range []int{5, 27, 300} {
		b.Run(fmt.Sprint(2*n), func(b *testing.B) {
			f := fleet(n/3, n-n/3)
			b.ReportAllocs()
			for range b.N {
				if _, ok := f.ChoosePair(now, small, engine, nil); !ok {
					b.Fatal("no capacity")
				}
			}
		})
	}
}
