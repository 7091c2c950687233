package control

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/warmup"
	"github.com/ledgepin/ledgepin/wire"
)

// coldEvery is the time between two looks at which servers are cold.
const coldCheckEvery = 100 * time.Millisecond

// coldService returns what the table says of the cold servers of a service; false if they bear
// as much as others. Callers hold the lock.
func (h *hub) coldService(name string) (*route.Service, bool) {
	if h.table == nil {
		return nil, false
	}
	s := h.table.Service(name)
	return s, s != nil && s.ColdRate > 0
}

// isCold tells whether a server bears fewer requests than usual. Where its availability zone was
// given back and it has not reported itself since, its caches may have been dropped. Callers
// hold the lock.
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

// tellCold lends this replica's parts of cold servers to the gateways that share with it.
// Callers hold the lock.
func (h *hub) lendColdServers(now time.Time) {
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
	for _, g := range h.broker.Lend(now, cold) {
		leases[g.Gateway] = append(leases[g.Gateway], wire.ColdLease{Server: g.Server, Most: shares[g.Server], For: warmup.LeaseTTL})
	}
	for l, g := range h.gateways {
		if list := leases[g.id]; len(list) > 0 {
			_ = l.Send(&wire.Message{Cold: list})
		}
	}
}

// index returns which of the replicas this one is; below zero if it is none of them. Callers
// hold the lock.
func (h *hub) replicaIndex() int {
	sorted := slices.Clone(h.replicas)
	slices.Sort(sorted)
	return slices.Index(sorted, h.name)
}

// workWith returns the IDs of the gateways that share with this replica and work with a server.
// Callers hold the lock.
func (h *hub) gatewaysOf(server string) []string {
	var out []string
	for l, g := range h.gateways {
		if _, works := g.servers[server]; works && g.reportsLoads && l.Speaks() >= wire.KnowsEvacuations {
			out = append(out, g.id)
		}
	}
	slices.Sort(out)
	return out
}
