package order_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/order"
)

func fence(term, seq uint64) order.Fence { return order.Fence{Term: term, Seq: seq} }

func TestGate(t *testing.T) {
	var g order.Gate
	assert.Assert(t, !g.Allow(fence(9, 9)), "a gate without a fence allows nothing")
	g.SetFloor(fence(5, 0))
	assert.Assert(t, g.Allow(fence(5, 1)))
	assert.Assert(t, !g.Allow(fence(5, 1)), "the same order again")
	assert.Assert(t, !g.Allow(fence(4, 99)), "a stale leader")
	g.SetFloor(fence(4, 0))
	assert.Assert(t, !g.Allow(fence(4, 100)), "a stale floor changes nothing")
	assert.Assert(t, g.Allow(fence(6, 1)))
	assert.Assert(t, !g.Allow(fence(5, 2)))
}

// TestGateRejectsOrdersOfEarlierTerms sends floors and orders of leaders of several terms
// in any order, with restarts of the agent in between. Once an agent has seen a fence
// since its start, no older order is allowed.
func TestGateRejectsOrdersOfEarlierTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g order.Gate
		var high order.Fence
		known := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			f := fence(rapid.Uint64Range(1, 4).Draw(t, "term"), rapid.Uint64Range(0, 5).Draw(t, "seq"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				g, high, known = order.Gate{}, order.Fence{}, false
			case 1:
				g.SetFloor(f)
				known = true
				if high.Less(f) {
					high = f
				}
			default:
				if !g.Allow(f) {
					continue
				}
				if !known || f.Less(high) {
					t.Fatalf("%v allowed; fence known %t, highest %v", f, known, high)
				}
				high = f
			}
		}
	})
}

var start = time.Unix(1000, 0)

func server(name string, want, has []string) order.Server {
	return order.Server{Name: name, Site: "s", Pool: "p", Want: want, Has: has, Reachable: true}
}

func actions(list []order.Order) []string {
	out := []string{}
	for _, o := range list {
		out = append(out, o.Server+" "+o.Do.Action+" "+o.Do.Model)
	}
	return out
}

var (
	models = map[string]order.Model{
		"m": {Version: "2", WeightBytes: 10e9}, "n": {Version: "1", WeightBytes: 10e9}, "a": {Version: "1", Adapters: []string{"x"}},
	}
	limits = order.StoreRates{"s": 1e9}
	m, n   = []string{"m"}, []string{"n"}
	m1, m2 = []string{"m@1"}, []string{"m@2"}
)

func TestPlan(t *testing.T) {
	leaving := server("a", m, nil)
	leaving.Leaving = true
	down := server("a", m, nil)
	down.Reachable = false
	role := func(name, want, has string) order.Server {
		s := server(name, nil, nil)
		s.Pool, s.Role, s.CurrentRole = want, want, has
		return s
	}
	for _, c := range []struct {
		name    string
		servers []order.Server
		want    []string
	}{
		{"nothing to do", []order.Server{server("a", m, m2)}, []string{}},
		{"load a missing model", []order.Server{server("a", m, nil)}, []string{"a load_model m"}},
		{"one load per site at a time", []order.Server{server("a", m, nil), server("b", m, nil)}, []string{"a load_model m"}},
		{"no orders for leaving servers", []order.Server{leaving}, []string{}},
		{"no orders for unreachable servers", []order.Server{down}, []string{}},
		{"load before unload", []order.Server{server("a", n, m2)}, []string{"a load_model n"}},
		{"unload a model that no server wants", []order.Server{server("a", n, []string{"m@2", "n@1"})}, []string{"a unload_model m"}},
		{"keep the last copy", []order.Server{server("a", n, []string{"m@2", "n@1"}), server("b", m, nil)}, []string{"b load_model m"}},
		{"unload when another server has it", []order.Server{server("a", n, []string{"m@2", "n@1"}), server("b", m, m2)}, []string{"a unload_model m"}},
		{"a new version, one server after the other", []order.Server{server("a", m, m1), server("b", m, m1)}, []string{"a load_model m"}},
		{"no upgrade of the last copy", []order.Server{server("a", m, m1), server("b", m, nil)}, []string{"b load_model m"}},
		{"upgrade of the only server", []order.Server{server("a", m, m1)}, []string{"a load_model m"}},
		{"an adapter", []order.Server{server("a", []string{"a"}, []string{"a@1"})}, []string{"a load_adapter a"}},
		{"an adapter that is loaded", []order.Server{server("a", []string{"a"}, []string{"a@1", "a@1/x"})}, []string{}},
		{"a role", []order.Server{role("a", "decode", "prefill"), role("b", "prefill", "prefill")}, []string{"a change_role "}},
		{"keep the last server of a role", []order.Server{role("a", "decode", "prefill"), role("b", "prefill", "decode")}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p order.Planner
			got := p.Plan(start, 3, c.servers, models, limits)
			assert.DeepEqual(t, actions(got), c.want)
		})
	}
}

// TestPoolKeepsModelDuringUpgrade moves a pool of three servers to a new version and then
// all but one server to another model, and checks that at least one server has the model
// at every step. During a load, a server has neither version.
func TestPoolKeepsModelDuringUpgrade(t *testing.T) {
	var p order.Planner
	now := start
	has := map[string]map[string]string{}
	for i := range 3 {
		has[fmt.Sprint("s", i)] = map[string]string{"m": "1"}
	}
	last := order.Fence{}
	var loading []order.Order // loads that complete at this step
	for step := range 40 {
		for _, o := range loading {
			has[o.Server][o.Do.Model] = o.Do.Version
			p.Complete(order.Result{ID: o.ID, OK: true})
		}
		loading = nil
		var servers []order.Server
		for name, got := range has {
			want := m
			if name != "s0" && step >= 20 {
				want = n
			}
			s := server(name, want, nil)
			for model, version := range got {
				s.Has = append(s.Has, engine.Asset(model, version, ""))
			}
			servers = append(servers, s)
		}
		for _, o := range p.Plan(now, 2, servers, models, limits) {
			assert.Assert(t, last.Less(o.Fence))
			last = o.Fence
			delete(has[o.Server], o.Do.Model)
			if o.Do.Action == engine.ActionLoad {
				loading = append(loading, o)
			} else {
				p.Complete(order.Result{ID: o.ID, OK: true})
			}
		}
		count := 0
		for _, got := range has {
			if got["m"] != "" {
				count++
			}
		}
		assert.Assert(t, count > 0, "step %d: no server has m", step)
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, has, map[string]map[string]string{"s0": {"m": "2"}, "s1": {"n": "1"}, "s2": {"n": "1"}})
}
