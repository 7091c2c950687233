package placement

import (
	"time"
)

// Query is what a choice has to serve.
type Query struct {
	Model    string
	Priority int
	// Tokens is the prompt's length.
	Tokens   int
	Prefixes []uint64
	// KVBytes is the size of the KV cache to transfer.
	KVBytes int64
	// TBT is the target for the time between tokens.
	TBT time.Duration
	// Avoid names a server that just failed this request.
	Avoid string
}

// Candidate is one server that was looked at, for the record of the decision.
type Candidate struct {
	Server string `json:"server"`
	// Block is why it was ruled out; empty if it was not.
	Exclusion Exclusion `json:"block,omitempty"`
	// Ready is the estimated time from now to the end of its part.
	ReadyIn time.Duration `json:"ready,omitempty"`
	// Cached is the expected number of cached prompt tokens.
	Cached int `json:"cached,omitempty"`
}

// Choice is a pair of servers, or the reason why there is none.
type Choice struct {
	Prefill, Decode *Server
	// PrefillReady is the estimated time from now to the end of the prefill.
	PrefillTime time.Duration
	// FirstToken is the estimated time from now to the first token.
	FirstTokenTime time.Duration
	// Work is the prefill work in tokens, without the expected cached part.
	Work int
	// Block is the reason if Prefill or Decode is nil.
	Exclusion Exclusion
	// Considered lists some of the servers looked at.
	Considered []Candidate
}

const (
	// scanLimit bounds the servers of one role that one choice looks at, so
	// that its cost stays flat as the fleet grows.
	scanLimit = 32
	// depth is how many prefills of this entry may stand at one server: one
	// that runs and one that is ready to follow, so that the engine is never
	// idle and late choices stay open.
	maxOwnPrefills = 2
	// maxConsidered bounds the candidates that a record keeps.
	maxConsidered = 8
	// crossZone is added to a transfer between availability zones.
	crossZoneDelay = 3 * time.Millisecond
	// blockTokens is the number of tokens that one prefix hash stands for.
	blockTokens = BlockBytes / BytesPerToken
)

// BytesPerToken is the usual length of a token in prompt text.
const BytesPerToken = 4

// Choose picks the pair with the earliest first token among the servers that
// can take the request now.
func (v *View) Choose(now time.Time, q Query) Choice {
	var c Choice
	d, exclusion := v.chooseDecode(now, &q, nil, &c)
	if d == nil {
		c.Exclusion = exclusion
		return c
	}
	p, ready, exclusion := v.choosePrefill(now, &q, &c)
	if p == nil {
		c.Exclusion = exclusion
		return c
	}
	c.Prefill, c.Decode = p, d
	c.Work = q.Tokens - v.cached(p, &q)
	c.PrefillTime = ready
	c.FirstTokenTime = ready + v.TransferTime(p, d, q.KVBytes) + d.tokenTime
	return c
}

// Transfer estimates the time that a KV transfer takes: the transfers on a
// link share its rate.
func (v *View) TransferTime(from, to *Server, bytes int64) time.Duration {
	rate := min(from.LinkRate, to.LinkRate)
	sharers := 1 + max(from.transfers(), to.transfers())
	duration := time.Duration(float64(bytes) * float64(sharers) / max(rate, 1) * float64(time.Second))
	if from.Zone != to.Zone {
		duration += crossZoneDelay
	}
	return duration
}

// transfers counts the transfers on the server's link.
func (s *Server) transfers() int { return s.ownTransfers + s.otherTransfers }

// scan calls f for the servers of a list, or for a random run of them if the
// list is long.
func (v *View) sample(list []*Server, f func(*Server)) {
	n := len(list)
	if n <= scanLimit {
		for _, s := range list {
			f(s)
		}
		return
	}
	start := v.rng.IntN(n)
	for i := range scanLimit {
		f(list[(start+i)%n])
	}
}

func (c *Choice) consider(s *Server, b Exclusion, ready time.Duration, cached int) {
	if len(c.Considered) < maxConsidered {
		c.Considered = append(c.Considered, Candidate{Server: s.Name, Exclusion: b, ReadyIn: ready, Cached: cached})
	}
}

// choosePrefill picks the server that would end the prefill first.
func (v *View) choosePrefill(now time.Time, q *Query, c *Choice) (*Server, time.Duration, Exclusion) {
	var best *Server
	var bestReady time.Duration
	exclusion := Exclusion(NoModel)
	evaluate := func(s *Server) {
		b := s.exclusion(now, q)
		if b == Eligible && (s.ownPrefillsAhead(q.Priority) >= maxOwnPrefills || s.Free() <= Headroom(true, s.slots, q.Priority)) {
			b = Busy
		}
		if b != Eligible {
			exclusion = moreRelevant(exclusion, b)
			c.consider(s, b, 0, 0)
			return
		}
		cached := v.cached(s, q)
		ready := s.prefillTime(q.Priority, q.Tokens-cached)
		c.consider(s, Eligible, ready, cached)
		if best == nil || ready < bestReady {
			best, bestReady = s, ready
		}
	}
	if holder := v.holders.find(q.Prefixes); holder != nil && len(v.prefill) > scanLimit && holder.Role == "prefill" {
		evaluate(holder)
	}
	v.sample(v.prefill, evaluate)
	return best, bestReady, exclusion
}

// worse keeps the reason that tells most: a server that could serve soon says
// more than one that can't.
func moreRelevant(a, b Exclusion) Exclusion {
	if a == Busy || a == NoSlot {
		return a
	}
	return b
}

func (s *Server) prefillTime(priority, tokens int) time.Duration {
	work := s.QueuedTokens(priority) + tokens
	return time.Duration(float64(work) / max(s.prefillRate, 1) * float64(time.Second))
}

// cached returns how many prompt tokens the server is thought to have cached.
func (v *View) cached(s *Server, q *Query) int {
	return min(s.cachedPrefixes.matchLength(q.Prefixes)*blockTokens, max(q.Tokens-1, 0))
}

// ChooseDecode picks a decode server alone, for a KV cache that is there.
func (v *View) ChooseDecode(now time.Time, q Query, from *Server) (*Server, Exclusion) {
	var c Choice
	q.Priority = 0 // it may take the last slot
	return v.chooseDecode(now, &q, from, &c)
}

// chooseDecode picks the server with the largest free share, which keeps the
// batches, and with them the time between tokens, even.
func (v *View) chooseDecode(now time.Time, q *Query, from *Server, c *Choice) (*Server, Exclusion) {
	var best *Server
	var bestScore float64
	exclusion := Exclusion(NoModel)
	v.sample(v.decode, func(s *Server) {
		b := s.exclusion(now, q)
		if b == Eligible && s.Free() <= Headroom(false, s.slots, q.Priority) {
			b = NoSlot
		}
		if b != Eligible {
			exclusion = moreRelevant(exclusion, b)
			c.consider(s, b, 0, 0)
			return
		}
		score := v.decodeScore(s, q, from)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	})
	return best, exclusion
}

// Headroom is the number of slots that requests below the first priority leave
// free, so that an interactive one finds a slot within its target. Agents hold
// to the same rule.
func Headroom(prefill bool, slots, priority int) int {
	switch {
	case priority == 0:
		return 0
	case prefill:
		return slots / 2
	}
	return slots / decodeHeadroomDivisor
}

// decodeHeadroom is the part of the decode slots that is left free.
const decodeHeadroomDivisor = 16

// linkWeight is what one transfer on a link counts in the choice of a decode
// server, as a share of its slots.
const linkWeight = 0.1

func (v *View) decodeScore(s *Server, q *Query, from *Server) float64 {
	score := float64(s.Free()) / float64(max(s.slots, 1))
	if q.TBT > 0 && s.tokenTime > q.TBT {
		score -= 1
	}
	if s.Zone != v.zone {
		score -= 0.5
	}
	score -= linkWeight * float64(s.transfers())
	if from != nil && from.Zone != s.Zone {
		score -= 0.1
	}
	return score
}

// speed is the best that the servers of one model do.
type bestRates struct {
	prefill, link float64
	at            time.Time
}

// speedAge is how long a speed is used before it is worked out again.
const bestRatesTTL = 100 * time.Millisecond

// fastest returns the best prefill and link rates among the servers of a model.
func (v *View) fastest(now time.Time, model string) bestRates {
	best, ok := v.best[model]
	if ok && now.Sub(best.at) < bestRatesTTL {
		return best
	}
	best = bestRates{at: now}
	for _, s := range v.prefill {
		if s.connected && !s.leaving && s.models[model] {
			best.prefill = max(best.prefill, s.prefillRate)
			best.link = max(best.link, s.LinkRate)
		}
	}
	v.best[model] = best
	return best
}

// Shortest estimates the least time to a first token on any idle server pair;
// zero if no server is known.
func (v *View) MinTTFT(now time.Time, q Query) time.Duration {
	best := v.fastest(now, q.Model)
	if best.prefill == 0 {
		return 0
	}
	cached := 0
	if holder := v.holders.find(q.Prefixes); holder != nil {
		cached = v.cached(holder, &q)
	}
	seconds := float64(q.Tokens-cached)/best.prefill + float64(q.KVBytes)/max(best.link, 1)
	return time.Duration(seconds * float64(time.Second))
}
