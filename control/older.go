package control

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Gateways of builds that know neither evacuations nor cold servers leave a server alone while
// it changes its role. So they are told that a server which they should keep away from changes
// to a role that none ever has, again and again, since a change is believed for some seconds
// only; and in the end that it has the role that it had.

const (
	excludedRole      = "kept"
	excludedFor       = 5 * time.Second
	excludeAgainEvery = time.Second
)

// keepOlder tells older gateways which servers they should keep away from. Callers hold the
// lock.
func (h *hub) updateOlderGateways(now time.Time) {
	var list []registry.Server
	for l, g := range h.gateways {
		if l.Speaks() >= wire.KnowsEvacuations {
			continue
		}
		if list == nil {
			list = h.servers.List(now)
		}
		if away := h.exclusionUpdates(now, g, list); len(away) > 0 {
			_ = l.Send(&wire.Message{Servers: &wire.Servers{Away: away}})
		}
	}
}

// keptFrom returns what a gateway is told now of the servers of a list.
func (h *hub) exclusionUpdates(now time.Time, g *gatewayState, list []registry.Server) []wire.Away {
	var out []wire.Away
	for _, s := range list {
		sentAt, excluded := g.excluded[s.ID]
		exclude := s.State == registry.Ready && (h.isEvacuated(s.Zone) || h.isCold(now, s))
		switch {
		case exclude && (!excluded || now.Sub(sentAt) >= excludeAgainEvery):
			g.excluded[s.ID] = now
			out = append(out, wire.Away{Server: s.ID, Role: excludedRole, For: excludedFor})
		case !exclude && excluded:
			delete(g.excluded, s.ID)
			out = append(out, wire.Away{Server: s.ID, Role: s.Role})
		}
	}
	return out
}
