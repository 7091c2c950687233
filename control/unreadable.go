package control

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/wire"
)

// A replica that finds data that it can't read stops and changes nothing: whatever it did
// next would be based on a state that the other replicas don't have. It does not recover by
// itself, since it would find the same data again; it has to be replaced by a build that
// reads the data.

// Kinds of unreadable data, as labels of the metric.
const (
	unreadableJournal = "journal"
	unreadableCommand = "command"
	unreadablePacket  = "packet"
)

// stopIfNewer stops the replica if err means that its own data was written by a newer
// build. It returns false for any other error. Callers do not hold c.mu.
func (c *Control) stopIfNewer(err error) bool {
	if !fault.Is(err, fault.JournalNewer) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUnreadable(unreadableJournal, err)
	return true
}

// stopAtEntry ends the replica's participation in the group at a committed command that it
// can't read. Callers hold c.mu.
func (c *Control) stopAtEntry(index uint64, err error) {
	c.node.StopAt(index)
	c.recordUnreadable(unreadableCommand, fmt.Errorf("entry %d: %w", index, err))
}

func (c *Control) recordUnreadable(what string, err error) {
	c.stopReason = "the replica holds data written by a newer build: " + err.Error()
	metric.UnreadableData.WithLabelValues(what).Inc()
	event.NewerDataFormat.Log(c.log, "what", what, "error", err)
}

// checkReadable returns an error if this build can't read something in a packet. This includes
// the commands in its entries: a command that is not stored is not acknowledged, so a
// replica that can't apply it does not count towards its commit.
func (c *Control) checkReadable(p *consensus.Packet) error {
	if err := p.DecodeErr(); err != nil {
		return err
	}
	for i := range p.Entries {
		if e := &p.Entries[i]; len(e.Data) > 0 {
			if err := fleet.CheckCommand(e.Data); err != nil {
				return fmt.Errorf("entry %d: %w", e.Index, err)
			}
		}
	}
	if p.Snapshot == nil {
		return nil
	}
	return fleet.CheckSnapshot(p.Snapshot.Data)
}

// maxChangeBytes bounds the command for a change. A packet with a longer one may not fit into a frame
// of a link, and no entry after it could be replicated.
const maxChangeBytes = wire.MaxFrameBytes / 2

// encodeChange returns the command for a change. A change that can't be replicated is an error: one that
// can't be decoded again, for instance because a text of it is not UTF-8, would stop every replica once
// it is committed, and one that is too long would hold up all that follow.
func encodeChange(change fleet.Change) ([]byte, error) {
	data, err := fleet.Encode(change)
	if err == nil && len(data) > maxChangeBytes {
		err = fmt.Errorf("the change has %d bytes when encoded, at most %d are accepted", len(data), maxChangeBytes)
	}
	if err == nil {
		err = fleet.CheckCommand(data)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, fault.StepSettings, "operator")
	}
	return data, nil
}

// rejectPacket records that a packet can't be read. The leader that sent it gets no answer;
// if most replicas can't read it, another replica is elected. Callers hold c.mu.
func (c *Control) rejectPacket(now time.Time, l *wire.Link, err error) {
	metric.UnreadableData.WithLabelValues(unreadablePacket).Inc()
	if c.rejectionLog.Allow(now, unreadablePacket+" "+l.Peer.Name) {
		event.NewerPacketFormat.Log(c.log, "peer", l.Peer.Name, "error", err)
	}
}
