package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Constants of prefill.
const (
	// initialPrefillRate is the rate of a prefill engine, in prompt tokens a millisecond,
	// until a prefill has shown it. decodePrefillShare is the share of that rate at which a
	// decode engine prefills.
	initialPrefillRate = 50.0
	decodePrefillShare = 0.5
	// fasterWeight and slowerWeight are the weights of a prefill in the average rate. A fast
	// one shows what engines can do; a slow one may have shared its engine with others, or
	// the engine is slow.
	fasterWeight = 0.2
	slowerWeight = 0.03
	// decodePrefillCost is the additional cost in milliseconds of a prefill at a decode
	// engine: all runs there generate their tokens slower meanwhile, so it is meant for
	// queues that would make the request late.
	decodePrefillCost = 1000.0
	// handoverCost is the cost in milliseconds of handing over a KV cache: some round trips
	// and the copy.
	handoverCost = 20.0
	// slownessWeight is the weight of the newest prefill in the average slowness of an
	// engine. Over slownessDecay the average decays to a third, so that an engine that has
	// recovered is tried again.
	slownessWeight = 0.3
	slownessDecay  = 4 * time.Second
	maxSlowness    = 20.0
)

// Pair is the prefill engine and the decode engine of a request. Without a prefill engine the
// decode engine prefills the prompt itself, at half the rate.
type Pair struct {
	Prefill, Decode *Server
	// PrefillTime is the expected time until the prompt has been prefilled, QueuedTokens the
	// number of tokens to prefill until then, including its own.
	PrefillTime  time.Duration
	QueuedTokens int
	// Position is the place that the request had among those that waited at other gateways.
	Position Position
}

// PrefillServer returns the engine that prefills the prompt.
func (p Pair) PrefillServer() *Server {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Decode
}

// ChoosePair chooses a prefill and a decode engine together. It returns false if no decode
// engine has capacity, or if no engine would prefill the prompt in time.
func (f *Fleet) ChoosePair(now time.Time, w Work, e *route.Engine, avoid Avoid) (Pair, bool) {
	prefill := map[string]candidate{}
	decode := map[string]candidate{}
	var single candidate
	w = f.withHeadroom(w)
	f.searchCached(now, w, registry.Prefill, func(s *Server) bool {
		if !f.eligibleFor(now, s, w, avoid) {
			return false
		}
		keepBest(prefill, s, f.prefillCost(now, s, w)+f.tripCost(s.Zone, prefillTrips))
		return true
	})
	t := turn{position: f.Position(w)}
	f.searchCached(now, w, registry.Decode, func(s *Server) bool {
		if !f.eligibleFor(now, s, w, avoid) || !f.fits(s, w, e) || !f.mayUse(now, s, w, e, &t) {
			return false
		}
		cost := f.decodeCost(s, e)
		keepBest(decode, s, cost+f.streamCost(s))
		// A cached prompt saves more than the stream's round trips cost.
		cost += decodePrefillCost*w.uncachedShare(s.ID) + f.prefillCost(now, s, w)
		if single.server == nil || cost < single.cost {
			single = candidate{s, cost}
		}
		return true
	})
	out, cost := f.cheapestPair(prefill, decode)
	if single.server != nil && (out.Decode == nil || single.cost < cost && !single.server.hasPrefillQueue()) {
		out = Pair{Decode: single.server}
	}
	if out.Decode == nil {
		return Pair{}, false
	}
	out.Position = t.position
	out.PrefillTime = milliseconds(f.prefillTime(now, out.PrefillServer(), w))
	out.QueuedTokens = out.PrefillServer().queuedTokens(w)
	return out, w.MaxPrefillTime <= 0 || out.PrefillTime <= w.MaxPrefillTime
}

// cheapestPair chooses the prefill and the decode engine with the least total cost; among
// equals the first by zone, so that the same state always gives the same choice.
func (f *Fleet) cheapestPair(prefill, decode map[string]candidate) (Pair, float64) {
	var out Pair
	best := 0.0
	for _, pz := range slices.Sorted(maps.Keys(prefill)) {
		for _, dz := range slices.Sorted(maps.Keys(decode)) {
			p, d := prefill[pz], decode[dz]
			cost := handoverCost + p.cost + d.cost + f.transferCost(pz, dz)
			if out.Decode == nil || cost < best {
				best = cost
				out = Pair{Prefill: p.server, Decode: d.server}
			}
		}
	}
	return out, best
}

// hasPrefillQueue reports whether an engine has a prompt to prefill.
func (s *Server) hasPrefillQueue() bool { return s.Own.Prefill+s.Others.Prefill > 0 }

// prefillRate returns the rate of the prefill engines of a service, in prompt tokens a
// millisecond.
func (f *Fleet) prefillRate(service string) float64 {
	if rate := f.prefillRates[service]; rate > 0 {
		return rate
	}
	return initialPrefillRate
}

// PrefillRate returns the observed rate of the prefill engines of a service, in prompt tokens a
// millisecond; zero if no prefill has shown it.
func (f *Fleet) PrefillRate(service string) float64 { return f.prefillRates[service] }

// queuedTokens returns the number of tokens that an engine has to prefill until it has
// prefilled a prompt.
func (s *Server) queuedTokens(w Work) int {
	return s.Own.Prefill + s.Others.Prefill + w.uncachedTokens(s.ID)
}

// prefillTime returns the expected time in milliseconds until an engine has prefilled a
// prompt behind those that wait there.
func (f *Fleet) prefillTime(now time.Time, s *Server, w Work) float64 {
	rate := f.prefillRate(s.Service)
	if s.Role == registry.Decode {
		rate *= decodePrefillShare
	}
	return float64(s.queuedTokens(w)) / rate * s.health.slowness(now)
}

func (f *Fleet) prefillCost(now time.Time, s *Server, w Work) float64 {
	cost := f.prefillTime(now, s, w) + 100*s.health.failing
	return cost + f.reprefillCost(s, w)
}

// minPrefillTime returns the shortest time in which a prompt would be prefilled; zero if no
// engine is eligible.
func (f *Fleet) minPrefillTime(now time.Time, w Work) time.Duration {
	shortest := math.Inf(1)
	f.visit(f.group(now, w.Service, registry.Prefill), maxChoices, func(s *Server) {
		if f.eligibleFor(now, s, w, nil) {
			shortest = min(shortest, f.prefillTime(now, s, w))
		}
	})
	if math.IsInf(shortest, 1) {
		return 0
	}
	return milliseconds(shortest)
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// NotePrefill records how long a prefill engine took for a number of tokens.
func (f *Fleet) NotePrefill(now time.Time, id string, took time.Duration, tokens int) {
	s := f.servers[id]
	if s == nil || took <= 0 || tokens <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	newest, rate := float64(tokens)/ms, f.prefillRate(s.Service)
	weight := slowerWeight
	if newest > rate {
		weight = fasterWeight
	}
	f.prefillRates[s.Service] = rate + weight*(newest-rate)
	h := &s.health
	ratio := min(max(rate/newest, 1), maxSlowness)
	h.slowFactor = h.slowness(now) + slownessWeight*(ratio-h.slowness(now))
	h.slowAt = now
}

// slowness returns the factor by which an engine takes longer than expected for a prefill.
func (h *health) slowness(now time.Time) float64 {
	if h.slowFactor <= 1 {
		return 1
	}
	return 1 + (h.slowFactor-1)*math.Exp(-float64(now.Sub(h.slowAt))/float64(slownessDecay))
}

// StartPrefill reserves a prompt at the engine that prefills it.
func (f *Fleet) StartPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill += w.uncachedTokens(id)
	}
}

// EndPrefill releases what StartPrefill has reserved.
func (f *Fleet) EndPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill -= w.uncachedTokens(id)
	}
}
