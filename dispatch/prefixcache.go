package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// An engine keeps the KV cache of a prompt for a while after it was read, and a decode
// engine that of the runs that it made, until others need the memory. A request that
// comes again, since its answer broke off or its gateway was lost, is placed where
// that saves the read.

// Constants of kept prompts.
const (
	// lightRead is the number of tokens below which the rest of a kept prompt counts
	// as no read: a decode engine reads them between two tokens of its runs, in one
	// piece, and engines read in pieces of 1,024 and more, there a quarter as large.
	negligiblePrefill = 256
	// againWeight is how many times the time of a read counts besides, if some engine
	// keeps the prompt: what is read again takes an engine's time from others. Of 1 and
	// 3 that were tried, 3 had less read again.
	reprefillWeight = 3.0
)

// KeptTokens returns the tokens at the begin of a prompt that an engine keeps, by what
// it keeps of each part. A part is of use only if all parts before it are kept whole.
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

// unread is the tokens of the prompt that an engine would have to read.
func (w Work) uncachedTokens(engine string) int {
	cached := w.Cached[engine]
	if cached > 0 && w.Prompt-cached < negligiblePrefill {
		return 0
	}
	return max(w.Prompt-cached, 0)
}

// unreadPart is the part of the prompt that an engine would have to read.
func (w Work) uncachedShare(engine string) float64 {
	if w.Prompt <= 0 {
		return 1 // its length is not known
	}
	return float64(w.uncachedTokens(engine)) / float64(w.Prompt)
}

// againCost is the time in milliseconds that a read at an engine counts as beyond its
// own, if the prompt has been read before.
func (f *Fleet) reprefillCost(s *Server, w Work) float64 {
	if len(w.Cached) == 0 {
		return 0
	}
	return reprefillWeight * float64(w.uncachedTokens(s.ID)) / f.prefillRate(s.Service)
}

// searchKept is search for a prompt: engines that keep a part of it are looked at
// besides.
func (f *Fleet) searchCached(now time.Time, w Work, role string, fits func(s *Server) bool) {
	for id := range w.Cached {
		if s := f.servers[id]; s != nil && s.Role == role {
			fits(s)
		}
	}
	f.search(now, w.Service, role, fits)
}

// Usable returns the servers of a service that may get new work.
func (f *Fleet) EligibleServers(now time.Time, service string) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.Service == service && f.eligible(now, s, nil) {
			out = append(out, s)
		}
	}
	return out
}
