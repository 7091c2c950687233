package control

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/warmup"
	"github.com/ledgepin/ledgepin/wire"
)

// coldCheckEvery is the interval at which cold servers are determined.
const coldCheckEvery = 100 * time.Millisecond

// coldService returns the table entry of a service, and whether the service limits the
// request rate of its cold servers. Callers hold h.mu.
func (h *hub) coldService(name string) (*route.Service, bool) {
	if h.table == nil {
		return nil, false
	}
	s := h.table.Service(name)
	return s, s != nil && s.ColdRate > 0
}

// isCold reports whether a server accepts fewer requests than usual. Servers of a zone
// whose evacuation was finished count as cold until they report again, since their caches
// may have been dropped. Callers hold h.mu.
func (h *hub) isCold(now time.Time, s registry.Server) bool {
	service, limited := h.coldService(s.Service)
	if !limited {
		return false
	}
	reportedAt := now.Add(-s.Age)
	finishedAt := h.evacuationEndedAt[s.Zone]
	unconfirmed := !finishedAt.IsZero() && !reportedAt.After(finishedAt) && now.Sub(finishedAt) < service.ColdStart
	return unconfirmed || reportedAt.Add(s.Cold).After(now)
}

// leaseColdServers leases this replica's share of each cold server to the gateways that
// report their load here. Callers hold h.mu.
func (h *hub) leaseColdServers(now time.Time) {
	if now.Sub(h.coldCheckedAt) < coldCheckEvery {
		return
	}
	h.coldCheckedAt = now
	h.updateOlderGateways(now)
	if !h.hasColdLimits {
		return
	}
	var cold []warmup.ColdServer
	shares := map[string]int{}
	for _, s := range h.servers.List(now) {
		if s.State != registry.Ready || h.isEvacuated(s.Zone) || !h.isCold(now, s) {
			continue
		}
		service, _ := h.coldService(s.Service)
		if share := h.coldBounds.Share(service.ColdRate, len(h.replicas), h.replicaIndex()); share > 0 {
			shares[s.ID] = share
			cold = append(cold, warmup.ColdServer{Server: s.ID, Gateways: h.gatewaysOf(s.ID)})
		}
	}
	if len(cold) == 0 {
		return
	}
	leases := map[string][]wire.ColdLease{}
	for _, g := range h.broker.Lease(now, cold) {
		leases[g.Gateway] = append(leases[g.Gateway], wire.ColdLease{Server: g.Server, Most: shares[g.Server], For: warmup.LeaseTTL})
	}
	for l, g := range h.gateways {
		if list := leases[g.id]; len(list) > 0 {
			_ = l.Send(&wire.Message{Cold: list})
		}
	}
}

// replicaIndex returns the position of this replica in the sorted list of replicas, or a
// negative number if it is not in the list. Callers hold h.mu.
func (h *hub) replicaIndex() int {
	sorted := slices.Clone(h.replicas)
	slices.Sort(sorted)
	return slices.Index(sorted, h.name)
}

// gatewaysOf returns the IDs of the gateways that report their load to this replica and
// work with a server. Callers hold h.mu.
func (h *hub) gatewaysOf(server string) []string {
	var out []string
	for l, g := range h.gateways {
		if _, works := g.servers[server]; works && g.reportsLoads && l.Version() >= wire.EvacuationsVersion {
			out = append(out, g.id)
		}
	}
	slices.Sort(out)
	return out
}
