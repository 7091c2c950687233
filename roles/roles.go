// Package roles decides which engines of a service run prefills and which run decodes.
//
// An engine that changes its role is unavailable for seconds, so changes are rare and
// happen only if the balance is off by more than half an engine. The package keeps plain
// state: time and observations are arguments.
package roles

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// Engine is an engine that accepts requests or is about to.
type Engine struct {
	ID, Zone string
	// Version is the version of its software; empty if unknown.
	Version string
	// Role is the role that the engine has, or gets when a change under way is complete.
	Role string
	// Switching reports that a change of its role is under way.
	Switching bool
	// Busy reports that a prefill engine has prompts to process. Utilization is the share
	// of a decode engine's capacity that its runs use, from 0 to 1.
	Busy        bool
	Utilization float64
}

// Change is a change of one engine's role.
type Change struct {
	Engine string
	Role   string
	// Prefill and Decode count the engines of each role. With the fields below, the
	// utilization of both and the required number of prefill engines, they give the
	// reason for the change.
	Prefill, Decode    int
	PrefillUtilization float64
	DecodeUtilization  float64
	WantPrefill        float64
	// Work is the average of the arriving work; zero if the utilization decided.
	Work Work
}

// Parameters of the planner.
const (
	// averagingTime and minAveragingTime bound the time over which utilization is
	// averaged: it is the time since the engines began to be used, within these bounds.
	averagingTime    = 15 * time.Second
	minAveragingTime = 2 * time.Second
	// idleUtilization is the utilization of decode engines below which they count as
	// idle.
	idleUtilization = 0.05
	// minUtilization is the utilization of decode engines below which the balance is not
	// evaluated.
	minUtilization = 0.4
	// targetRatio is the intended ratio of the utilization of prefill engines to that of
	// decode engines. Prefill engines may be the busier ones: a prompt waits some tenths
	// of a second there, but a run without capacity on a decode engine is refused.
	targetRatio = 1.1
	// minPrefillUtilization is the utilization of prefill engines from which on decode
	// engines may become prefill engines. When load rises, prefill engines are busy at
	// once and decode engines only after runs have accumulated. The balance alone would
	// take that for a shortage of prefill engines and remove decode engines just
	// before they are required.
	minPrefillUtilization = 0.55
	// minImbalance is the number of engines by which the balance must be off. Up to half
	// an engine is only rounding.
	minImbalance = 0.6
	// minChangeInterval is the minimum time between changes for a service.
	minChangeInterval = 8 * time.Second
	// One decode engine per enginesPerChange engines may become a prefill engine at once.
	enginesPerChange = 12
	// settlingTime is how long the set of engines must be unchanged before the first
	// change.
	settlingTime = 1500 * time.Millisecond
)

// Planner plans the roles of one service.
type Planner struct {
	// PrefillShare is the share of prefill engines while there has been no load.
	PrefillShare float64

	prefillUtilization, decodeUtilization float64
	// busySince is when the engines began to be used.
	busySince   time.Time
	observedAt  time.Time
	plannedAt   time.Time
	changedAt   time.Time
	engineCount int
	// loaded reports whether there has been load since the start. Before that, no
	// engine is in use, and several may change their roles at once.
	loaded bool
	work   arrivingWork
}

// Resume returns the planner of a leader that follows another one: it treats the present
// roles as the result of load.
func Resume(share float64) *Planner { return &Planner{PrefillShare: share, loaded: true} }

// Plan records the present engines and returns the next changes, if any. Prefill engines
// that the load leaves idle change all at once: their capacity is not in use, and a burst
// may come before a second step. Decode engines change a few at a time, since each takes
// its capacity away.
func (p *Planner) Plan(now time.Time, engines []Engine) []Change {
	p.Observe(now, engines)
	prefill, decode, switching := byRole(engines)
	if len(engines) != p.engineCount {
		p.engineCount, p.changedAt = len(engines), now
		p.work.changedAt = time.Time{}
	}
	byWork := p.work.decides(now, len(prefill), len(decode))
	p.loaded = p.loaded || p.decodeUtilization >= minUtilization || byWork
	want := math.Max(p.wantPrefill(now, byWork, len(prefill), len(decode)), p.minPrefill(len(engines)))
	if now.Sub(p.changedAt) < settlingTime || p.loaded && (switching || now.Sub(p.plannedAt) < minChangeInterval) {
		return nil
	}
	changes := p.changes(prefill, decode, want)
	if len(changes) > 0 {
		p.plannedAt = now
	}
	for i := range changes {
		p.work.grown, p.work.changedAt = changes[i].Role == registry.Prefill, now
		if byWork {
			changes[i].Work = p.work.mean
		}
	}
	return changes
}

// changes returns the changes that bring the number of prefill engines towards want.
func (p *Planner) changes(prefill, decode []Engine, want float64) []Change {
	var out []Change
	maxPrefillChanges := max((len(prefill)+len(decode))/enginesPerChange, 1)
	for len(out) < len(prefill)+len(decode) {
		c := Change{Prefill: len(prefill), Decode: len(decode), PrefillUtilization: p.prefillUtilization, DecodeUtilization: p.decodeUtilization, WantPrefill: want}
		switch imbalance := want - float64(len(prefill)); {
		case imbalance < -minImbalance && len(prefill) > 1:
			c.Engine, c.Role = surplus(prefill), registry.Decode
			prefill, decode = move(prefill, decode, c.Engine)
		case imbalance > minImbalance && len(out) < maxPrefillChanges && len(spareable(decode)) > 0 && (p.prefillUtilization >= minPrefillUtilization || float64(len(prefill)) < p.minPrefill(len(prefill)+len(decode))):
			c.Engine, c.Role = leastUtilized(spareable(decode), prefill), registry.Prefill
			decode, prefill = move(decode, prefill, c.Engine)
		default:
			return out
		}
		out = append(out, c)
	}
	return out
}

// spareable returns the decode engines that may become prefill engines: all but the last one of each
// software version, since streams continue only at the version that began them.
func spareable(decode []Engine) []Engine {
	count := map[string]int{}
	for _, e := range decode {
		count[e.Version]++
	}
	return slices.DeleteFunc(slices.Clone(decode), func(e Engine) bool { return count[e.Version] < 2 })
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

// Observe averages the utilization of the engines of each role.
func (p *Planner) Observe(now time.Time, engines []Engine) {
	prefill, decode, _ := byRole(engines)
	utilization := meanUtilization(decode)
	if p.busySince.IsZero() || p.decodeUtilization < idleUtilization && utilization < idleUtilization {
		p.busySince = now
	}
	elapsed := now.Sub(p.observedAt)
	p.observedAt = now
	window := min(max(now.Sub(p.busySince), minAveragingTime), averagingTime)
	weight := min(float64(elapsed)/float64(window), 1) // the first observation has full weight
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

// wantPrefill returns the number of prefill engines at which both roles would reach full
// utilization at the same load: it divides the engines as the work is divided. The utilization
// stands for the work only if gateways don't report the work.
func (p *Planner) wantPrefill(now time.Time, byWork bool, prefill, decode int) float64 {
	total := prefill + decode
	if prefill == 0 {
		return 1
	}
	if byWork {
		return float64(p.work.wantPrefill(now, prefill, decode, int(p.minPrefill(total))))
	}
	if p.decodeUtilization < minUtilization || p.work.known(now) {
		if p.loaded {
			return float64(prefill) // keep the roles that the last load required
		}
		return math.Max(math.Round(p.PrefillShare*float64(total)), 1)
	}
	prefillLoad, decodeLoad := float64(prefill)*p.prefillUtilization, float64(decode)*p.decodeUtilization
	return float64(total) * prefillLoad / (prefillLoad + targetRatio*decodeLoad)
}

// minShareRatio is the ratio of PrefillShare below which the share of prefill engines
// never falls. With fewer, the loss of one, or the return of all callers after a fault,
// would leave prompts waiting for the seconds that another change takes.
const minShareRatio = 0.5

// minPrefill returns the minimum number of prefill engines.
func (p *Planner) minPrefill(total int) float64 {
	return math.Ceil(minShareRatio * p.PrefillShare * float64(total))
}

// surplus returns a prefill engine of the zone with the most prefill engines, preferably
// an idle one.
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

// leastUtilized returns a decode engine of the zone with the fewest prefill engines,
// there the one with the lowest utilization.
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
