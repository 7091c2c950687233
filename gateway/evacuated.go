package gateway

import (
	"slices"
	"strings"
	"sync"

	"github.com/ledgepin/ledgepin/event"
	fleetstate "github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/wire"
)

// evacuated is the availability zones that get no new work, as the replicas told last.
type evacuated struct {
	mu     sync.RWMutex
	number uint64
	zones  map[string]fleetstate.EvacuatedZone
}

// take takes what a replica tells, unless a later report is known. It returns the zones that
// are evacuated now and were not, and those that may get work again.
func (e *evacuated) take(m *wire.Evacuated) (begun, finished []string, news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Number <= e.number {
		return nil, nil, false
	}
	before := e.zones
	e.number, e.zones = m.Number, map[string]fleetstate.EvacuatedZone{}
	for _, z := range m.Zones {
		e.zones[z.Zone] = z
		if _, known := before[z.Zone]; !known {
			begun = append(begun, z.Zone)
		}
	}
	for zone := range before {
		if _, still := e.zones[zone]; !still {
			finished = append(finished, zone)
		}
	}
	return begun, finished, true
}

// has tells whether a zone gets no new work.
func (e *evacuated) has(zone string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.zones[zone]
	return ok
}

func (e *evacuated) list() []fleetstate.EvacuatedZone {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var out []fleetstate.EvacuatedZone
	for _, z := range e.zones {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b fleetstate.EvacuatedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// takeEvacuated follows what a replica tells of evacuations.
func (g *Gateway) takeEvacuated(m *wire.Evacuated) {
	begun, finished, news := g.evacuated.take(m)
	if !news {
		return
	}
	g.fleet.evacuate(g.evacuated.names())
	for _, zone := range begun {
		event.ZoneEvacuated.Log(g.log, "zone", zone)
	}
	for _, zone := range finished {
		event.ZoneEvacuated.Log(g.log, "zone", zone, "finished", true)
	}
}

func (e *evacuated) names() []string {
	var out []string
	for _, z := range e.list() {
		out = append(out, z.Zone)
	}
	return out
}
