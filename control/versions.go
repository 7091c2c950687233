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

// Each replica keeps the versions that the others report. It exchanges nothing with a
// replica that does not read what its own log holds.
//
// The log decides this and not the version in force: an entry that raises the version may
// be sent by a replica that does not yet know whether the entry is committed.

// versions is the range of versions that this replica reads and writes.
func (c *Control) versions() compat.Range { return cmp.Or(c.cfg.Versions, wire.Versions) }

// proposableVersions is the range of fleet versions that this replica proposes: up to the
// last version that changes stored data, so that it stays possible to return to the
// previous build.
func (c *Control) proposableVersions() compat.Range {
	out := c.versions()
	out.Most = min(out.Most, compat.NewestStored)
	return out
}

// addReplicaLink adds an open link to a replica. It returns false if that replica can't
// read what this one holds. Callers hold c.mu.
func (c *Control) addReplicaLink(l *wire.Link) bool {
	if !l.Peer.Range().Contains(c.requiredVersion) {
		if c.rejectionLog.Allow(c.clock.Now(), "version "+l.Peer.Name) {
			event.IncompatibleReplica.Log(c.log, "peer", l.Peer.Name, "build", l.Peer.Build, "speaks", l.Peer.Range().String(), "version", c.requiredVersion)
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

// removeReplicaLink removes a link that has ended. Callers hold c.mu.
func (c *Control) removeReplicaLink(l *wire.Link) { delete(c.replicaLinks, l) }

// hasLink reports whether a link to a replica is open. Callers hold c.mu.
func (c *Control) hasLink(id string) bool {
	for l := range c.replicaLinks {
		if l.Peer.Name == id {
			return true
		}
	}
	return false
}

// helloOf returns what a replica reported about its build. Of all open links it uses the
// one with the lowest version, since one of them may belong to a process that has just
// ended. Callers hold c.mu.
func (c *Control) helloOf(id string) (wire.Hello, bool) {
	out, ok := c.lastHello[id]
	for l := range c.replicaLinks {
		if l.Peer.Name == id && l.Peer.Range().Most < out.Range().Most {
			out = l.Peer
		}
	}
	return out, ok
}

// requireVersionOf protects the data folder and the links before entries that raise the
// version are written or sent, since an older build would skip such an entry. Callers hold
// c.mu.
func (c *Control) requireVersionOf(r consensus.Ready) error {
	version := c.state.Version()
	for i := range r.Entries {
		if e := &r.Entries[i]; len(e.Data) > 0 {
			version = max(version, fleet.CommandVersion(e.Data))
		}
	}
	return c.requireVersion(version)
}

// requireVersion marks the data folder with a version and closes the links to replicas that
// do not read it. Callers hold c.mu.
func (c *Control) requireVersion(version int) error {
	if version > c.requiredVersion {
		c.requiredVersion = version
		c.closeIncompatibleLinks()
	}
	if c.disk == nil {
		return nil
	}
	return c.disk.Fence(c.requiredVersion) // repeated in case the disk failed at it before
}

// closeIncompatibleLinks closes the links to replicas that don't read what this one holds.
func (c *Control) closeIncompatibleLinks() {
	for l := range c.replicaLinks {
		if !l.Peer.Range().Contains(c.requiredVersion) {
			l.Close()
			c.detachLink(l)
		}
	}
}

// detachLink stops sending packets on a link. Callers hold c.mu.
func (c *Control) detachLink(l *wire.Link) {
	for _, p := range c.peerLinks {
		if p.link == l {
			p.link = nil
		}
	}
}

// joinable returns the identities that have a link here and read what this replica holds.
// Callers hold c.mu.
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

// forgetHellos drops the hellos of identities that are neither members nor connected.
// Callers hold c.mu.
func (c *Control) forgetHellos(now time.Time) {
	m := c.node.Status(now).Members
	for id := range c.lastHello {
		if !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) && !c.hasLink(id) {
			delete(c.lastHello, id)
		}
	}
}

// holdRefusedLink keeps the link of a refused replica open for a while and ignores its
// messages, since an older build reconnects as soon as a link ends.
func (c *Control) holdRefusedLink(ctx context.Context, l *wire.Link) {
	ctx, cancel := context.WithTimeout(ctx, refusedLinkTimeout)
	defer cancel()
	_ = l.Run(ctx, func(*wire.Message) {})
}

// refusedLinkTimeout is longer than the silence after which older builds close a link.
const refusedLinkTimeout = 6 * time.Second
