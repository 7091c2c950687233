package control

import (
	"time"

	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// How long the report of others stands for what they use of the limits.
const (
	// gatewayHeardFor is for a gateway: it shows life every 0.4 s.
	gatewayUsageTTL = time.Second
	// peerHeardFor is for another replica and its gateways, some of the times in
	// which replicas tell each other. Until then the gateways of both sides of a cut use
	// the whole of each limit.
	peerUsageTTL = 300 * time.Millisecond
)

// setUse takes what organisations have used at a gateway.
func (h *hub) addUsage(l *wire.Link, u *quota.UsageUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.AddUsage(h.clock.Now(), l, u.Used)
}

// hear takes that a gateway has said something.
func (h *hub) noteActivity(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		g.lastMessageAt = h.clock.Now()
	}
}

// setPeerUse takes what another replica tells of the use of limits.
func (h *hub) applyPeerUsage(l *wire.Link, u *quota.UsageUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.peerUsageAt[l] = now
	h.ledger.ApplyPeerUpdate(now, u)
}

// group returns the number of gateways that are told of each other: those that this
// replica or another one has just heard. Callers hold the lock.
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

// seen returns the number of gateways that have a link to this replica; one that has
// started anew may have two for a moment. Callers hold the lock.
func (h *hub) linkedGateways() int {
	names := make(map[string]bool, len(h.gateways))
	for l := range h.gateways {
		names[l.Peer.Name] = true
	}
	return len(names)
}

// tellPeersUse tells the other replicas what organisations have used here. Callers hold
// the lock.
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

// tellUse tells the gateways that share with this replica what organisations have used
// elsewhere. Callers hold the lock.
func (h *hub) sendUsage(now time.Time) {
	if !h.hasOrganisations() {
		return
	}
	h.ledger.UpdateShares(now, h.liveGateways(now), h.linkedGateways(), h.partitioned)
	h.ledger.SendGatewayUpdates(now, func(l *wire.Link, u *quota.UsageUpdate) { _ = l.Send(&wire.Message{Use: u}) })
}

// keyed tells whether there are organisations, so that their use has to be told. Callers
// hold the lock.
func (h *hub) hasOrganisations() bool { return h.table != nil && h.table.Keyed }
