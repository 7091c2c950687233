package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
)

// workHeadersWithParts describes a prompt of 1,000 tokens in two parts.
var workHeadersWithParts = map[string]string{
	protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "5", protocol.Headers.PromptParts: "shared:200,own:800",
}

// withHeader returns a copy of header fields with one more.
func withHeader(fields map[string]string, name, value string) map[string]string {
	out := map[string]string{name: value}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// newCacheHarness returns a harness with two engines of each role.
func newCacheHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.gateway.cacheListTimeout = 10 * time.Second // so that no list is late on a busy machine
	for _, id := range []string{"p1", "p2"} {
		h.add("llm", id, "prefill")
	}
	for _, id := range []string{"d1", "d2"} {
		h.add("llm", id, "decode")
	}
	return h
}

// prefillCounts returns the number of prompts sent to prefill engines, and the tokens that all
// engines have prefilled.
func (h *harness) prefillCounts() (prompts, tokens int) {
	for _, b := range h.servers {
		tokens += b.PrefilledTokens()
		for _, a := range b.Arrivals() {
			if a.Header.Get(protocol.Headers.Role) != "" {
				prompts++
			}
		}
	}
	return prompts, tokens
}

// assertOnePrefill checks that one prompt has been prefilled, once.
func (h *harness) assertOnePrefill() {
	h.t.Helper()
	prompts, tokens := h.prefillCounts()
	assert.Equal(h.t, prompts, 1)
	assert.Equal(h.t, tokens, 1000)
}

// streamAfter returns the stream after an event.
func streamAfter(after int) string {
	return completeStream()[strings.Index(completeStream(), fmt.Sprintf("id: %d\n", after+1)):]
}

// TestResumedRequestUsesCachedPrompt has callers retry that have lost their gateway: a gateway that
// has never seen them finds the engines that have their prompts cached.
func TestResumedRequestUsesCachedPrompt(t *testing.T) {
	h := newCacheHarness(t)
	got := h.send("POST", "/desk/1", "q1", "x", workHeadersWithParts)
	assert.Equal(t, got.body, completeStream())
	h.assertOnePrefill()
	for i := range 4 {
		got = h.send("POST", "/desk/1", fmt.Sprint("again", i), "x", withHeader(workHeadersWithParts, protocol.Headers.LastEventID, "2"))
		assert.Equal(t, got.body, streamAfter(2))
	}
	h.assertOnePrefill()
}

// TestPromptIsPrefilledAgainIfNotCached has the engines drop their cached prompts, or not list them: a
// caller that retries is served nevertheless.
func TestPromptIsPrefilledAgainIfNotCached(t *testing.T) {
	tests := []struct {
		name    string
		uncache func(h *harness)
	}{
		{"dropped prompts", func(h *harness) {
			for _, b := range h.servers {
				b.DropKeptPrompts()
			}
		}},
		{"a protocol without lists", func(h *harness) { h.gateway.cfg.Protocol.ListCachedParts = nil }},
		{"lists that can't be parsed", func(h *harness) {
			h.gateway.cfg.Protocol.ParseCachedParts = func([]byte) ([]route.PromptPart, error) { return nil, io.ErrUnexpectedEOF }
		}},
		{"engines that do not answer", func(h *harness) {
			const silent = "/review/silent"
			h.gateway.cacheListTimeout = cacheListTimeout
			h.gateway.cfg.Protocol.ListCachedParts = func() backend.Call { return backend.Call{Method: http.MethodGet, Path: silent} }
			for _, b := range h.servers {
				b.SetFault(func(r *http.Request) standin.Fault {
					if r.URL.Path == silent {
						return standin.Hang
					}
					return standin.NoFault
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCacheHarness(t)
			assert.Equal(t, h.send("POST", "/desk/1", "q1", "x", workHeadersWithParts).body, completeStream())
			tt.uncache(h)
			got := h.send("POST", "/desk/1", "again", "x", withHeader(workHeadersWithParts, protocol.Headers.LastEventID, "2"))
			assert.Equal(t, got.body, streamAfter(2))
		})
	}
}

// TestInterruptedStreamPrefillsPromptOnce interrupts a stream that may be resumed: it continues, and
// its prompt is not prefilled a second time, although the engine that prefilled it seems slow.
func TestInterruptedStreamPrefillsPromptOnce(t *testing.T) {
	h := newCacheHarness(t)
	cut := faultOnce(standin.CutStream, isDecode)
	for _, id := range []string{"d1", "d2"} {
		h.servers[id].SetFault(func(req *http.Request) standin.Fault {
			for _, p := range []string{"p1", "p2"} {
				if h.servers[p].PrefilledTokens() > 0 {
					h.gateway.fleet.notePrefill(p, 10*time.Second, 1000)
				}
			}
			return cut(req)
		})
	}
	got := h.send("POST", "/desk/1", "q1", "x", workHeadersWithParts)
	assert.Equal(t, got.body, completeStream())
	_, tokens := h.prefillCounts()
	assert.Equal(t, tokens, 1000)
}

// TestCacheListOutlivesItsCaller checks that requests that arrive together get the list of cached
// prompts, although the caller of the request that fetched it disconnects meanwhile.
func TestCacheListOutlivesItsCaller(t *testing.T) {
	h := newCacheHarness(t)
	assert.Equal(t, h.send("POST", "/desk/1", "q1", "x", workHeadersWithParts).body, completeStream())
	requested, proceed := make(chan struct{}), make(chan struct{})
	list := h.gateway.cfg.Protocol.ListCachedParts
	var once sync.Once
	h.gateway.cfg.Protocol.ListCachedParts = func() backend.Call {
		once.Do(func() {
			close(requested)
			<-proceed
		})
		return list()
	}
	resumed := withHeader(workHeadersWithParts, protocol.Headers.LastEventID, "2")
	ctx, cancel := context.WithCancel(t.Context())
	disconnected := make(chan reply, 1)
	go func() { disconnected <- h.sendWith(ctx, "POST", "/desk/1", "leaves", "x", resumed) }()
	<-requested
	cancel()
	<-disconnected
	close(proceed)
	assert.Equal(t, h.send("POST", "/desk/1", "stays", "x", resumed).body, streamAfter(2))
	h.assertOnePrefill()
}

// TestFailedCacheListReturnsCause checks that the error of a list that could not be fetched wraps
// its cause.
func TestFailedCacheListReturnsCause(t *testing.T) {
	h := newCacheHarness(t)
	q := &request{id: "q1", service: h.gateway.table.Load().Service("llm")}
	engines := h.gateway.fleet.eligibleNearby("llm")
	for _, b := range h.servers {
		b.Kill()
	}
	for _, s := range engines {
		_, err := h.gateway.listCachedAt(t.Context(), q, &s)
		var cause *backend.Error
		assert.Assert(t, errors.As(err, &cause), "%v", err)
	}
}
