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
	// smallFleet is the number of servers up to which an entry keeps a link to
	// each; in a larger one it has links to its own zone, and borrows.
	smallFleet = 64
	// borrowEach is the number of servers of each role that are borrowed.
	borrowEach = 4
	// borrowTime is how long they are kept after the zone was last short.
	borrowTime = 30 * time.Second
	// shortTime is how long a refusal counts as a sign that the zone is short.
	shortTime = 5 * time.Second
)

// linked tells whether the entry of a large fleet keeps a link to a server of
// another zone: those of plain services, which vote on claims, and those that
// are borrowed.
func (e *Entry) linked(p settings.PlacedServer) bool {
	_, ok := e.borrowed[p.Name]
	return ok || p.Role == settings.RoleService
}

// takeZones keeps what other zones have free and passes it on. Callers hold
// the lock.
func (e *Entry) takeZones(m *wire.Message) {
	e.zones = m.Zones.Free
	for l := range e.down {
		_ = l.Send(m)
	}
}

// spill borrows servers of the zone with the most room while the entry's own
// zone is short of a model, and gives them back after. Callers hold the lock.
func (e *Entry) spill(now time.Time) {
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
			e.short[model] = now
		}
		if now.Sub(e.short[model]) < shortTime && e.borrow(now, model) {
			changed = true
		}
	}
	if changed {
		e.apply(now)
	}
}

// borrow picks servers for a model; it reports whether there are new ones.
func (e *Entry) borrow(now time.Time, model string) bool {
	zone := e.roomiest(model)
	if zone == "" {
		return false
	}
	changed := false
	left := map[string]int{settings.RolePrefill: borrowEach, settings.RoleDecode: borrowEach}
	for _, p := range e.byNearness(zone, model) {
		if left[p.Role] == 0 {
			continue
		}
		left[p.Role]--
		if _, ok := e.borrowed[p.Name]; !ok {
			changed = true
			event.Borrowed.Log(e.log, "server", p.Name, "zone", zone, "model", model)
		}
		e.borrowed[p.Name] = now.Add(borrowTime)
	}
	return changed
}

// roomiest returns the other zone with the most room for a model, by the
// scarcer of its two roles.
func (e *Entry) roomiest(model string) string {
	best, most := "", 0
	for _, z := range e.zones {
		if n := min(z.Prefill[model], z.Decode[model]); z.Zone != e.cfg.Zone && n > most {
			best, most = z.Zone, n
		}
	}
	return best
}

// byNearness lists the servers of a zone for a model in an order that differs
// between entries, so that they do not all borrow the same ones.
func (e *Entry) byNearness(zone, model string) []settings.PlacedServer {
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
