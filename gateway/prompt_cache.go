package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
)

// Times of asking engines for the prompts that they keep.
const (
	// keptTimeout is how long an engine may take to tell: about the time of a read,
	// which is what the answer saves.
	cacheListTimeout = 60 * time.Millisecond
	// keptFor is how long what engines have told is used: requests that come again
	// come together, after an outage, and a list holds up an engine's work.
	cacheListTTL = time.Second
)

// keptPrompts is what the engines of one service keep.
type cachedPrompts struct {
	// mu is held while engines are asked, so that requests that come again together
	// ask once.
	mu       sync.Mutex
	listedAt time.Time
	// tokens are those of each part, by engine and the part's ID.
	tokens map[string]map[string]int
}

// keptOf returns what is known of the prompts that a service's engines keep.
func (g *Gateway) cachedPromptsOf(service string) *cachedPrompts {
	g.cachedMu.Lock()
	defer g.cachedMu.Unlock()
	k := g.cached[service]
	if k == nil {
		k = &cachedPrompts{}
		g.cached[service] = k
	}
	return k
}

// findKept returns how many tokens of a request's prompt engines keep, by engine.
func (g *Gateway) findCached(q *request) map[string]int {
	if g.cfg.Protocol.ListKept == nil || len(q.parts) == 0 {
		return nil
	}
	k := g.cachedPromptsOf(q.service.Name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if g.clock.Since(k.listedAt) >= cacheListTTL {
		k.tokens = g.listCached(q)
		k.listedAt = g.clock.Now()
	}
	out := map[string]int{}
	for id, cached := range k.tokens {
		if tokens := dispatch.CachedTokens(q.parts, cached); tokens > 0 {
			out[id] = tokens
		}
	}
	return out
}

// askKept asks all engines of a request's service at once. Others use what they say, so
// it goes on if the request's own caller leaves.
func (g *Gateway) listCached(q *request) map[string]map[string]int {
	ctx, cancel := context.WithTimeout(g.ctx, g.cacheListTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]map[string]int{}
	for _, s := range g.fleet.eligibleNearby(q.service.Name) {
		wg.Go(func() {
			cached, err := g.listCachedAt(ctx, q, &s)
			if err != nil {
				event.KeptUnknown.Log(g.log, "server", s.StableName(), "error", err)
			}
			mu.Lock()
			defer mu.Unlock()
			out[s.ID] = cached
		})
	}
	wg.Wait()
	return out
}

// askKeptAt asks one engine for the tokens of each part that it keeps. With an error come
// those parts that could be read.
func (g *Gateway) listCachedAt(ctx context.Context, q *request, s *dispatch.Server) (map[string]int, error) {
	p := &g.cfg.Protocol
	res, body := g.exchange(ctx, q, s, g.callTo(q, s, p.ListKept()))
	if res.err != nil {
		return nil, fmt.Errorf("gateway: list of kept prompts: %w", res.err)
	}
	if res.kind != answered || res.status != http.StatusOK {
		return nil, fmt.Errorf("gateway: list of kept prompts: %s, status %d", res.kind, res.status)
	}
	list, err := p.ParseKept(body)
	out := make(map[string]int, len(list))
	for _, part := range list {
		out[part.ID] = part.Tokens
	}
	return out, err
}
