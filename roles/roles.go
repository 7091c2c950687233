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
	// memoryTime is the time over which use is averaged.
	memoryTime  = 15 * time.Second
	leastMemory = 2 * time.Second
	idleUse     = 0.05
	// leastUse is the use of the decode engines below which the balance says
	// nothing.
	leastUse = 0.4
	// balance is the use of prefill engines over that of decode engines that
	// is aimed at. A prompt waits tenths of a second where engines are busy, a
	// run that finds no room is refused.
	balance = 1.1
	// shortUse is the use from which on prefill engines may get more of them.
	// When a load rises, prefill engines are busy at once and decode engines
	// only once runs have added up: the balance alone would take that for a want
	// of prefill engines, and take decode engines away at the worst time.
	shortUse = 0.55
	// offBy is the number of engines that the balance must be off by: more than half
	// of one, which would only be rounding.
	offBy = 0.6
	// between is the least time between the orders for a service, and batchOf
	// the number of engines for each of which one decode engine may become a prefill
	// engine at once.
	between = 8 * time.Second
	batchOf = 12
	// settled is how long the set of engines must stay the same before the
	// first order.
	settled = 1500 * time.Millisecond
)

// Planner plans for one service.
type Planner struct {
	// PrefillShare is the share of prefill engines while there is no load to tell.
	PrefillShare float64

	prefillUse, decodeUse float64
	// useSince is when the engines began to be used.
	useSince  time.Time
	seenAt    time.Time
	orderedAt time.Time
	changedAt time.Time
	count     int
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
	prefill, decode, away := split(engines)
	if len(engines) != p.count {
		p.count, p.changedAt = len(engines), now
	}
	p.loaded = p.loaded || p.decodeUse >= leastUse
	if now.Sub(p.changedAt) < settled || p.loaded && (away || now.Sub(p.orderedAt) < between) {
		return nil
	}
	want := math.Max(p.want(len(prefill), len(decode)), p.floor(len(engines)))
	orders := p.orders(prefill, decode, want)
	if len(orders) > 0 {
		p.orderedAt = now
	}
	return orders
}

// orders returns the changes that bring the number of prefill engines towards
// the one that is wanted.
func (p *Planner) orders(prefill, decode []Engine, want float64) []Change {
	var out []Change
	most := max((len(prefill)+len(decode))/batchOf, 1)
	for len(out) < len(prefill)+len(decode) {
		o := Change{Prefill: len(prefill), Decode: len(decode), PrefillUtilization: p.prefillUse, DecodeUtilization: p.decodeUse, WantPrefill: want}
		switch off := want - float64(len(prefill)); {
		case off < -offBy && len(prefill) > 1:
			o.Engine, o.Role = surplus(prefill), registry.Decode
			prefill, decode = change(prefill, decode, o.Engine)
		case off > offBy && len(out) < most && len(decode) > 1 && (p.prefillUse >= shortUse || float64(len(prefill)) < p.floor(len(prefill)+len(decode))):
			o.Engine, o.Role = lightest(decode, prefill), registry.Prefill
			decode, prefill = change(decode, prefill, o.Engine)
		default:
			return out
		}
		out = append(out, o)
	}
	return out
}

// change moves an engine from one list to the other.
func change(from, to []Engine, id string) (rest, grown []Engine) {
	for _, e := range from {
		if e.ID == id {
			to = append(to, e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest, to
}

func split(engines []Engine) (prefill, decode []Engine, away bool) {
	for _, e := range engines {
		away = away || e.Switching
		switch e.Role {
		case registry.Prefill:
			prefill = append(prefill, e)
		case registry.Decode:
			decode = append(decode, e)
		}
	}
	return prefill, decode, away
}

// Observe averages how busy the engines of each role are.
func (p *Planner) Observe(now time.Time, engines []Engine) {
	prefill, decode, _ := split(engines)
	use := used(decode)
	if p.useSince.IsZero() || p.decodeUse < idleUse && use < idleUse {
		p.useSince = now
	}
	passed := now.Sub(p.seenAt)
	p.seenAt = now
	memory := min(max(now.Sub(p.useSince), leastMemory), memoryTime)
	part := min(float64(passed)/float64(memory), 1) // the first time counts whole
	p.prefillUse += part * (busy(prefill) - p.prefillUse)
	p.decodeUse += part * (use - p.decodeUse)
}

func busy(list []Engine) float64 {
	n := 0.0
	for _, e := range list {
		if e.Busy {
			n++
		}
	}
	return n / float64(max(len(list), 1))
}

func used(list []Engine) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.Utilization
	}
	return sum / float64(max(len(list), 1))
}

// want returns the number of prefill engines at which both roles would be full
// at the same load: the engines are divided as the work is.
func (p *Planner) want(prefill, decode int) float64 {
	all := prefill + decode
	if prefill == 0 {
		return 1
	}
	if p.decodeUse < leastUse {
		if p.loaded {
			return float64(prefill) // what the load asked for stays
		}
		return math.Max(math.Round(p.PrefillShare*float64(all)), 1)
	}
	reads, runs := float64(prefill)*p.prefillUse, float64(decode)*p.decodeUse
	return float64(all) * reads / (reads + balance*runs)
}

// floorShare is the part of the share of the settings below which prefill engines
// never fall: the loss of one, or the return of all callers after a fault, would
// leave prompts waiting for the seconds that another change takes.
const floorShare = 0.5

// floor is the least number of prefill engines.
func (p *Planner) floor(all int) float64 {
	return math.Ceil(floorShare * p.PrefillShare * float64(all))
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

// lightest returns the least used decode engine, of a zone with few prefill
// engines if there is one.
func lightest(decode, prefill []Engine) string {
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
