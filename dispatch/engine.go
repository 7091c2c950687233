package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Work holds the properties of a request that its placement depends on.
type Work struct {
	Service string
	// Prompt is the length of the prompt, Expected the expected length of the answer, in
	// tokens.
	Prompt, Expected int
	// Generated is the number of tokens of the answer so far.
	Generated int
	// Cached is the number of tokens at the beginning of the prompt whose KV cache an engine
	// is known to have, by engine. That engine need not prefill them again.
	Cached map[string]int
	// MaxPrefillTime bounds the time in which the prompt should be prefilled; zero for no
	// bound.
	MaxPrefillTime time.Duration
	// Regions holds the regions in which the request may be served and its prompt cached;
	// empty for all.
	Regions []string
	// OverShare means that the request's organisation has recently used more than its share.
	// The request then waits behind the others, and leaves some capacity to them.
	OverShare bool
	// Pinned restricts the request to servers of the software version Version, at which its stream
	// began. Prefill engines are not restricted, since they send no events.
	Pinned  bool
	Version string
	// Urgency is the rank of the request among those that wait.
	Urgency route.Urgency
	// headroom is the share of the engines' memory that the request leaves free for more urgent
	// ones.
	headroom float64
}

// currentTokens returns the size of the KV cache that the request has now.
func (w Work) currentTokens() int { return w.Prompt + w.Generated }

// FinalTokens returns the expected size of the KV cache at the end of the request.
func (w Work) FinalTokens() int { return w.finalTokens() }

// finalTokens returns the expected size of the KV cache at the end of the request.
func (w Work) finalTokens() int { return w.Prompt + w.Expected }

// Constants of placement.
const (
	// MemoryOvercommit is the multiple of an engine's memory that reservations may fill. It
	// exceeds 1 because a reservation counts the tokens at the end of a run, which most runs
	// have not reached yet.
	MemoryOvercommit = 1.2
	// unknownLoadShare is the share of the average load that a gateway whose loads are not
	// known is assumed to have reserved.
	unknownLoadShare = 0.7
	// fullEngineCost is the cost of a full engine in milliseconds: each run generates its
	// tokens more slowly if others run too.
	fullEngineCost = 250.0
)

// ChooseDecode chooses a decode engine for a prompt that was prefilled in the given zone. It
// returns nil if there is none.
func (f *Fleet) ChooseDecode(now time.Time, w Work, e *route.Engine, zone string, avoid Avoid) *Server {
	var best candidate
	f.search(now, w.Service, registry.Decode, func(s *Server) bool {
		if !f.eligibleFor(now, s, w, avoid) || !f.fits(s, w, e) {
			return false
		}
		cost := f.decodeCost(s, e) + f.streamCost(s) + f.transferCost(zone, s.Zone)
		if best.server == nil || cost < best.cost {
			best = candidate{s, cost}
		}
		return true
	})
	return best.server
}

// eligibleFor reports whether an engine may be chosen for a request.
func (f *Fleet) eligibleFor(now time.Time, s *Server, w Work, avoid Avoid) bool {
	return f.eligible(now, s, avoid) && w.permits(s)
}

// eligible reports whether an engine may be chosen at all.
func (f *Fleet) eligible(now time.Time, s *Server, avoid Avoid) bool {
	return !avoid[s.ID] && s.available(now) && !s.blocked(now) && f.lossAllows(now, s) && s.pause.MayChoose(now) && f.coldAllows(now, s) && f.limitAllows(now, s)
}

type candidate struct {
	server *Server
	cost   float64
}

func keepBest(m map[string]candidate, s *Server, cost float64) {
	if old, ok := m[s.Zone]; !ok || cost < old.cost {
		m[s.Zone] = candidate{s, cost}
	}
}

func (f *Fleet) decodeCost(s *Server, e *route.Engine) float64 {
	used := float64(f.reservedTokens(s)) / float64(max(e.KVTokens, 1))
	return fullEngineCost*used + 200*s.health.failing
}

// reservedTokens returns the reserved tokens of an engine, including an estimate for gateways
// whose loads are not known: the average of the others, reduced because their requests may
// well be the ones that come to this gateway.
func (f *Fleet) reservedTokens(s *Server) int {
	return f.addUnknown(s.Own.Tokens + s.Others.Tokens)
}

// currentTokens returns the tokens that the runs of an engine have now.
func (f *Fleet) currentTokens(s *Server) int {
	return f.addUnknown(s.Own.Held + s.Others.Held)
}

// addUnknown adds an estimate for the gateways whose loads are not known to a known load.
func (f *Fleet) addUnknown(tokens int) int {
	return int(float64(tokens) * (1 + unknownLoadShare*f.Others.unknownRatio()))
}

// fits reports whether an engine has capacity for a request.
func (f *Fleet) fits(s *Server, w Work, e *route.Engine) bool { return f.shortage(s, w, e) == "" }

// shortage returns the rule by which an engine lacks capacity for a request; empty if it has
// enough.
func (f *Fleet) shortage(s *Server, w Work, e *route.Engine) Rule {
	if e.KVTokens <= 0 {
		return ""
	}
	if e.Slots > 0 && s.Own.Runs+s.Others.Runs >= e.Slots {
		return RuleSlots
	}
	used := float64(f.reservedTokens(s))
	if used == 0 {
		if w.finalTokens() > e.KVTokens {
			return RuleMemory
		}
		return ""
	}
	share := f.maxShare(w)
	if !f.fitsLevel(s, w, e, share) {
		return RuleMemoryNow
	}
	if used+float64(w.finalTokens()) > share*MemoryOvercommit*float64(e.KVTokens) {
		return RuleMemory
	}
	return ""
}

// overShareMax is the share of an engine's capacity that an organisation over its share may
// fill, so that the others find capacity during its burst. More requests are then served in
// time, those of the others and in total. The order of the queues can't achieve that, since
// the queues of many gateways are too short.
const overShareMax = 0.8

// maxShare returns the share of an engine's capacity that a request may fill. What a request
// over its organisation's share leaves free is enough for more urgent ones too.
func (f *Fleet) maxShare(w Work) float64 {
	share := 1 - w.headroom
	if w.OverShare {
		share = min(share, overShareMax)
	}
	return share
}

// Reserve reserves capacity for a run at a decode engine.
func (f *Fleet) Reserve(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Tokens += w.finalTokens()
		s.Own.Held += w.currentTokens()
		s.Own.Runs++
	}
}

// growDivisor: a run that has reached its expected length is expected to generate a further
// 1/growDivisor of that length.
const growDivisor = 4

// Grow updates the reservation of a run that has generated the given number of tokens, and
// raises the expected length if the run has reached it. It returns the work as it is reserved
// now, and whether the expected length was raised.
func (f *Fleet) Grow(id string, w Work, generated int) (grown Work, longer bool) {
	grown = w
	grown.Generated = generated
	if generated >= w.Expected {
		grown.Expected += max(w.Expected/growDivisor, 1)
		longer = true
	}
	if s := f.servers[id]; s != nil {
		s.Own.Tokens += grown.finalTokens() - w.finalTokens()
		s.Own.Held += grown.currentTokens() - w.currentTokens()
	}
	return grown, longer
}

// Release releases what Reserve and Grow have reserved.
func (f *Fleet) Release(id string, w Work) {
	if s := f.servers[id]; s != nil {
		s.Own.Tokens -= w.finalTokens()
		s.Own.Held -= w.currentTokens()
		s.Own.Runs--
	}
}
