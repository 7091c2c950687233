package gateway

import (
	"slices"
	"strings"
	"sync"

	"github.com/ledgepin/ledgepin/event"
	fleetstate "github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/wire"
)

// evacuatedZones holds the availability zones that get no new work, as last reported by a replica.
type evacuatedZones struct {
	mu     sync.RWMutex
	number uint64
	zones  map[string]fleetstate.EvacuatedZone
}

// update applies a report of a replica, unless a later one is known. It returns the zones whose
// evacuation has started and those whose evacuation has finished, and whether the report was
// applied.
func (e *evacuatedZones) update(m *wire.Evacuated) (started, finished []string, changed bool) {
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
			started = append(started, z.Zone)
		}
	}
	for zone := range before {
		if _, still := e.zones[zone]; !still {
			finished = append(finished, zone)
		}
	}
	return started, finished, true
}

// has reports whether a zone gets no new work.
func (e *evacuatedZones) has(zone string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.zones[zone]
	return ok
}

func (e *evacuatedZones) list() []fleetstate.EvacuatedZone {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var out []fleetstate.EvacuatedZone
	for _, z := range e.zones {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b fleetstate.EvacuatedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// updateEvacuated applies a replica's report of evacuations.
func (g *Gateway) updateEvacuated(m *wire.Evacuated) {
	started, finished, changed := g.evacuated.update(m)
	if !changed {
		return
	}
	g.fleet.setEvacuated(g.evacuated.names())
	for _, zone := range started {
		event.ZoneEvacuated.Log(g.log, "zone", zone)
	}
	for _, zone := range finished {
		event.ZoneEvacuated.Log(g.log, "zone", zone, "finished", true)
	}
}

func (e *evacuatedZones) names() []string {
	var out []string
	for _, z := range e.list() {
		out = append(out, z.Zone)
	}
	return out
}
