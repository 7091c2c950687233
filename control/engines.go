package control

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/roles"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// awayEngine is an engine that is changing its role.
type awayEngine struct {
	role string
	// earliestBack is the earliest time at which the engine can be back; at deadline it is
	// no longer waited for.
	earliestBack, deadline time.Time
}

// markAway records that an engine is changing its role, and notifies all gateways.
func (h *hub) markAway(id, role string, minDuration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.away[id] = awayEngine{role: role, earliestBack: now.Add(minDuration), deadline: now.Add(minDuration + awayGrace)}
	h.serversChanged = true
	h.sendToGateways(&wire.Message{Servers: &wire.Servers{Away: h.awayList(now)}})
}

// awayGrace is how long an engine is waited for beyond the minimum duration of a role
// change, since its runs finish first.
const awayGrace = 10 * time.Second

// awayList returns the engines that are away. It forgets those that are back or past their
// deadline. Callers hold h.mu.
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

// serviceEngines returns the engines of each service for the role planner, with the load
// that all gateways have reserved on them.
func (h *hub) serviceEngines(now time.Time) map[string][]roles.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awayList(now)
	out := map[string][]roles.Engine{}
	for _, s := range h.servers.List(now) {
		if s.Role == "" || s.State != registry.Ready || h.isEvacuated(s.Zone) || h.isLimited(now, s.ID) {
			continue
		}
		e := roles.Engine{ID: s.ID, Zone: s.Zone, Version: s.Version, Role: s.Role, Busy: h.totalLoads[s.ID].Prefill > 0, Utilization: h.utilization(s.Service, h.totalLoads[s.ID])}
		if a, ok := h.away[s.ID]; ok {
			e.Role, e.Switching = a.role, true
		}
		out[s.Service] = append(out[s.Service], e)
	}
	return out
}

// serviceWork returns the work that arrives for the engines of each service, from the demand of
// all gateways. Services whose gateways don't report work, because they are of an older build or
// have just started, are missing.
func (h *hub) serviceWork() map[string]roles.Work {
	sums := map[string]demand.Class{}
	for _, c := range h.demandTotals() {
		s := sums[c.Service]
		s.Rate += c.Rate
		s.Tokens += c.Tokens
		s.PrefillTime += c.PrefillTime
		s.KVTokens += c.KVTokens
		sums[c.Service] = s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]roles.Work{}
	for service, s := range sums {
		engine, ok := h.engineSpecLocked(service)
		if !ok || s.PrefillTime <= 0 || s.KVTokens <= 0 || s.Rate <= 0 || s.Tokens <= 0 {
			continue
		}
		requests := float64(s.Rate) / 1000
		load := wire.EngineLoad{Tokens: s.KVTokens, Runs: int(float64(s.KVTokens) * requests / float64(s.Tokens))}
		prefill := time.Duration(s.PrefillTime) * time.Microsecond
		out[service] = roles.Work{
			Prefill: prefill.Seconds(), Decode: utilization(engine, load),
			PrefillTime: time.Duration(float64(prefill) / requests), Objective: h.table.Objective(service),
		}
	}
	return out
}

// utilization returns the fraction of an engine that its runs occupy, of its memory or its
// slots, whichever is larger.
func (h *hub) utilization(service string, l wire.EngineLoad) float64 {
	engine, ok := h.engineSpecLocked(service)
	if !ok {
		return 0
	}
	return utilization(engine, l)
}

// utilization returns the capacity that a load occupies, in engines.
func utilization(engine route.Engine, l wire.EngineLoad) float64 {
	memory := float64(l.Tokens) / (dispatch.MemoryOvercommit * float64(max(engine.KVTokens, 1)))
	slots := float64(l.Runs) / float64(max(engine.Slots, 1))
	return max(memory, slots)
}

// engineSpecLocked returns what the table specifies for the engines of a service. Callers
// hold h.mu.
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

// engineSpec returns what the table specifies for the engines of a service.
func (h *hub) engineSpec(service string) (route.Engine, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engineSpecLocked(service)
}

// server returns a server by the ID of its incarnation.
func (h *hub) server(id string) (registry.Server, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.Get(id)
}
