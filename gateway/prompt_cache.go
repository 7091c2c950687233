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

// Times of listing the prompts cached by engines.
const (
	// cacheListTimeout bounds how long an engine may take to list its cached prompts: about the
	// time of the prefill that the list saves.
	cacheListTimeout = 60 * time.Millisecond
	// cacheListTTL is how long the lists are used: repeated requests come in bursts after an
	// outage, and a list delays an engine's work.
	cacheListTTL = time.Second
)

// cachedPrompts holds the prompts that the engines of one service keep cached.
type cachedPrompts struct {
	// mu is held while engines are queried, so that requests repeated at the same time query them
	// once.
	mu       sync.Mutex
	listedAt time.Time
	// tokens is the number of cached tokens of each prompt part, by engine and ID of the part.
	tokens map[string]map[string]int
}

// cachedPromptsOf returns what is known about the prompts cached by a service's engines.
func (g *Gateway) cachedPromptsOf(service string) *cachedPrompts {
	g.cachedMu.Lock()
	defer g.cachedMu.Unlock()
	c := g.cached[service]
	if c == nil {
		c = &cachedPrompts{}
		g.cached[service] = c
	}
	return c
}

// findCached returns how many tokens of a request's prompt are cached, by engine.
func (g *Gateway) findCached(q *request) map[string]int {
	if g.cfg.Protocol.ListCachedParts == nil || len(q.parts) == 0 {
		return nil
	}
	c := g.cachedPromptsOf(q.service.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.clock.Since(c.listedAt) >= cacheListTTL {
		c.tokens = g.listCached(q)
		c.listedAt = g.clock.Now()
	}
	out := map[string]int{}
	for id, cached := range c.tokens {
		if tokens := dispatch.CachedTokens(q.parts, cached); tokens > 0 {
			out[id] = tokens
		}
	}
	return out
}

// listCached queries all engines of a request's service at once. Other requests use the result too,
// so it continues if the request's own caller disconnects.
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
				event.CachedPromptsUnknown.Log(g.log, "server", s.StableName(), "error", err)
			}
			mu.Lock()
			defer mu.Unlock()
			out[s.ID] = cached
		})
	}
	wg.Wait()
	return out
}

// maxCachedPartsBytes bounds the list of the prompt parts that an engine has cached.
const maxCachedPartsBytes = 256 << 10

// listCachedAt queries one engine for the number of tokens that it has cached of each prompt part.
// If it returns an error, it also returns the parts that could be parsed.
func (g *Gateway) listCachedAt(ctx context.Context, q *request, s *dispatch.Server) (map[string]int, error) {
	p := &g.cfg.Protocol
	res, body := g.exchangeUpTo(ctx, q, s, g.callTo(q, s, p.ListCachedParts()), maxCachedPartsBytes)
	if res.err != nil {
		return nil, fmt.Errorf("gateway: list of cached prompts: %w", res.err)
	}
	if res.kind != answered || res.status != http.StatusOK {
		return nil, fmt.Errorf("gateway: list of cached prompts: %s, status %d", res.kind, res.status)
	}
	list, err := p.ParseCachedParts(body)
	out := make(map[string]int, len(list))
	for _, part := range list {
		out[part.ID] = part.Tokens
	}
	return out, err
}
