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
	firstReadRate = 50.0
	selfPart      = 0.5
	// rateUp and rateDown are the weights of a read in the pace: one that was faster
	// shows what engines can do, one that was slower may have met others, or a slow
	// engine.
	rateUp   = 0.2
	rateDown = 0.03
	// aloneCost is the time in milliseconds that a read at a decode engine counts
	// as beyond its own: all runs there make their tokens slower meanwhile, so it
	// is for queues that would make the request late.
	aloneCost = 1000.0
	// handoverCost is the time in milliseconds that handing a KV cache over counts as:
	// some round trips and the copy.
	handoverCost = 20.0
	// slowWeight is the weight of the newest read in the average of how much
	// slower than expected an engine reads; slowLife is the time after which a
	// third of that is left, so that an engine that recovers is found.
	slowWeight = 0.3
	slowLife   = 4 * time.Second
	mostSlow   = 20.0
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
	var alone candidate
	f.searchKept(now, w, registry.Prefill, func(s *Server) bool {
		if !f.mayTake(now, s, w, avoid) {
			return false
		}
		keepBest(prefill, s, f.readCost(now, s, w)+f.wayCost(s.Zone, readTrips))
		return true
	})
	f.searchKept(now, w, registry.Decode, func(s *Server) bool {
		if !f.mayTake(now, s, w, avoid) || !f.fits(s, w, e) || !f.turn(now, s, w, e) {
			return false
		}
		cost := f.decodeCost(s, e)
		keepBest(decode, s, cost+f.streamCost(s))
		// A prompt that is kept there saves more than the stream's way.
		cost += aloneCost*w.unreadPart(s.ID) + f.readCost(now, s, w)
		if alone.server == nil || cost < alone.cost {
			alone = candidate{s, cost}
		}
		return true
	})
	out, cost := f.together(prefill, decode)
	if alone.server != nil && (out.Decode == nil || alone.cost < cost && !alone.server.reads()) {
		out = Pair{Decode: alone.server}
	}
	if out.Decode == nil {
		return Pair{}, false
	}
	out.PrefillTime = milliseconds(f.readTime(now, out.PrefillServer(), w))
	out.QueuedTokens = out.PrefillServer().ahead(w)
	return out, w.MaxPrefillTime <= 0 || out.PrefillTime <= w.MaxPrefillTime
}

// together chooses the prefill and the decode engine that cost least; of several the first by
// zone, so that the same view always chooses the same.
func (f *Fleet) together(prefill, decode map[string]candidate) (Pair, float64) {
	var out Pair
	best := 0.0
	for _, pz := range slices.Sorted(maps.Keys(prefill)) {
		for _, dz := range slices.Sorted(maps.Keys(decode)) {
			p, d := prefill[pz], decode[dz]
			cost := handoverCost + p.cost + d.cost + f.moveCost(pz, dz)
			if out.Decode == nil || cost < best {
				best = cost
				out = Pair{Prefill: p.server, Decode: d.server}
			}
		}
	}
	return out, best
}

// reads tells whether an engine has a prompt to read.
func (s *Server) reads() bool { return s.Own.Prefill+s.Others.Prefill > 0 }

// readRate is the number of prompt tokens that a prefill engine of a service reads
// in a millisecond.
func (f *Fleet) readRate(service string) float64 {
	if rate := f.readRates[service]; rate > 0 {
		return rate
	}
	return firstReadRate
}

// ahead is the tokens that an engine has to read until it has read a prompt.
func (s *Server) ahead(w Work) int { return s.Own.Prefill + s.Others.Prefill + w.unread(s.ID) }

// readTime is the expected time in milliseconds until an engine has read a prompt
// after those that wait there.
func (f *Fleet) readTime(now time.Time, s *Server, w Work) float64 {
	rate := f.readRate(s.Service)
	if s.Role == registry.Decode {
		rate *= selfPart
	}
	return float64(s.ahead(w)) / rate * s.health.slowness(now)
}

func (f *Fleet) readCost(now time.Time, s *Server, w Work) float64 {
	cost := f.readTime(now, s, w) + 100*s.health.failing
	return cost + f.againCost(s, w)
}

// leastRead returns the least time in which a prompt would be read.
func (f *Fleet) leastRead(now time.Time, w Work) time.Duration {
	least := math.Inf(1)
	f.visit(f.group(now, w.Service, registry.Prefill), mostChoices, func(s *Server) {
		if f.mayTake(now, s, w, nil) {
			least = min(least, f.readTime(now, s, w))
		}
	})
	if math.IsInf(least, 1) {
		return 0
	}
	return milliseconds(least)
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// NoteRead takes how long a prefill engine took to read some tokens.
func (f *Fleet) NotePrefill(now time.Time, id string, took time.Duration, tokens int) {
	s := f.servers[id]
	if s == nil || took <= 0 || tokens <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	pace, rate := float64(tokens)/ms, f.readRate(s.Service)
	weight := rateDown
	if pace > rate {
		weight = rateUp
	}
	f.readRates[s.Service] = rate + weight*(pace-rate)
	h := &s.health
	ratio := min(max(rate/pace, 1), mostSlow)
	h.slow = h.slowness(now) + slowWeight*(ratio-h.slowness(now))
	h.slowAt = now
}

// slowness is how many times longer than expected an engine takes to read.
func (h *health) slowness(now time.Time) float64 {
	if h.slow <= 1 {
		return 1
	}
	return 1 + (h.slow-1)*math.Exp(-float64(now.Sub(h.slowAt))/float64(slowLife))
}

// StartRead books a prompt at the engine that reads it.
func (f *Fleet) StartPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill += w.unread(id)
	}
}

// EndRead takes back what StartRead has booked.
func (f *Fleet) EndPrefill(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Prefill -= w.unread(id)
	}
}
