package control

import (
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/wal"
)

// diskRetryEvery is the interval between attempts to reopen a failed disk.
const diskRetryEvery = 400 * time.Millisecond

// bootDiscovered opens the disk and joins the group. If the disk is full or rejects writes
// at the start, it is tried again, since the replica can join as soon as the disk works.
func (c *Control) bootDiscovered() {
	for failed := false; c.ctx.Err() == nil; failed = true {
		disk, opened, err := c.openDisk()
		if err == nil {
			c.setDisk(disk)
			err = c.restore(opened, failed)
		}
		if err == nil {
			break
		}
		if c.stopIfNewer(err) {
			return
		}
		event.JournalFailed.Log(c.log, "error", fault.From(err))
		if disk != nil {
			_ = disk.Close()
		}
		wait.For(c.ctx, diskRetryEvery)
	}
	if c.ctx.Err() != nil {
		return
	}
	event.Started.Log(c.log, "id", c.id)
	c.mu.Lock()
	c.dialAddresses(c.cfg.Discovery.Seeds)
	for id := range c.connected {
		c.dialAddresses([]string{baseName(id)})
	}
	c.membersChanged()
	c.updateHub(false)
	c.mu.Unlock()
	c.loadStateFiles()
	c.wg.Go(c.hubLoop)
	for _, f := range c.stateFiles() {
		c.wg.Go(func() { c.saveStateFile(f) })
	}
	if c.cfg.Roles.Protocol != nil {
		c.wg.Go(c.roleLoop)
	}
	c.tickLoop()
}

func (c *Control) setDisk(j *wal.Journal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disk = j
}

// hubLoop keeps gateways updated. A disk that stalls does not delay it.
func (c *Control) hubLoop() {
	wait.Every(c.ctx, c.clock, loadsEvery, func(now time.Time) {
		current := false
		if c.mu.TryLock() {
			current = c.node.Fresh(now)
			c.mu.Unlock()
		}
		c.hub.tick(now, current)
	})
}

// handleDiskFailure gives up the vote of the replica, since the contents of its disk are no
// longer certain. Callers hold c.mu.
func (c *Control) handleDiskFailure(now time.Time, err error) {
	event.JournalFailed.Log(c.log, "error", fault.From(err))
	c.node.MarkFailed()
	c.diskRetryAt = now.Add(diskRetryEvery)
}

// reopenDisk reads the disk again. If all of it can be rewritten and synced, the replica
// rejoins the group with what the disk holds. Callers hold c.mu.
func (c *Control) reopenDisk(now time.Time) {
	c.diskRetryAt = now.Add(diskRetryEvery)
	_ = c.disk.Close()
	disk, opened, err := c.openDisk()
	if err == nil {
		c.disk = disk
		err = c.rewriteRecorded(opened)
	}
	if err == nil {
		err = c.rebuild(opened.Restored)
	}
	if err != nil {
		event.JournalFailed.Log(c.log, "error", fault.From(err))
		return
	}
	event.JournalRecovered.Log(c.log, "term", c.node.Term())
}

// rewriteRecorded rewrites a disk that still holds the record of the votes. A replica that has
// lost it gets another identity, but only at its next start.
func (c *Control) rewriteRecorded(opened wal.OpenResult) error {
	if !opened.Recorded && c.disk != nil {
		return fault.New(fault.JournalBroken, fault.StepJournal, c.cfg.Dir, "the log is gone, and with it the record of the votes")
	}
	return c.rewriteDisk(opened.Restored)
}

// rewriteDisk writes and syncs again what was read: after a failed sync, the files may show
// data that the disk does not hold.
func (c *Control) rewriteDisk(r consensus.Restored) error {
	return c.disk.SaveSnapshot(r.Snapshot, r.Hard, r.Entries)
}
