package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

func TestCachedTokens(t *testing.T) {
	prompt := []route.PromptPart{{ID: "a", Tokens: 200}, {ID: "b", Tokens: 300}, {ID: "c", Tokens: 500}}
	tests := []struct {
		name   string
		cached map[string]int
		want   int
	}{
		{"nothing", nil, 0},
		{"all", map[string]int{"a": 200, "b": 300, "c": 500}, 1000},
		{"more than the prompt", map[string]int{"a": 200, "b": 300, "c": 900, "d": 100}, 1000},
		{"a share of the last", map[string]int{"a": 200, "b": 300, "c": 496}, 996},
		{"the first is gone", map[string]int{"b": 300, "c": 500}, 0},
		{"the middle is incomplete", map[string]int{"a": 200, "b": 100, "c": 500}, 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, dispatch.CachedTokens(prompt, tt.cached), tt.want) })
	}
}

// TestCachedPromptsAreNotPrefilledAgain checks that a repeated request is placed where its
// prompt is cached, if that engine has capacity and no long queue.
func TestCachedPromptsAreNotPrefilledAgain(t *testing.T) {
	const queue = 50000 // tokens that a prefill engine prefills in a second
	tests := []struct {
		name   string
		cached map[string]int
		loads  map[string]dispatch.Load
		// prefiller is the engine that should prefill the rest; "p" for any prefill engine
		// without the prompt.
		prefiller string
	}{
		{"at a prefill engine", map[string]int{"p1-2": 1000}, nil, "p1-2"},
		{"at a decode engine", map[string]int{"d1-3": 1000}, nil, "d1-3"},
		{"except for one block", map[string]int{"d1-3": 990}, nil, "d1-3"},
		{"at both", map[string]int{"p0-1": 1000, "d1-3": 1000}, nil, "d1-3"},
		{"the shared part only", map[string]int{"d1-3": 200}, nil, "p"},
		{"at a full engine", map[string]int{"d1-3": 1000}, map[string]dispatch.Load{"d1-3": {Tokens: 12000, Runs: 4}}, "p"},
		{"behind a long queue", map[string]int{"p1-2": 1000}, map[string]dispatch.Load{"p1-2": {Prefill: queue}}, "p"},
		{"at an engine that is unknown", map[string]int{"x": 1000}, nil, "p"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(4, 4)
			f.SetOthers(now, knownLoads(tt.loads))
			w := small
			w.Cached = tt.cached
			p, ok := f.ChoosePair(now, w, engine, nil)
			assert.Assert(t, ok)
			if tt.prefiller != "p" {
				assert.Equal(t, p.PrefillServer().ID, tt.prefiller)
				return
			}
			assert.Assert(t, p.Prefill != nil)
			assert.Equal(t, tt.cached[p.Prefill.ID], 0)
		})
	}
}

// TestOnlyUncachedTokensAreReserved guards against a cached prompt that looks like a queue.
func TestOnlyUncachedTokensAreReserved(t *testing.T) {
	f := fleet(1, 1)
	w := small
	w.Cached = map[string]int{"p0-0": 600, "d0-0": 1000}
	f.StartPrefill("p0-0", w)
	f.StartPrefill("p1-0", w)
	f.StartPrefill("d0-0", w)
	assert.Equal(t, f.Get("p0-0").Own.Prefill, 400)
	assert.Equal(t, f.Get("p1-0").Own.Prefill, 1000)
	assert.Equal(t, f.Get("d0-0").Own.Prefill, 0)
	for _, id := range []string{"p0-0", "p1-0", "d0-0"} {
		f.EndPrefill(id, w)
		assert.Equal(t, f.Get(id).Own.Prefill, 0)
	}
}
