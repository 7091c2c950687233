package control

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/wire"
)

// Discovery is how replicas find each other where no settings tree names them.
// A replica is named by its link address then, so that whoever knows the
// members knows where they are.
type Discovery struct {
	// Seeds are the link addresses of some replicas.
	Seeds []string
	// Bootstrap lets a replica with an empty disk found the group together with
	// the other seeds. It is set only when the whole system starts for the
	// first time.
	Bootstrap bool
	// Voters is the number of voting replicas that the group grows to.
	Voters int
}

// Times of discovered membership.
const (
	// lostVoter is the silence after which a voter gives way to a learner that
	// has caught up. Without such a learner a silent voter stays.
	voterLostAfter = 1500 * time.Millisecond
	// lostLearner is the silence after which a learner is dropped.
	learnerLostAfter = 6 * time.Second
	// discoveredIdle is the silence after which links are opened anew.
	discoveredIdleTimeout    = 1500 * time.Millisecond
	discoveredHeartbeatEvery = 400 * time.Millisecond
)

// membership is what decides about a step of discovered membership.
type membership struct {
	members consensus.Members
	// seen are the identities that have a link to the leader.
	connected []string
	voters    int
	// caught tells whether a learner has the leader's log, silence how long a
	// member has said nothing.
	caught  func(id string) bool
	silence func(id string) time.Duration
}

// step chooses one step of membership. A voter leaves only while a learner
// that has caught up is there to take its place.
func (m *membership) step() consensus.Change {
	for _, id := range m.connected {
		if !slices.Contains(m.members.Voters, id) && !slices.Contains(m.members.Learners, id) {
			return consensus.Change{Add: id}
		}
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

// leaver returns the voter that gives way to a learner: the one that has lost
// the disk at the learner's address, or else the one that is silent longest.
func (m *membership) voterToRemove(ready string) string {
	longestSilence, candidate := voterLostAfter, ""
	for _, id := range m.members.Voters {
		if baseName(id) == baseName(ready) {
			return id
		}
		if s := m.silence(id); s > longestSilence && !slices.Contains(m.connected, id) {
			longestSilence, candidate = s, id
		}
	}
	return candidate
}

// discover brings the membership in line with who is there. Callers hold the
// lock.
func (c *Control) discover(now time.Time) {
	if !c.node.Lead(now) {
		return
	}
	m := membership{
		members: c.node.Status(now).Members, voters: c.cfg.Discovery.Voters, caught: c.node.Caught,
		silence: func(id string) time.Duration { return c.node.Silence(now, id) },
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

// meet opens links to replicas that this one has heard of, once it knows its own
// identity: a link tells it to the other side. Callers hold the lock.
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

// addresses returns the link addresses of the members. Callers hold the lock.
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

// membersChanged opens links to new members, closes those to replicas that
// have left, and tells the processes below. Callers hold the lock.
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

// seenAt tells whether a replica has a link from an address.
func (c *Control) isConnectedFrom(address string) bool {
	for id := range c.connected {
		if baseName(id) == address {
			return true
		}
	}
	return false
}

// SetSeeds takes a new list of seeds.
func (c *Control) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Discovery == nil {
		return
	}
	c.cfg.Discovery.Seeds = seeds
	c.dialAddresses(seeds)
}

// learn takes what another replica says on the link that this one opened.
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
	if m.Limits != nil {
		c.hub.handlePeerLimits(l, m.Limits)
	}
	if m.Replicas != nil && c.cfg.Discovery != nil {
		c.mu.Lock()
		c.dialAddresses(m.Replicas.Addresses)
		c.mu.Unlock()
	}
}
