package control

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/wire"
)

// Discovery configures how replicas find each other where no settings tree names them. The
// name of a replica is its link address then, so that the list of members is also the list
// of addresses.
type Discovery struct {
	// Seeds are the link addresses of some replicas.
	Seeds []string
	// Bootstrap allows a replica with an empty disk to found the group together with the
	// other seeds. It is set only for the very first start of the whole system.
	Bootstrap bool
	// Voters is the number of voting replicas that the group grows to.
	Voters int
}

// Timeouts of discovered membership.
const (
	// voterLostAfter is the silence after which a voter is replaced by a learner that has
	// caught up. Without such a learner, a silent voter stays.
	voterLostAfter = 1500 * time.Millisecond
	// learnerLostAfter is the silence after which a learner is removed.
	learnerLostAfter = 6 * time.Second
	// discoveredIdleTimeout is the silence after which a link is reopened.
	discoveredIdleTimeout    = 1500 * time.Millisecond
	discoveredHeartbeatEvery = 400 * time.Millisecond
)

// membership is the input to a step of discovered membership.
type membership struct {
	members consensus.Members
	// connected are the identities that have a link to the leader.
	connected []string
	voters    int
	// caught reports whether a learner has caught up with the leader's log; silence returns
	// the time since a member's last message.
	caught  func(id string) bool
	silence func(id string) time.Duration
	// lostEntries reports whether a voter has lacked entries that it had acknowledged.
	lostEntries func(id string) bool
}

// step returns the next membership change, or none. A voter is removed only if a learner
// that has caught up can replace it.
func (m *membership) step() consensus.Change {
	for _, id := range m.connected {
		if !slices.Contains(m.members.Voters, id) && !slices.Contains(m.members.Learners, id) {
			return consensus.Change{Add: id}
		}
	}
	if id := m.replacedVoter(); id != "" {
		return consensus.Change{Remove: id}
	}
	ready := ""
	for _, id := range m.members.Learners {
		if slices.Contains(m.connected, id) && m.caught(id) {
			ready = id
			break
		}
	}
	if ready != "" {
		if len(m.members.Voters) < m.voters {
			return consensus.Change{Promote: ready}
		}
		if id := m.voterToRemove(ready); id != "" {
			return consensus.Change{Remove: id}
		}
	}
	for _, id := range m.members.Learners {
		if !slices.Contains(m.connected, id) && (hasOtherIdentity(m.members, id) || m.silence(id) > learnerLostAfter) {
			return consensus.Change{Remove: id}
		}
	}
	return consensus.Change{}
}

// replacedVoter returns a voter in whose place another identity votes; empty if there is none. It
// would only raise the majority.
func (m *membership) replacedVoter() string {
	for _, id := range m.connected {
		if !slices.Contains(m.members.Voters, id) {
			continue
		}
		for _, old := range m.members.Voters {
			if old != id && baseName(old) == baseName(id) && !slices.Contains(m.connected, old) {
				return old
			}
		}
	}
	return ""
}

// voterToRemove returns the voter that a learner replaces: the one that has lost its disk
// at the learner's address, or else one that has lost entries, or the one with the longest
// silence. It returns an empty string if there is none.
func (m *membership) voterToRemove(ready string) string {
	longestSilence, candidate := voterLostAfter, ""
	for _, id := range m.members.Voters {
		if baseName(id) == baseName(ready) {
			return id
		}
	}
	for _, id := range m.members.Voters {
		if m.lostEntries(id) {
			return id
		}
		if s := m.silence(id); s > longestSilence && !slices.Contains(m.connected, id) {
			longestSilence, candidate = s, id
		}
	}
	return candidate
}

// discover brings the membership in line with the replicas that are connected. Callers hold
// c.mu.
func (c *Control) discover(now time.Time) {
	if !c.node.IsLeader(now) {
		return
	}
	m := membership{
		members: c.node.Status(now).Members, voters: c.cfg.Discovery.Voters, caught: c.node.CaughtUp,
		silence:     func(id string) time.Duration { return c.node.TimeSinceAck(now, id) },
		lostEntries: c.node.HasLostEntries,
	}
	m.connected = c.joinable()
	step := m.step()
	if step == (consensus.Change{}) {
		return
	}
	if _, err := c.node.ChangeMembers(now, step); err == nil {
		c.processReady(now)
	}
}

// dialAddresses opens links to replicas that this one has learned of. It does nothing until
// this replica knows its own identity, since a link sends it to the other side. Callers
// hold c.mu.
func (c *Control) dialAddresses(addresses []string) {
	if c.id == "" {
		return
	}
	for _, a := range addresses {
		if _, ok := c.peerLinks[a]; !ok && a != c.cfg.Name {
			c.dialPeer(a, a)
		}
	}
}

// addresses returns the link addresses of the members. Callers hold c.mu.
func (c *Control) addresses() []string {
	if c.node == nil {
		return nil
	}
	m := c.node.Status(c.clock.Now()).Members
	var out []string
	for _, id := range append(slices.Clone(m.Voters), m.Learners...) {
		if a := baseName(id); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// membersChanged opens links to new members, closes those to replicas that have been
// removed, and updates the gateways and replicas. Callers hold c.mu.
func (c *Control) membersChanged() {
	if c.cfg.Discovery == nil {
		return
	}
	addresses := c.addresses()
	c.dialAddresses(addresses)
	for name, p := range c.peerLinks {
		known := slices.Contains(addresses, name) || slices.Contains(c.cfg.Discovery.Seeds, name)
		if !known && p.link == nil && !c.isConnectedFrom(name) {
			p.stop()
			delete(c.peerLinks, name)
		}
	}
	c.hub.setReplicas(addresses)
}

// isConnectedFrom reports whether a replica at an address has a link to this one.
func (c *Control) isConnectedFrom(address string) bool {
	for id := range c.connected {
		if baseName(id) == address {
			return true
		}
	}
	return false
}

// SetSeeds replaces the list of seeds.
func (c *Control) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Discovery == nil {
		return
	}
	c.cfg.Discovery.Seeds = seeds
	c.dialAddresses(seeds)
}

// handlePeerMessage handles a message of another replica on a link that this one opened.
func (c *Control) handlePeerMessage(l *wire.Link, m *wire.Message) {
	if m.Loads != nil {
		c.hub.setPeerLoads(l, m.Loads)
	}
	if m.Use != nil {
		c.hub.applyPeerUsage(l, m.Use)
	}
	if m.Servers != nil {
		c.hub.mergePeerServers(l, m.Servers)
	}
	if m.Contents != nil {
		c.hub.mergeContents(m.Contents)
	}
	if m.Survivals != nil {
		c.hub.mergeSurvivals(m.Survivals)
	}
	if m.Origins != nil {
		c.hub.mergePeerOrigins(m.Origins)
	}
	if m.Limits != nil {
		c.hub.handlePeerLimits(l, m.Limits)
	}
	if m.Replicas != nil && c.cfg.Discovery != nil {
		c.mu.Lock()
		c.dialAddresses(m.Replicas.Addresses)
		c.mu.Unlock()
	}
}
