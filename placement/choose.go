package placement

import (
	"time"
)

// Query describes the request that servers are chosen for.
type Query struct {
	Model    string
	Priority int
	// Tokens is the length of the prompt in tokens.
	Tokens   int
	Prefixes []uint64
	// KVBytes is the size of the KV cache to transfer, in bytes.
	KVBytes int64
	// TBT is the target for the time between tokens.
	TBT time.Duration
	// Avoid is the name of a server that just failed this request, if any.
	Avoid string
	// Continues restricts the decode server to the software version Software, since the caller has
	// tokens that this version generated.
	Continues bool
	Software  string
}

// Candidate is a server that was considered, for the decision record.
type Candidate struct {
	Server string `json:"server"`
	// Exclusion is the reason why it was excluded, or Eligible.
	Exclusion Exclusion `json:"block,omitempty"`
	// ReadyIn is the estimated time until the end of the prefill.
	ReadyIn time.Duration `json:"ready,omitempty"`
	// Cached is the expected number of cached prompt tokens.
	Cached int `json:"cached,omitempty"`
}

// Choice is a pair of servers, or the reason why there is none.
type Choice struct {
	Prefill, Decode *Server
	// PrefillTime is the estimated time from now to the end of the prefill.
	PrefillTime time.Duration
	// FirstTokenTime is the estimated time from now to the first token.
	FirstTokenTime time.Duration
	// Work is the prefill work in tokens, without the expected cached part.
	Work int
	// Exclusion is the reason why Prefill and Decode are nil.
	Exclusion Exclusion
	// Considered lists the first servers that were considered, up to maxConsidered.
	Considered []Candidate
}

const (
	// scanLimit is the maximum number of servers of a role that one choice
	// considers, so that its cost does not grow with the fleet.
	scanLimit = 32
	// maxOwnPrefills is the maximum number of prefills of this entry at one
	// server: one that runs and one that follows, so that the engine is never
	// idle. All others stay in the queue, where their server can still be chosen
	// by the latest load.
	maxOwnPrefills = 2
	// maxConsidered is the maximum number of candidates of a record.
	maxConsidered = 8
	// crossZoneDelay is added to a transfer between availability zones.
	crossZoneDelay = 3 * time.Millisecond
	// blockTokens is the number of tokens that one prefix hash adds.
	blockTokens = BlockBytes / BytesPerToken
)

// BytesPerToken is the average length of a token in prompt text.
const BytesPerToken = 4

// Choose returns the decode server with the most capacity and the prefill server
// that would end first, among the servers that can accept the request now.
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

// TransferTime estimates the time of a KV transfer that starts now. The
// transfers on a link share its rate.
func (v *View) TransferTime(from, to *Server, bytes int64) time.Duration {
	rate := min(from.LinkRate, to.LinkRate)
	sharers := 1 + max(from.transfers(), to.transfers())
	duration := time.Duration(float64(bytes) * float64(sharers) / max(rate, 1) * float64(time.Second))
	if from.Zone != to.Zone {
		duration += crossZoneDelay
	}
	return duration
}

// transfers returns the number of transfers on the server's link.
func (s *Server) transfers() int { return s.ownTransfers + s.otherTransfers }

// sample calls f for the servers of a list, or for scanLimit consecutive ones
// from a random index if the list is longer.
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

// choosePrefill returns the server that would end the prefill first and the time
// until then. If the sample might miss the server that holds the longest prefix,
// it is considered as well.
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

// moreRelevant returns the reason to report for two excluded servers: one with a
// temporary lack of capacity is the more useful one.
func moreRelevant(a, b Exclusion) Exclusion {
	if a == Busy || a == NoSlot {
		return a
	}
	return b
}

// prefillTime estimates the time until the server has computed that many tokens
// for a new request of a priority.
func (s *Server) prefillTime(priority, tokens int) time.Duration {
	work := s.QueuedTokens(priority) + tokens
	return time.Duration(float64(work) / max(s.prefillRate, 1) * float64(time.Second))
}

// cached returns the expected number of prompt tokens in the server's cache. At
// least one token must be computed.
func (v *View) cached(s *Server, q *Query) int {
	return min(s.cachedPrefixes.matchLength(q.Prefixes)*blockTokens, max(q.Tokens-1, 0))
}

// ChooseDecode returns the decode server for a KV cache that from holds, or nil
// and the reason.
func (v *View) ChooseDecode(now time.Time, q Query, from *Server) (*Server, Exclusion) {
	var c Choice
	q.Priority = 0 // it may use the last slot
	return v.chooseDecode(now, &q, from, &c)
}

// chooseDecode returns the server with the largest share of free slots, adjusted
// for its speed, zone and link. This keeps the batches of the servers, and with
// them the time between tokens, even.
func (v *View) chooseDecode(now time.Time, q *Query, from *Server, c *Choice) (*Server, Exclusion) {
	var best *Server
	var bestScore float64
	exclusion := Exclusion(NoModel)
	v.sample(v.decode, func(s *Server) {
		b := s.exclusion(now, q)
		if b == Eligible && q.Continues && s.software != q.Software {
			b = OtherVersion
		}
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

// Headroom returns the number of slots that requests below the highest priority
// must leave free, so that an interactive request finds a slot within its
// target. Agents enforce the same rule.
func Headroom(prefill bool, slots, priority int) int {
	switch {
	case priority == 0:
		return 0
	case prefill:
		return slots / 2
	}
	return slots / decodeHeadroomDivisor
}

// decodeHeadroomDivisor is the number of decode slots of which one stays free.
const decodeHeadroomDivisor = 16

// linkWeight is the share of free slots that one transfer on the link of a
// decode server outweighs.
const linkWeight = 0.1

// decodeScore returns the share of free slots, reduced if the server is slower
// than the target, has transfers on its link, or is in another availability zone
// than the entry or the prefill server.
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

// bestRates holds the highest rates among the prefill servers of a model: the
// prefill rate in tokens a second, and the link rate in bytes a second.
type bestRates struct {
	prefill, link float64
	at            time.Time
}

// bestRatesTTL is the time for which bestRates are used before they are computed
// again.
const bestRatesTTL = 100 * time.Millisecond

// fastest returns the best rates of a model.
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

// MinTTFT estimates the shortest time to the first token on any idle pair of
// servers; zero if no prefill server has the model.
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
