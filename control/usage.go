package control

import (
	"time"

	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// How long the last report of a gateway or replica about its usage of limits is current.
const (
	// gatewayUsageTTL applies to a gateway, which sends a heartbeat every 0.4 s.
	gatewayUsageTTL = time.Second
	// peerUsageTTL applies to another replica and its gateways: several times the interval
	// at which replicas report to each other. Until it expires in a partition, the gateways
	// of both sides may each use the whole limit.
	peerUsageTTL = 300 * time.Millisecond
)

// addUsage adds what organisations have used at a gateway.
func (h *hub) addUsage(l *wire.Link, u *quota.UsageUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.AddUsage(h.clock.Now(), l, u.Used)
}

// noteActivity records that a gateway has sent a message.
func (h *hub) noteActivity(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		g.lastMessageAt = h.clock.Now()
	}
}

// applyPeerUsage applies what another replica reports about the usage of limits.
func (h *hub) applyPeerUsage(l *wire.Link, u *quota.UsageUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.peerUsageAt[l] = now
	h.ledger.ApplyPeerUpdate(now, u)
}

// liveGateways returns the number of gateways that receive each other's usage: those that
// have recently sent a message to this replica or to another one. Callers hold h.mu.
func (h *hub) liveGateways(now time.Time) int {
	n := 0
	for _, g := range h.gateways {
		if g.reportsLoads && now.Sub(g.lastMessageAt) < gatewayUsageTTL {
			n++
		}
	}
	for l, s := range h.peerLoads {
		if now.Sub(h.peerUsageAt[l]) < peerUsageTTL {
			n += s.gateways
		}
	}
	return n
}

// linkedGateways returns the number of gateways that have a link to this replica. A
// restarted gateway may have two links for a moment and counts once. Callers hold h.mu.
func (h *hub) linkedGateways() int {
	names := make(map[string]bool, len(h.gateways))
	for l := range h.gateways {
		names[l.Peer.Name] = true
	}
	return len(names)
}

// sendUsageToPeers sends the other replicas what organisations have used here. Callers hold
// h.mu.
func (h *hub) sendUsageToPeers(now time.Time) {
	if !h.hasOrganisations() {
		return
	}
	u := h.ledger.PeerUpdate(now)
	if u == nil {
		return
	}
	frame, err := wire.Marshal(&wire.Message{Use: u})
	if err != nil {
		return
	}
	for l := range h.peers {
		_ = l.SendFrame(frame)
	}
}

// sendUsage sends the gateways that report their load to this replica what organisations
// have used elsewhere. Callers hold h.mu.
func (h *hub) sendUsage(now time.Time) {
	if !h.hasOrganisations() {
		return
	}
	h.ledger.UpdateShares(now, h.liveGateways(now), h.linkedGateways(), h.partitioned)
	h.ledger.SendGatewayUpdates(now, func(l *wire.Link, u *quota.UsageUpdate) { _ = l.Send(&wire.Message{Use: u}) })
}

// hasOrganisations reports whether there are organisations, so that their usage has to be
// exchanged. Callers hold h.mu.
func (h *hub) hasOrganisations() bool { return h.table != nil && h.table.Keyed }
