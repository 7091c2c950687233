package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/wire"
)

// Each replica keeps which versions the others have told, and sends to and hears none that
// does not read what its own log holds.
//
// That is decided by the log and not by the version in force: an entry that raises the version
// may be sent by a replica that does not know yet whether it is committed.

// versions are those that this replica reads and writes.
func (c *Control) versions() compat.Range { return cmp.Or(c.cfg.Versions, wire.Versions) }

// raises are the versions of the fleet that this replica proposes: none above the one from which
// on anything more is kept.
func (c *Control) proposableVersions() compat.Range {
	out := c.versions()
	out.Most = min(out.Most, compat.NewestStored)
	return out
}

// addReplica takes that a link to a replica is open; false if that replica can't read what
// this one holds. Callers hold the lock.
func (c *Control) addReplicaLink(l *wire.Link) bool {
	if !l.Peer.Range().Contains(c.requiredVersion) {
		if c.rejectionLog.Allow(c.clock.Now(), "version "+l.Peer.Name) {
			event.ReplicaApart.Log(c.log, "peer", l.Peer.Name, "build", l.Peer.Build, "speaks", l.Peer.Range().String(), "version", c.requiredVersion)
		}
		return false
	}
	c.replicaLinks[l] = true
	if before, ok := c.lastHello[l.Peer.Name]; ok {
		c.gate.RangeChanged(before.Range(), l.Peer.Range())
	}
	c.lastHello[l.Peer.Name] = l.Peer
	return true
}

// removeReplica takes that a link has ended. Callers hold the lock.
func (c *Control) removeReplicaLink(l *wire.Link) { delete(c.replicaLinks, l) }

// linked tells whether a link to a replica is open. Callers hold the lock.
func (c *Control) hasLink(id string) bool {
	for l := range c.replicaLinks {
		if l.Peer.Name == id {
			return true
		}
	}
	return false
}

// told returns what a replica told of its build: of all open links the one that reads least,
// since one of them may be of a process that has just ended. Callers hold the lock.
func (c *Control) helloOf(id string) (wire.Hello, bool) {
	out, ok := c.lastHello[id]
	for l := range c.replicaLinks {
		if l.Peer.Name == id && l.Peer.Range().Most < out.Range().Most {
			out = l.Peer
		}
	}
	return out, ok
}

// guard makes the data folder and the links safe for entries that raise the version, before
// the first of them is written or sent: an older build would pass it over. Callers hold the
// lock.
func (c *Control) requireVersionOf(r consensus.Ready) error {
	version := c.state.Version()
	for i := range r.Entries {
		if e := &r.Entries[i]; len(e.Data) > 0 {
			version = max(version, fleet.VersionOf(e.Data))
		}
	}
	return c.requireVersion(version)
}

// guardFrom makes the data folder and the links safe for what needs a version. Callers hold
// the lock.
func (c *Control) requireVersion(version int) error {
	if version > c.requiredVersion {
		c.requiredVersion = version
		c.closeIncompatibleLinks()
	}
	if c.disk == nil {
		return nil
	}
	return c.disk.Fence(c.requiredVersion) // also after a disk that failed at it is back
}

// closeUnfit ends the links to replicas that don't read what this one holds.
func (c *Control) closeIncompatibleLinks() {
	for l := range c.replicaLinks {
		if !l.Peer.Range().Contains(c.requiredVersion) {
			l.Close()
			c.detachLink(l)
		}
	}
}

// dropPeer has no packet sent on a link any more. Callers hold the lock.
func (c *Control) detachLink(l *wire.Link) {
	for _, p := range c.peerLinks {
		if p.link == l {
			p.link = nil
		}
	}
}

// joinable returns the identities that have a link here and read what this replica holds.
// Callers hold the lock.
func (c *Control) joinable() []string {
	var out []string
	for id := range c.connected {
		if hello, ok := c.helloOf(id); ok && hello.Range().Contains(c.requiredVersion) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// forgetTold drops what was told by identities that are gone. Callers hold the lock.
func (c *Control) forgetHellos(now time.Time) {
	m := c.node.Status(now).Members
	for id := range c.lastHello {
		if !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) && !c.hasLink(id) {
			delete(c.lastHello, id)
		}
	}
}

// refuseReplica keeps a link to a replica that is refused open for a while, without a report on
// it: an older build tries again as soon as one ends.
func (c *Control) holdRefusedLink(ctx context.Context, l *wire.Link) {
	ctx, cancel := context.WithTimeout(ctx, refusedLinkTimeout)
	defer cancel()
	_ = l.Run(ctx, func(*wire.Message) {})
}

// refusedFor is longer than the silence that older builds bear.
const refusedLinkTimeout = 6 * time.Second
