// Package enginetest holds the contract that a model engine must fulfil for ledgepin to use
// it.
package enginetest

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/engine"
)

// Pair is the pair of engines under test: two of one kind that serve the same model.
type Pair struct {
	Prefill, Decode engine.Engine
	Model           string
}

const (
	tokens  = 12
	timeout = 10 * time.Second
)

// Contract runs the contract against a pair of engines.
func Contract(t *testing.T, p Pair) {
	for _, c := range []struct {
		name string
		run  func(*testing.T, context.Context, Pair)
	}{
		{"export, import and decode", exportAndDecode},
		{"resume at an index", resume},
		{"continue on another engine", continueElsewhere},
		{"cancel a prefill", cancelPrefill},
		{"cancel a decode", cancelDecode},
		{"cancel what it never ran", cancelUnknown},
		{"import of a dropped cache", importDropped},
		{"prefixes are cached and reported", prefixCache},
		{"load and orders", loadAndOrders},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			c.run(t, ctx, p)
		})
	}
}

func request(p Pair, id string) engine.Request {
	return engine.Request{ID: id, Model: p.Model, Prompt: "Is a seat free?", Sampling: engine.Sampling{MaxTokens: tokens}}
}

// readStream reads a stream to its end and checks that the indices are consecutive.
func readStream(t *testing.T, s engine.Stream, from int) string {
	t.Helper()
	defer s.Close()
	var text strings.Builder
	for next := from; ; next++ {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String()
		}
		assert.NilError(t, err)
		assert.Equal(t, c.Index, next)
		if c.Finish != "" {
			assert.Equal(t, c.Index, tokens)
		}
		text.WriteString(c.Text)
	}
}

// answer runs a request through both engines.
func answer(t *testing.T, ctx context.Context, p Pair, id string) string {
	t.Helper()
	r := request(p, id)
	pre, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	assert.Assert(t, pre.KV.Bytes > 0 && pre.KV.Tokens > 0 && pre.KV.TTL > 0)
	s, err := p.Decode.Decode(ctx, r, pre.KV, 0)
	assert.NilError(t, err)
	text := readStream(t, s, 0)
	assert.NilError(t, p.Prefill.Cancel(ctx, id))
	return text
}

// checkIdle checks that neither engine holds a request.
func checkIdle(t *testing.T, ctx context.Context, p Pair) {
	t.Helper()
	for _, e := range []engine.Engine{p.Prefill, p.Decode} {
		ids, err := e.Running(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(ids), 0, "%v", ids)
	}
}

func exportAndDecode(t *testing.T, ctx context.Context, p Pair) {
	assert.Assert(t, answer(t, ctx, p, "whole.1") != "")
	checkIdle(t, ctx, p)
}

func resume(t *testing.T, ctx context.Context, p Pair) {
	want := answer(t, ctx, p, "resume.1")
	r := request(p, "resume.2")
	pre, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	s, err := p.Decode.Decode(ctx, r, pre.KV, 0)
	assert.NilError(t, err)
	first, err := s.Next()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	s, err = p.Decode.Resume(ctx, r.ID, 1)
	assert.NilError(t, err, "closing the stream ended the request")
	assert.Equal(t, first.Text+readStream(t, s, 1), want)
	assert.NilError(t, p.Prefill.Cancel(ctx, r.ID))
	checkIdle(t, ctx, p)
}

func continueElsewhere(t *testing.T, ctx context.Context, p Pair) {
	want := answer(t, ctx, p, "on.1")
	half := strings.Join(strings.SplitAfter(want, " ")[:tokens/2], "")
	r := request(p, "on.2")
	r.Sofar, r.SofarTokens = half, tokens/2
	pre, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	s, err := p.Decode.Decode(ctx, r, pre.KV, tokens/2)
	assert.NilError(t, err)
	assert.Equal(t, half+readStream(t, s, tokens/2), want)
	assert.NilError(t, p.Prefill.Cancel(ctx, r.ID))
	checkIdle(t, ctx, p)
}

func cancelPrefill(t *testing.T, ctx context.Context, p Pair) {
	r := request(p, "cp.1")
	_, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	ids, err := p.Prefill.Running(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, []string{r.ID})
	assert.NilError(t, p.Prefill.Cancel(ctx, r.ID))
	checkIdle(t, ctx, p)
}

func cancelDecode(t *testing.T, ctx context.Context, p Pair) {
	r := request(p, "cd.1")
	pre, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	s, err := p.Decode.Decode(ctx, r, pre.KV, 0)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	assert.NilError(t, p.Decode.Cancel(ctx, r.ID))
	assert.NilError(t, p.Prefill.Cancel(ctx, r.ID))
	checkIdle(t, ctx, p)
	assert.NilError(t, s.Close())
}

func cancelUnknown(t *testing.T, ctx context.Context, p Pair) {
	assert.NilError(t, p.Decode.Cancel(ctx, "never.1"))
}

func importDropped(t *testing.T, ctx context.Context, p Pair) {
	r := request(p, "dr.1")
	pre, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	assert.NilError(t, p.Prefill.Cancel(ctx, r.ID))
	_, err = p.Decode.Decode(ctx, r, pre.KV, 0)
	assert.Assert(t, err != nil)
	checkIdle(t, ctx, p)
}

func prefixCache(t *testing.T, ctx context.Context, p Pair) {
	r := request(p, "ca.1")
	r.Prompt = strings.Repeat("lic-broker: checkout denied; ", 200)
	first, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	r.ID = "ca.2"
	second, err := p.Prefill.Prefill(ctx, r)
	assert.NilError(t, err)
	assert.Assert(t, second.Cached > first.Cached)
	events, err := p.Prefill.CacheEvents(ctx, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(events) > 0)
	more, err := p.Prefill.CacheEvents(ctx, events[len(events)-1].Seq)
	assert.NilError(t, err)
	assert.Equal(t, len(more), 0)
	assert.NilError(t, p.Prefill.Cancel(ctx, "ca.1"))
	assert.NilError(t, p.Prefill.Cancel(ctx, "ca.2"))
}

func loadAndOrders(t *testing.T, ctx context.Context, p Pair) {
	order := func(o engine.Order) engine.Load {
		assert.NilError(t, p.Decode.Order(ctx, o))
		load, err := p.Decode.Load(ctx)
		assert.NilError(t, err)
		return load
	}
	load := order(engine.Order{Action: engine.ActionLoad, Model: "second", Version: "7"})
	assert.Equal(t, len(load.Models), 2)
	assert.Assert(t, slices.Contains(load.Assets, "second@7"))
	load = order(engine.Order{Action: engine.ActionLoad, Model: "second", Version: "8"})
	assert.Assert(t, slices.Contains(load.Assets, "second@8") && !slices.Contains(load.Assets, "second@7"))
	load = order(engine.Order{Action: engine.ActionAdapter, Model: "second", Adapter: "a"})
	assert.Assert(t, slices.Contains(load.Assets, "second@8/a"))
	assert.Equal(t, order(engine.Order{Action: engine.ActionRole, Role: "prefill"}).Role, "prefill")
	load = order(engine.Order{Action: engine.ActionUnload, Model: "second"})
	assert.Equal(t, len(load.Models), 1)
}
