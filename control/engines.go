package control

import (
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/roles"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// awayEngine is an engine that is changing its role.
type awayEngine struct {
	role string
	// back is the soonest that it can be back, and given the latest that it is
	// waited for.
	earliestBack, deadline time.Time
}

// setAway tells all gateways that an engine changes its role.
func (h *hub) markAway(id, role string, minDuration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.away[id] = awayEngine{role: role, earliestBack: now.Add(minDuration), deadline: now.Add(minDuration + awayGrace)}
	h.serversChanged = true
	h.sendToGateways(&wire.Message{Servers: &wire.Servers{Away: h.awayList(now)}})
}

// awayLimit is how long an engine is waited for beyond the least time: its runs
// come to their end first.
const awayGrace = 10 * time.Second

// awayList returns the engines that are away, and forgets those that are back
// or are not waited for any more. Callers hold the lock.
func (h *hub) awayList(now time.Time) []wire.Away {
	var out []wire.Away
	for id, a := range h.away {
		s, known := h.servers.Get(id)
		done := known && s.Role == a.role && now.After(a.earliestBack)
		if !known || done || now.After(a.deadline) {
			delete(h.away, id)
			continue
		}
		out = append(out, wire.Away{Server: id, Role: a.role, For: max(a.earliestBack.Sub(now), 0)})
	}
	return out
}

// engines returns the engines of each service for the planner, with what all
// gateways have reserved there.
func (h *hub) serviceEngines(now time.Time) map[string][]roles.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awayList(now)
	out := map[string][]roles.Engine{}
	for _, s := range h.servers.List(now) {
		if s.Role == "" || s.State != registry.Ready || h.isEvacuated(s.Zone) || h.isLimited(now, s.ID) {
			continue
		}
		e := roles.Engine{ID: s.ID, Zone: s.Zone, Role: s.Role, Busy: h.totalLoads[s.ID].Prefill > 0, Utilization: h.utilization(s.Service, h.totalLoads[s.ID])}
		if a, ok := h.away[s.ID]; ok {
			e.Role, e.Switching = a.role, true
		}
		out[s.Service] = append(out[s.Service], e)
	}
	return out
}

// used returns the share of an engine that its runs fill, by memory or by
// slots.
func (h *hub) utilization(service string, l wire.EngineLoad) float64 {
	engine, ok := h.engineSpecLocked(service)
	if !ok {
		return 0
	}
	memory := float64(l.Tokens) / (dispatch.MemoryOvercommit * float64(max(engine.KVTokens, 1)))
	slots := float64(l.Runs) / float64(max(engine.Slots, 1))
	return max(memory, slots)
}

// engine returns what the table says of the engines of a service. Callers hold
// the lock.
func (h *hub) engineSpecLocked(service string) (route.Engine, bool) {
	if h.table == nil {
		return route.Engine{}, false
	}
	s := h.table.Service(service)
	if s == nil || s.Engine == nil {
		return route.Engine{}, false
	}
	return *s.Engine, true
}

// engineOf returns what the table says of the engines of a service.
func (h *hub) engineSpec(service string) (route.Engine, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engineSpecLocked(service)
}

// get returns a server by the name of its incarnation.
func (h *hub) server(id string) (registry.Server, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.Get(id)
}
