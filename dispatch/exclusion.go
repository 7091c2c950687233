package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Rule names what keeps a request from an engine, for the log.
type Rule string

// The rules, in the order in which they are looked at.
const (
	// RuleNoEngine: no decode engine is known.
	RuleNoEngine Rule = "no engine"
	// RuleEvacuated: its availability zone gets no new work.
	RuleEvacuated Rule = "zone evacuated"
	// RuleLeaving: it takes no new work, or changes its role.
	RuleLeaving Rule = "leaving"
	// RuleRegion: it is in a region in which the request may not be served.
	RuleRegion Rule = "region"
	// RuleCold: it has just started, and bears no more requests than others send it.
	RuleCold Rule = "cold"
	// RulePause: it wants no requests of this gateway for a time.
	RulePause Rule = "pause"
	// RuleLimited: it names a limit of requests a second, and this gateway has no token.
	RuleLimited Rule = "limited"
	// RuleBlocked: it failed lately and is left alone.
	RuleBlocked Rule = "blocked"
	// RuleSlots: as many requests run there as it has slots.
	RuleSlots Rule = "slots"
	// RuleMemoryNow: its runs fill its memory now.
	RuleMemoryNow Rule = "memory now"
	// RuleMemory: its runs would fill its memory before their end.
	RuleMemory Rule = "memory"
	// RuleTurn: it has room, and another gateway's request is to have it.
	RuleOtherGateway Rule = "turn"
	// RuleLateRead: a decode engine has room, and no engine would read the prompt in
	// time.
	RuleLatePrefill Rule = "late read"
)

// Ruled tells why a request has not been placed, for the log.
type Exclusion struct {
	// Rule is what decided: that which keeps the request from the engines that come
	// closest to taking it.
	Rule Rule
	// Engines are the decode engines that were looked at, Count those that each rule
	// keeps the request from.
	Engines int
	Count   map[Rule]int
	// Read is the least time in which the prompt would be read.
	MinPrefillTime time.Duration
	// Queued is the number of requests that wait at other gateways.
	Queued int
	// Known is the number of gateways whose reservations are known, Gateways
	// that of all.
	Known, Gateways int
}

// Ruled tells what keeps a request from being placed.
func (f *Fleet) Exclusion(now time.Time, w Work, e *route.Engine) Exclusion {
	out := Exclusion{
		Rule: RuleNoEngine, Count: map[Rule]int{}, MinPrefillTime: f.minPrefillTime(now, w),
		Queued: f.Others.Queued, Known: f.Others.Known, Gateways: f.Others.Gateways,
	}
	f.visit(f.group(now, w.Service, registry.Decode), maxChoices, func(s *Server) {
		out.Engines++
		out.Count[f.excludingRule(now, s, w, e)]++
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
	for _, r := range []Rule{RuleRegion, RuleEvacuated, RuleLeaving, RuleCold, RulePause, RuleLimited, RuleBlocked, RuleSlots, RuleMemoryNow, RuleMemory, RuleOtherGateway, RuleLatePrefill} {
		if out.Count[r] > 0 {
			out.Rule = r
		}
	}
	return out
}

// rule names what keeps a request from a decode engine. One with room for it, at this
// gateway's turn, can only be out of reach for a prompt that is read too late.
func (f *Fleet) excludingRule(now time.Time, s *Server, w Work, e *route.Engine) Rule {
	switch {
	case !w.permits(s):
		return RuleRegion
	case !s.available(now):
		return RuleLeaving
	case s.blocked(now):
		return RuleBlocked
	case !s.pause.MayChoose(now):
		return RulePause
	case !f.coldAllows(now, s):
		return RuleCold
	case !f.limitAllows(now, s):
		return RuleLimited
	}
	if shortage := f.shortage(s, w, e); shortage != "" {
		return shortage
	}
	if !f.winsDraw(now, s, w, e) {
		return RuleOtherGateway
	}
	return RuleLatePrefill
}
