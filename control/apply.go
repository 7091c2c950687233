package control

import (
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fleet"
)

// processReady handles everything that the consensus node has ready, in the order that Raft
// requires: snapshot, disk, network, state machine. Callers hold c.mu.
func (c *Control) processReady(now time.Time) {
	for {
		r := c.node.Ready()
		if r.Empty() {
			return
		}
		if err := c.persist(r); err != nil {
			c.handleDiskFailure(now, err)
			return
		}
		for _, p := range r.Packets {
			c.sendPacket(p)
		}
		c.applyCommitted(now, r.Committed)
	}
}

// persist writes to disk everything that must be durable before the packets of r are sent.
func (c *Control) persist(r consensus.Ready) error {
	if r.Snapshot != nil {
		state, err := fleet.Restore(r.Snapshot.Data)
		if err != nil {
			return err
		}
		c.state = state
		c.publish(c.clock.Now())
		c.updateHub(false)
		c.membersChanged()
	}
	if err := c.requireVersionOf(r); err != nil {
		return err
	}
	if c.disk == nil {
		return nil
	}
	if r.Snapshot != nil {
		return c.disk.SaveSnapshot(*r.Snapshot, c.node.Hard(), c.node.Entries())
	}
	if r.Hard == nil && len(r.Entries) == 0 {
		return nil
	}
	return c.disk.Append(r.Hard, r.Entries)
}

func (c *Control) applyCommitted(now time.Time, entries []consensus.Entry) {
	before, version := c.state.Revision(), c.state.Version()
	stopped := false
	for _, e := range entries {
		if e.Members != nil {
			event.MembersChanged.Log(c.log, "voters", e.Members.Voters, "learners", e.Members.Learners)
			c.membersChanged()
		}
		if len(e.Data) > 0 && !c.applyEntry(e) {
			stopped = true
			break
		}
	}
	if v := c.state.Version(); v > version {
		event.VersionRaised.Log(c.log, "version", v)
	}
	if c.state.Revision() > before {
		c.publish(now)
	}
	c.updateHub(c.node.Fresh(now))
	if len(entries) > 0 && !stopped {
		c.compact(entries[len(entries)-1].Index)
	}
}

// updateHub passes the state that gateways follow to the hub. The evacuated zones go before
// the table, since a gateway starts to serve as soon as it has its first table.
func (c *Control) updateHub(current bool) {
	c.hub.setEvacuated(c.state.EvacuationRevision(), c.state.EvacuatedZones())
	c.hub.setTable(c.state.Table(), current)
}

// applyEntry applies one committed command. It returns false if this build can't read the
// command.
func (c *Control) applyEntry(e consensus.Entry) bool {
	res, err := c.state.Apply(e.Data)
	if err != nil {
		c.stopAtEntry(e.Index, err)
		return false
	}
	for _, w := range c.waiters[res.ID] {
		w <- res
	}
	delete(c.waiters, res.ID)
	return true
}

// compact takes a snapshot and cuts the log once the log has reached SnapshotEvery entries or
// SnapshotBytes bytes.
func (c *Control) compact(index uint64) {
	commands, snapshot := c.node.LogBytes()
	if len(c.node.Entries()) < c.cfg.SnapshotEvery && commands < max(c.cfg.SnapshotBytes, snapshot) {
		return
	}
	data, err := c.state.Snapshot()
	if err != nil {
		return
	}
	s, ok := c.node.Compact(index, data)
	if !ok {
		return
	}
	event.SnapshotTaken.Log(c.log, "index", s.Index, "bytes", len(data))
	if c.disk == nil {
		return
	}
	if err := c.disk.SaveSnapshot(s, c.node.Hard(), c.node.Entries()); err != nil {
		c.handleDiskFailure(c.clock.Now(), err)
	}
}
