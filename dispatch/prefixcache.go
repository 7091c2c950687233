package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// An engine keeps the KV cache of a prompt for a while after its prefill, and a decode engine
// that of its runs, until others need the memory. A request that is sent again, because its
// answer broke off or its gateway was lost, is placed where the cache saves the prefill.

// Constants of cached prompts.
const (
	// negligiblePrefill is the number of tokens below which the rest of a cached prompt
	// counts as no prefill: a decode engine prefills them in one chunk between two tokens of
	// its runs. Engines prefill in chunks of 1,024 tokens or more, decode engines in chunks a
	// quarter as large.
	negligiblePrefill = 256
	// reprefillWeight is the additional weight of the prefill time if some engine has the
	// prompt cached: a repeated prefill also takes an engine's time from other requests.
	reprefillWeight = 3.0
)

// CachedTokens returns the number of tokens at the beginning of a prompt that an engine has
// cached, by the cached tokens of each part. A part is of use only if all parts before it are
// cached completely.
func CachedTokens(prompt []route.PromptPart, cached map[string]int) int {
	sum := 0
	for _, part := range prompt {
		tokens := min(cached[part.ID], part.Tokens)
		sum += tokens
		if tokens < part.Tokens {
			break
		}
	}
	return sum
}

// uncachedTokens returns the number of tokens of the prompt that an engine would have to
// prefill.
func (w Work) uncachedTokens(engine string) int {
	cached := w.Cached[engine]
	if cached > 0 && w.Prompt-cached < negligiblePrefill {
		return 0
	}
	return max(w.Prompt-cached, 0)
}

// uncachedShare returns the share of the prompt that an engine would have to prefill.
func (w Work) uncachedShare(engine string) float64 {
	if w.Prompt <= 0 {
		return 1 // the length is not known
	}
	return float64(w.uncachedTokens(engine)) / float64(w.Prompt)
}

// reprefillCost returns the additional cost in milliseconds of a prefill at an engine if the
// prompt was prefilled before.
func (f *Fleet) reprefillCost(s *Server, w Work) float64 {
	if len(w.Cached) == 0 {
		return 0
	}
	return reprefillWeight * float64(w.uncachedTokens(s.ID)) / f.prefillRate(s.Service)
}

// searchCached is like search, and also looks at the engines that have the beginning of the
// prompt cached.
func (f *Fleet) searchCached(now time.Time, w Work, role string, fits func(s *Server) bool) {
	for id := range w.Cached {
		if s := f.servers[id]; s != nil && s.Role == role {
			fits(s)
		}
	}
	f.search(now, w.Service, role, fits)
}

// EligibleServers returns the servers of a service that may get new work.
func (f *Fleet) EligibleServers(now time.Time, service string) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.Service == service && f.eligible(now, s, nil) {
			out = append(out, s)
		}
	}
	return out
}
