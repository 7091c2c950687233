package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Rule identifies what excludes an engine for a request, in the log.
type Rule string

// The rules. Exclusion.Rule gives precedence to the one closest to an acceptance.
const (
	// RuleNoEngine: no decode engine is known.
	RuleNoEngine Rule = "no engine"
	// RuleEvacuated: the engine's availability zone gets no new work.
	RuleEvacuated Rule = "zone evacuated"
	// RuleLeaving: the engine accepts no new work, or changes its role.
	RuleLeaving Rule = "leaving"
	// RuleRegion: the engine is in a region in which the request may not be served.
	RuleRegion Rule = "region"
	// RuleVersion: the engine has another software version than the one that began the stream.
	RuleVersion Rule = "version"
	// RuleCold: the engine has just started, and other gateways already send it as many
	// requests as it can serve.
	RuleCold Rule = "cold"
	// RulePause: the engine has asked this gateway to send no requests for a time.
	RulePause Rule = "pause"
	// RuleLimited: the engine reports a limit of requests a second, and this gateway has no
	// token.
	RuleLimited Rule = "limited"
	// RuleBlocked: the engine failed recently and is blocked, or has lost answers and is ejected.
	RuleBlocked Rule = "blocked"
	// RuleSlots: all slots of the engine are in use.
	RuleSlots Rule = "slots"
	// RuleMemoryNow: the runs of the engine fill its memory now.
	RuleMemoryNow Rule = "memory now"
	// RuleMemory: the runs of the engine would fill its memory before their end.
	RuleMemory Rule = "memory"
	// RuleHeadroom: the engine has capacity, which is left free for more urgent requests.
	RuleHeadroom Rule = "headroom"
	// RuleOtherGateway: the engine has capacity, but other gateways have requests waiting and
	// the capacity is for these (see turn.go).
	RuleOtherGateway Rule = "turn"
	// RuleLatePrefill: a decode engine has capacity, and no engine would prefill the prompt
	// in time.
	RuleLatePrefill Rule = "late read"
)

// Exclusion explains why a request was not placed, for the log.
type Exclusion struct {
	// Rule is the rule that decided: the one that excludes the engines that come closest to
	// accepting the request.
	Rule Rule
	// Engines is the number of decode engines that were checked, Count the number that each
	// rule excludes.
	Engines int
	Count   map[Rule]int
	// MinPrefillTime is the shortest time in which the prompt would be prefilled.
	MinPrefillTime time.Duration
	// Queued is the number of requests that wait at other gateways, Position the place of this
	// one among them.
	Queued   int
	Position Position
	// Known is the number of gateways whose reservations are known, Gateways the number of
	// all.
	Known, Gateways int
}

// Exclusion returns the rules that exclude engines for a request.
func (f *Fleet) Exclusion(now time.Time, w Work, e *route.Engine) Exclusion {
	w = f.withHeadroom(w)
	out := Exclusion{
		Rule: RuleNoEngine, Count: map[Rule]int{}, MinPrefillTime: f.minPrefillTime(now, w),
		Queued: f.Others.Queued, Position: f.Position(w), Known: f.Others.Known, Gateways: f.Others.Gateways,
	}
	t := turn{position: out.Position}
	f.visit(f.group(now, w.Service, registry.Decode), maxChoices, func(s *Server) {
		out.Engines++
		out.Count[f.excludingRule(now, s, w, e, &t)]++
	})
	for _, s := range f.servers {
		if s.Service != w.Service || s.Role != registry.Decode || !w.permits(s) {
			continue
		}
		if s.evacuated {
			out.Count[RuleEvacuated]++
		} else if s.inService(now) && s.pause.Remaining(now) > 0 {
			out.Count[RulePause]++
		}
	}
	for _, r := range []Rule{RuleRegion, RuleVersion, RuleEvacuated, RuleLeaving, RuleCold, RulePause, RuleLimited, RuleBlocked, RuleSlots, RuleMemoryNow, RuleMemory, RuleHeadroom, RuleOtherGateway, RuleLatePrefill} {
		if out.Count[r] > 0 {
			out.Rule = r
		}
	}
	return out
}

// excludingRule returns the rule that excludes a decode engine for a request. An engine that
// has capacity, which this gateway may use, is excluded only because the prompt would be
// prefilled too late.
func (f *Fleet) excludingRule(now time.Time, s *Server, w Work, e *route.Engine, t *turn) Rule {
	switch {
	case !w.permitsRegion(s):
		return RuleRegion
	case !w.permitsVersion(s):
		return RuleVersion
	case !s.available(now):
		return RuleLeaving
	case s.blocked(now) || !f.lossAllows(now, s):
		return RuleBlocked
	case !s.pause.MayChoose(now):
		return RulePause
	case !f.coldAllows(now, s):
		return RuleCold
	case !f.limitAllows(now, s):
		return RuleLimited
	}
	if shortage := f.shortage(s, w, e); shortage != "" {
		urgent := w
		urgent.headroom = 0
		if f.fits(s, urgent, e) {
			return RuleHeadroom
		}
		return shortage
	}
	if !f.mayUse(now, s, w, e, t) {
		return RuleOtherGateway
	}
	return RuleLatePrefill
}
