package control

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Gateways of builds that support neither evacuations nor cold servers only avoid a server
// while it changes its role. So they are notified that a server which they should avoid
// changes to a role that no server ever has. This is repeated, since a gateway applies a
// role change for some seconds only. In the end they are notified that the server has its
// former role.

const (
	excludedRole      = "kept"
	excludedFor       = 5 * time.Second
	excludeAgainEvery = time.Second
)

// updateOlderGateways notifies older gateways which servers to avoid. Callers hold h.mu.
func (h *hub) updateOlderGateways(now time.Time) {
	var list []registry.Server
	for l, g := range h.gateways {
		if l.Version() >= wire.EvacuationsVersion {
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

// exclusionUpdates returns the role changes that are due for a gateway, for the servers of
// a list. Callers hold h.mu.
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
