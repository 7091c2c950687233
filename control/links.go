package control

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// peerLink is the connection to another replica. Packets are dropped while there is no
// link; the protocol sends them again.
type peerLink struct {
	addr string
	stop context.CancelFunc
	link *wire.Link
}

// dialPeer starts the loop that keeps a link to a replica open. Callers hold c.mu.
func (c *Control) dialPeer(name, addr string) {
	if previous := c.peerLinks[name]; previous != nil {
		if previous.addr == addr {
			return
		}
		previous.stop()
	}
	if name == c.cfg.Name {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	p := &peerLink{addr: addr, stop: cancel}
	c.peerLinks[name] = p
	c.wg.Go(func() { c.peerLoop(ctx, p) })
}

// redialDelay is the time between two attempts to open a link to another replica.
const redialDelay = 60 * time.Millisecond

func (c *Control) peerLoop(ctx context.Context, p *peerLink) {
	for ctx.Err() == nil {
		l, err := c.dialer.Dial(ctx, p.addr, c.options())
		if err == nil {
			c.runPeer(ctx, p, l)
		}
		wait.For(ctx, redialDelay)
	}
}

// runPeer runs a link that this replica opened.
func (c *Control) runPeer(ctx context.Context, p *peerLink, l *wire.Link) {
	c.mu.Lock()
	ok := c.addReplicaLink(l)
	if ok {
		p.link = l
	}
	c.mu.Unlock()
	if !ok {
		c.holdRefusedLink(ctx, l)
		return
	}
	_ = l.Run(ctx, func(m *wire.Message) { c.handlePeerMessage(l, m) })
	c.hub.forgetPeer(l)
	c.mu.Lock()
	p.link = nil
	c.removeReplicaLink(l)
	c.mu.Unlock()
}

// sendPacket sends a packet to a replica. Callers hold c.mu.
func (c *Control) sendPacket(p consensus.Packet) {
	if peer := c.peerLinks[baseName(p.To)]; peer != nil && peer.link != nil {
		_ = peer.link.Send(&wire.Message{Raft: &p})
	}
}

// serve runs a link that another process opened.
func (c *Control) serve(l *wire.Link) {
	if l.Peer.Role == wire.RoleGateway {
		c.serveGateway(l)
		return
	}
	if l.Peer.Role == wire.RoleFounder {
		c.mu.Lock()
		c.askedToFound[l.Peer.Name] = true
		c.mu.Unlock()
	}
	isDownstream := l.Peer.Role != wire.RoleControl
	if !isDownstream && l.Peer.Name == "" {
		event.BadPeer.Log(c.log, "error", "a replica without identity")
		return
	}
	c.mu.Lock()
	if isDownstream {
		c.downstream[l] = true
	} else if !c.addReplicaLink(l) {
		c.mu.Unlock()
		c.holdRefusedLink(c.ctx, l)
		return
	} else {
		c.connected[l.Peer.Name]++
		c.markReplacedVoters(l.Peer.Name)
		if c.cfg.Discovery != nil {
			c.dialAddresses([]string{baseName(l.Peer.Name)})
		}
	}
	c.mu.Unlock()
	if !isDownstream {
		c.hub.addPeer(l)
		defer c.hub.removePeer(l)
	}
	err := l.Run(c.ctx, func(m *wire.Message) { c.handleMessage(l, m) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if isDownstream {
		delete(c.downstream, l)
	} else {
		c.removeReplicaLink(l)
		// A new link of the same replica may already be open.
		if c.connected[l.Peer.Name]--; c.connected[l.Peer.Name] <= 0 {
			delete(c.connected, l.Peer.Name)
		}
	}
	if c.ctx.Err() == nil {
		event.LinkDown.Log(c.log, "peer", l.Peer.Name, "why", err)
	}
}

// serveGateway runs the link of a gateway.
func (c *Control) serveGateway(l *wire.Link) {
	c.mu.Lock()
	current := c.node != nil && c.node.Fresh(c.clock.Now())
	c.mu.Unlock()
	c.hub.addGateway(l, current)
	err := l.Run(c.ctx, func(m *wire.Message) {
		c.hub.noteActivity(l)
		switch {
		case m.Loads != nil:
			c.hub.setLoads(l, m.Loads)
		case m.Use != nil:
			c.hub.addUsage(l, m.Use)
		case m.Limits != nil:
			c.hub.handleLimits(l, m.Limits)
		case m.Servers != nil:
			c.hub.handleLeaving(m.Servers.List)
		case m.Contents != nil:
			c.hub.mergeContents(m.Contents)
		case m.Survivals != nil:
			c.hub.mergeSurvivals(m.Survivals)
		case m.Origins != nil:
			c.hub.handleOrigins(l, m.Origins)
		case m.Routes != nil:
			c.hub.sendNewerTable(l, m.Routes.Version)
		}
	})
	c.hub.removeGateway(l)
	if c.ctx.Err() == nil {
		event.LinkDown.Log(c.log, "peer", l.Peer.Name, "why", err)
	}
}

func (c *Control) handleMessage(l *wire.Link, m *wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node == nil {
		return
	}
	now := c.clock.Now()
	switch {
	case m.Raft != nil:
		if err := c.checkReadable(m.Raft); err != nil {
			c.rejectPacket(now, l, err)
			return
		}
		c.node.Step(now, *m.Raft)
		c.processReady(now)
	case m.Pull != nil:
		c.sendSettings(now, l, m.Pull.Have)
	case m.Heartbeat != nil:
		if m.Heartbeat.Revision < c.state.Revision() {
			c.sendSettings(now, l, m.Heartbeat.Revision)
		}
	case m.Summary != nil:
		c.zoneSummaries[m.Summary.Zone] = m.Summary
	case m.Ordered != nil:
		c.handleOrderResult(m.Ordered)
	case m.Shares != nil:
		c.leaseQuota(now, l, m.Shares)
	}
}

// sendSettings sends a peer the settings that it lacks, and whether this replica confirms
// that they are the newest.
func (c *Control) sendSettings(now time.Time, l *wire.Link, have uint64) {
	if m := c.store.UpdateFor(have); m != nil {
		m.Confirmed = c.node.Fresh(now)
		_ = l.Send(&wire.Message{Settings: m})
	}
}

// publish sends the newest revision of the state to all downstream links.
func (c *Control) publish(now time.Time) {
	text := c.state.Text()
	if len(text) == 0 {
		return
	}
	m := &wire.Settings{Revision: c.state.Revision(), Sum: sha256.Sum256(text), Whole: text}
	if c.store.Apply(now, m) != spread.Applied {
		return
	}
	for name, member := range c.store.Tree().Fleet.Control {
		c.dialPeer(name, member.Address)
	}
	for l := range c.downstream {
		c.sendSettings(now, l, c.store.Revision()-1)
	}
}

// sendHeartbeats sends the newest revision to every downstream link, and a heartbeat to the
// gateways and replicas.
func (c *Control) sendHeartbeats(now time.Time) {
	c.hub.sendHeartbeats()
	if !c.node.Fresh(now) {
		// Keeps the link alive without confirming a revision.
		c.sendDownstream(&wire.Message{Heartbeat: &wire.Heartbeat{}})
	} else {
		c.sendDownstream(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: c.state.Revision()}})
	}
	for _, p := range c.peerLinks {
		if p.link != nil {
			_ = p.link.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}})
		}
	}
}

func (c *Control) sendDownstream(m *wire.Message) {
	frame, err := wire.Marshal(m)
	if err != nil {
		return
	}
	for l := range c.downstream {
		_ = l.SendFrame(frame)
	}
}

// zoneLink returns the downstream link that represents an availability zone: that of the
// entry with the lowest name, so that an order takes only one path.
func (c *Control) zoneLink(zone string) *wire.Link {
	var lowest *wire.Link
	for l := range c.downstream {
		if l.Peer.Role != wire.RoleEntry || l.Peer.Zone != zone {
			continue
		}
		if lowest == nil || l.Peer.Name < lowest.Peer.Name {
			lowest = l
		}
	}
	return lowest
}

// sendFloor sends the fence of this leader to all agents, through one link for each
// availability zone.
func (c *Control) sendFloor(tree *settings.Tree) {
	m := &wire.Message{Order: &order.Order{Floor: true, Fence: order.Fence{Term: c.node.Term()}}}
	sent := map[string]bool{}
	for _, site := range tree.Fleet.Sites {
		if sent[site.Zone] {
			continue
		}
		sent[site.Zone] = true
		if l := c.zoneLink(site.Zone); l != nil {
			_ = l.Send(m)
		}
	}
}
