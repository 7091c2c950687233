package entry

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

const (
	// smallFleet is the number of servers up to which an entry has a link to each
	// of them. In a larger fleet it has links to the servers of its own zone, and
	// borrows servers of other zones.
	smallFleet = 64
	// borrowedPerRole is the number of servers of each role that are borrowed for a model.
	borrowedPerRole = 4
	// borrowDuration is how long they are kept after the last shortage in the zone.
	borrowDuration = 30 * time.Second
	// shortageDuration is how long the zone counts as short of a model after a refusal.
	shortageDuration = 5 * time.Second
)

// keepsLink reports whether the entry of a large fleet has a link to a server of
// another zone. It has links to servers of plain services, whose agents vote on
// claims, and to borrowed servers.
func (e *Entry) keepsLink(p settings.PlacedServer) bool {
	_, ok := e.borrowed[p.Name]
	return ok || p.Role == settings.RoleService
}

// handleZones stores the free capacity of the zones and forwards it downstream.
// Callers hold the lock.
func (e *Entry) handleZones(m *wire.Message) {
	e.zoneCapacity = m.Zones.Free
	for l := range e.downstream {
		_ = l.Send(m)
	}
}

// borrowServers borrows servers of the zone with the most capacity while the entry's
// own zone is short of a model, and releases them afterwards. Callers hold the lock.
func (e *Entry) borrowServers(now time.Time) {
	changed := false
	for name, until := range e.borrowed {
		s := e.core.View().Server(name)
		if now.After(until) && (s == nil || s.OwnSlots() == 0) {
			delete(e.borrowed, name)
			changed = true
		}
	}
	for model := range e.store.Tree().Fleet.Models {
		if !e.core.View().ServesModel(model) {
			e.shortages[model] = now
		}
		if now.Sub(e.shortages[model]) < shortageDuration && e.borrowFor(now, model) {
			changed = true
		}
	}
	if changed {
		e.applySettings(now)
	}
}

// borrowFor borrows servers for a model, and reports whether some of them are new.
func (e *Entry) borrowFor(now time.Time, model string) bool {
	zone := e.zoneWithMostCapacity(model)
	if zone == "" {
		return false
	}
	changed := false
	remaining := map[string]int{settings.RolePrefill: borrowedPerRole, settings.RoleDecode: borrowedPerRole}
	for _, p := range e.rankedServers(zone, model) {
		if remaining[p.Role] == 0 {
			continue
		}
		remaining[p.Role]--
		if _, ok := e.borrowed[p.Name]; !ok {
			changed = true
			event.ServerBorrowed.Log(e.log, "server", p.Name, "zone", zone, "model", model)
		}
		e.borrowed[p.Name] = now.Add(borrowDuration)
	}
	return changed
}

// zoneWithMostCapacity returns the other zone with the most capacity for a model, by the
// scarcer of its two roles, or "" if there is none.
func (e *Entry) zoneWithMostCapacity(model string) string {
	best, maxFree := "", 0
	for _, z := range e.zoneCapacity {
		if n := min(z.Prefill[model], z.Decode[model]); z.Zone != e.cfg.Zone && n > maxFree {
			best, maxFree = z.Zone, n
		}
	}
	return best
}

// rankedServers returns the servers of a zone for a model in an order that differs
// between entries, so that they do not all borrow the same ones.
func (e *Entry) rankedServers(zone, model string) []settings.PlacedServer {
	var out []settings.PlacedServer
	for _, p := range e.store.Tree().Servers() {
		for _, m := range p.Models {
			if p.Zone == zone && m == model {
				out = append(out, p)
			}
		}
	}
	rank := func(p settings.PlacedServer) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.cfg.Name + "/" + p.Name))
		return h.Sum64()
	}
	sort.Slice(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}
