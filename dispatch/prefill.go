package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Constants of reading prompts.
const (
	// firstReadRate is the number of prompt tokens that a prefill engine is taken to
	// read in a millisecond until reads have shown it. selfPart is the part of that
	// pace at which a decode engine reads.
	initialPrefillRate = 50.0
	decodePrefillShare = 0.5
	// rateUp and rateDown are the weights of a read in the pace: one that was faster
	// shows what engines can do, one that was slower may have met others, or a slow
	// engine.
	fasterWeight = 0.2
	slowerWeight = 0.03
	// aloneCost is the time in milliseconds that a read at a decode engine counts
	// as beyond its own: all runs there make their tokens slower meanwhile, so it
	// is for queues that would make the request late.
	decodePrefillCost = 1000.0
	// handoverCost is the time in milliseconds that handing a KV cache over counts as:
	// some round trips and the copy.
	handoverCost = 20.0
	// slowWeight is the weight of the newest read in the average of how much
	// slower than expected an engine reads; slowLife is the time after which a
	// third of that is left, so that an engine that recovers is found.
	slownessWeight = 0.3
	slownessDecay  = 4 * time.Second
	maxSlowness    = 20.0
)

// Pair is where a request is read and where its answer is made. Without a
// prefill engine the decode engine reads the prompt itself, at half the pace.
type Pair struct {
	Prefill, Decode *Server
	// Wait is the expected time until the prompt has been read, Ahead the tokens that
	// are to be read until then, its own included.
	PrefillTime  time.Duration
	QueuedTokens int
}

// Reader is the engine that reads the prompt.
func (p Pair) PrefillServer() *Server {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Decode
}

// Pair chooses a prefill and a decode engine together. It returns false if no
// decode engine has room, or if none would have read the prompt in time.
func (f *Fleet) ChoosePair(now time.Time, w Work, e *route.Engine, avoid Avoid) (Pair, bool) {
	prefill := map[string]candidate{}
	decode := map[string]candidate{}
	var single candidate
	f.searchCached(now, w, registry.Prefill, func(s *Server) bool {
		if !f.eligibleFor(now, s, w, avoid) {
			return false
		}
		keepBest(prefill, s, f.prefillCost(now, s, w)+f.tripCost(s.Zone, prefillTrips))
		return true
	})
	f.searchCached(now, w, registry.Decode, func(s *Server) bool {
		if !f.eligibleFor(now, s, w, avoid) || !f.fits(s, w, e) || !f.winsDraw(now, s, w, e) {
			return false
		}
		cost := f.decodeCost(s, e)
		keepBest(decode, s, cost+f.streamCost(s))
		// A prompt that is kept there saves more than the stream's way.
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
	out.PrefillTime = milliseconds(f.prefillTime(now, out.PrefillServer(), w))
	out.QueuedTokens = out.PrefillServer().queuedTokens(w)
	return out, w.MaxPrefillTime <= 0 || out.PrefillTime <= w.MaxPrefillTime
}

// together chooses the prefill and the decode engine that cost least; of several the first by
// zone, so that the same view always chooses the same.
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

// reads tells whether an engine has a prompt to read.
func (s *Server) hasPrefillQueue() bool { return s.Own.Prefill+s.Others.Prefill > 0 }

// readRate is the number of prompt tokens that a prefill engine of a service reads
// in a millisecond.
func (f *Fleet) prefillRate(service string) float64 {
	if rate := f.prefillRates[service]; rate > 0 {
		return rate
	}
	return initialPrefillRate
}

// ahead is the tokens that an engine has to read until it has read a prompt.
func (s *Server) queuedTokens(w Work) int {
	return s.Own.Prefill + s.Others.Prefill + w.uncachedTokens(s.ID)
}

// readTime is the expected time in milliseconds until an engine has read a prompt
// after those that wait there.
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

// leastRead returns the least time in which a prompt would be read.
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

// NoteRead takes how long a prefill engine took to read some tokens.
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

// slowness is how many times longer than expected an engine takes to read.
func (h *health) slowness(now time.Time) float64 {
	if h.slowFactor <= 1 {
		return 1
	}
	return 1 + (h.slowFactor-1)*math.Exp(-float64(now.Sub(h.slowAt))/float64(slownessDecay))
}

// StartRead books a prompt at the engine that reads it.
func (f *Fleet) StartPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill += w.uncachedTokens(id)
	}
}

// EndRead takes back what StartRead has booked.
func (f *Fleet) EndPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill -= w.uncachedTokens(id)
	}
}
