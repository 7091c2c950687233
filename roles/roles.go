// Package roles decides which engines of a service read prompts and which make
// answers.
//
// An engine that changes its role is away for seconds, so changes are rare, and only
// made if the balance is off by most of an engine. It is plain state: the time and what
// is known are arguments.
package roles

import (
	"math"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// Engine is one engine that takes requests, or is about to.
type Engine struct {
	ID, Zone string
	// Role is the role that it has, or will have once a change is done.
	Role string
	// Switching tells that a change of its role is under way.
	Switching bool
	// Busy tells that a prefill engine has prompts to read; Used is the share
	// of a decode engine that its runs fill.
	Busy        bool
	Utilization float64
}

// Change is a change of one engine's role.
type Change struct {
	Engine string
	Role   string
	// Why tells the balance that led to it: the engines of each role, how busy
	// they are, and how many prefill engines are wanted.
	Prefill, Decode    int
	PrefillUtilization float64
	DecodeUtilization  float64
	WantPrefill        float64
}

// Constants of the planner.
const (
	// averagingTime is the time over which use is averaged.
	averagingTime    = 15 * time.Second
	minAveragingTime = 2 * time.Second
	idleUtilization  = 0.05
	// minUtilization is the use of the decode engines below which the balance says
	// nothing.
	minUtilization = 0.4
	// targetRatio is the use of prefill engines over that of decode engines that
	// is aimed at. A prompt waits tenths of a second where engines are busy, a
	// run that finds no room is refused.
	targetRatio = 1.1
	// minPrefillUtilization is the use from which on prefill engines may get more of them.
	// When a load rises, prefill engines are busy at once and decode engines
	// only once runs have added up: the balance alone would take that for a want
	// of prefill engines, and take decode engines away at the worst time.
	minPrefillUtilization = 0.55
	// minImbalance is the number of engines that the balance must be off by: more than half
	// of one, which would only be rounding.
	minImbalance = 0.6
	// minChangeInterval is the least time minChangeInterval the orders for a service, and batchOf
	// the number of engines for each of which one decode engine may become a prefill
	// engine at once.
	minChangeInterval = 8 * time.Second
	enginesPerChange  = 12
	// settlingTime is how long the set of engines must stay the same before the
	// first order.
	settlingTime = 1500 * time.Millisecond
)

// Planner plans for one service.
type Planner struct {
	// PrefillShare is the share of prefill engines while there is no load to tell.
	PrefillShare float64

	prefillUtilization, decodeUtilization float64
	// busySince is when the engines began to be used.
	busySince   time.Time
	observedAt  time.Time
	plannedAt   time.Time
	changedAt   time.Time
	engineCount int
	// loaded tells that there has been load since the start. Before, engines
	// are not missed, and several may change their roles at once.
	loaded bool
}

// Resume returns the planner of a leader that follows another one: the roles
// that it finds are those that a load has asked for.
func Resume(share float64) *Planner { return &Planner{PrefillShare: share, loaded: true} }

// Plan takes what is known now and returns the next orders, if there are any. Prefill
// engines that the load leaves idle change all at once: nobody misses them where they
// are, and a burst may come before a next step. Decode engines change a few at a time,
// since each takes its room along.
func (p *Planner) Plan(now time.Time, engines []Engine) []Change {
	p.Observe(now, engines)
	prefill, decode, switching := byRole(engines)
	if len(engines) != p.engineCount {
		p.engineCount, p.changedAt = len(engines), now
	}
	p.loaded = p.loaded || p.decodeUtilization >= minUtilization
	if now.Sub(p.changedAt) < settlingTime || p.loaded && (switching || now.Sub(p.plannedAt) < minChangeInterval) {
		return nil
	}
	want := math.Max(p.wantPrefill(len(prefill), len(decode)), p.minPrefill(len(engines)))
	orders := p.changes(prefill, decode, want)
	if len(orders) > 0 {
		p.plannedAt = now
	}
	return orders
}

// changes returns the changes that bring the number of prefill engines towards
// the one that is wanted.
func (p *Planner) changes(prefill, decode []Engine, want float64) []Change {
	var out []Change
	maxPrefillChanges := max((len(prefill)+len(decode))/enginesPerChange, 1)
	for len(out) < len(prefill)+len(decode) {
		o := Change{Prefill: len(prefill), Decode: len(decode), PrefillUtilization: p.prefillUtilization, DecodeUtilization: p.decodeUtilization, WantPrefill: want}
		switch imbalance := want - float64(len(prefill)); {
		case imbalance < -minImbalance && len(prefill) > 1:
			o.Engine, o.Role = surplus(prefill), registry.Decode
			prefill, decode = move(prefill, decode, o.Engine)
		case imbalance > minImbalance && len(out) < maxPrefillChanges && len(decode) > 1 && (p.prefillUtilization >= minPrefillUtilization || float64(len(prefill)) < p.minPrefill(len(prefill)+len(decode))):
			o.Engine, o.Role = leastUtilized(decode, prefill), registry.Prefill
			decode, prefill = move(decode, prefill, o.Engine)
		default:
			return out
		}
		out = append(out, o)
	}
	return out
}

// move moves an engine from one list to the other.
func move(from, to []Engine, id string) (rest, grown []Engine) {
	for _, e := range from {
		if e.ID == id {
			to = append(to, e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest, to
}

func byRole(engines []Engine) (prefill, decode []Engine, switching bool) {
	for _, e := range engines {
		switching = switching || e.Switching
		switch e.Role {
		case registry.Prefill:
			prefill = append(prefill, e)
		case registry.Decode:
			decode = append(decode, e)
		}
	}
	return prefill, decode, switching
}

// Observe averages how busy the engines of each role are.
func (p *Planner) Observe(now time.Time, engines []Engine) {
	prefill, decode, _ := byRole(engines)
	utilization := meanUtilization(decode)
	if p.busySince.IsZero() || p.decodeUtilization < idleUtilization && utilization < idleUtilization {
		p.busySince = now
	}
	elapsed := now.Sub(p.observedAt)
	p.observedAt = now
	window := min(max(now.Sub(p.busySince), minAveragingTime), averagingTime)
	weight := min(float64(elapsed)/float64(window), 1) // the first time counts whole
	p.prefillUtilization += weight * (busyRatio(prefill) - p.prefillUtilization)
	p.decodeUtilization += weight * (utilization - p.decodeUtilization)
}

func busyRatio(list []Engine) float64 {
	n := 0.0
	for _, e := range list {
		if e.Busy {
			n++
		}
	}
	return n / float64(max(len(list), 1))
}

func meanUtilization(list []Engine) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.Utilization
	}
	return sum / float64(max(len(list), 1))
}

// wantPrefill returns the number of prefill engines at which both roles would be full
// at the same load: the engines are divided as the work is.
func (p *Planner) wantPrefill(prefill, decode int) float64 {
	total := prefill + decode
	if prefill == 0 {
		return 1
	}
	if p.decodeUtilization < minUtilization {
		if p.loaded {
			return float64(prefill) // what the load asked for stays
		}
		return math.Max(math.Round(p.PrefillShare*float64(total)), 1)
	}
	prefillLoad, decodeLoad := float64(prefill)*p.prefillUtilization, float64(decode)*p.decodeUtilization
	return float64(total) * prefillLoad / (prefillLoad + targetRatio*decodeLoad)
}

// minShareRatio is the part of the share of the settings below which prefill engines
// never fall: the loss of one, or the return of all callers after a fault, would
// leave prompts waiting for the seconds that another change takes.
const minShareRatio = 0.5

// minPrefill is the least number of prefill engines.
func (p *Planner) minPrefill(total int) float64 {
	return math.Ceil(minShareRatio * p.PrefillShare * float64(total))
}

// surplus returns a prefill engine of the zone that has most of them, an idle one if
// there is one.
func surplus(prefill []Engine) string {
	zones := map[string]int{}
	for _, e := range prefill {
		zones[e.Zone]++
	}
	sort.Slice(prefill, func(i, j int) bool {
		a, b := prefill[i], prefill[j]
		if zones[a.Zone] != zones[b.Zone] {
			return zones[a.Zone] > zones[b.Zone]
		}
		if a.Busy != b.Busy {
			return b.Busy
		}
		return a.ID < b.ID
	})
	return prefill[0].ID
}

// leastUtilized returns the least used decode engine, of a zone with few prefill
// engines if there is one.
func leastUtilized(decode, prefill []Engine) string {
	zones := map[string]int{}
	for _, e := range prefill {
		zones[e.Zone]++
	}
	sort.Slice(decode, func(i, j int) bool {
		a, b := decode[i], decode[j]
		if zones[a.Zone] != zones[b.Zone] {
			return zones[a.Zone] < zones[b.Zone]
		}
		if a.Utilization != b.Utilization {
			return a.Utilization < b.Utilization
		}
		return a.ID < b.ID
	})
	return decode[0].ID
}
