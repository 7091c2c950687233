package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/wire"
)

func (c *Control) identityPath() string { return filepath.Join(c.cfg.Dir, "control.identity") }

// readIdentity returns the stored identity of this replica; empty if there is none.
func (c *Control) readIdentity() (string, error) {
	if c.cfg.Dir == "" {
		return "", nil
	}
	data, err := os.ReadFile(c.identityPath())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", fault.Wrap(err, fault.JournalFailed, fault.StepJournal, c.identityPath())
	}
	return string(data), nil
}

// writeIdentity stores the identity of this replica; it does nothing if everything is kept in memory.
func (c *Control) writeIdentity(id string) error {
	if c.cfg.Dir == "" {
		return nil
	}
	err := diskfile.WriteFile(c.files(), c.identityPath(), []byte(id))
	return fault.Wrap(err, fault.JournalFailed, fault.StepJournal, c.identityPath())
}

// establishIdentity returns the identity of this replica in the log and what it starts with. A
// replica with an earlier start behind it keeps both. suspect reports that an earlier write to
// the disk has failed, so that its files may show more than it holds.
func (c *Control) establishIdentity(onDisk stored, suspect bool) (string, consensus.Restored, error) {
	action := onDisk.action()
	switch {
	case action == keepIdentity && suspect:
		if err := c.rewriteDisk(onDisk.restored); err != nil {
			return "", onDisk.restored, err
		}
		return onDisk.identity, onDisk.restored, c.writeIdentity(onDisk.identity)
	case action == keepIdentity:
		return onDisk.identity, onDisk.restored, nil
	case action == completeFounding:
		return c.foundGroup(onDisk.restored.Snapshot.Members)
	case action == startEmpty && onDisk.mayFoundGroup() && c.mayBootstrap():
		return c.foundGroup(consensus.Members{Voters: c.founders()})
	}
	return c.joinGroup(onDisk)
}

// foundGroup prepares the disk of a founder. The identity is written last: without it, the
// replica has sent nothing, so founding can be completed after the process has ended.
func (c *Control) foundGroup(first consensus.Members) (string, consensus.Restored, error) {
	r := consensus.Bootstrap(sortMembers(first))
	if c.disk != nil {
		if err := c.disk.SaveSnapshot(r.Snapshot, r.Hard, nil); err != nil {
			return "", r, err
		}
	}
	return c.cfg.Name, r, c.writeIdentity(c.cfg.Name)
}

// joinGroup prepares the disk of a replica that joins under an identity which no replica has used
// before. The identity is written first: a log with a record under the old identity would make
// that one valid again.
func (c *Control) joinGroup(onDisk stored) (string, consensus.Restored, error) {
	id := c.cfg.Name + "~" + randomSuffix()
	if onDisk.identity != "" || onDisk.recorded || onDisk.restored.Snapshot.Index > 0 {
		event.VotesLost.Log(c.log, "old", onDisk.identity, "id", id)
	}
	if err := c.writeIdentity(id); err != nil {
		return "", onDisk.restored, err
	}
	if c.disk != nil && !onDisk.recorded {
		if err := c.disk.Append(&onDisk.restored.Hard, nil); err != nil {
			return "", onDisk.restored, err
		}
	}
	return id, onDisk.restored, nil
}

// mayBootstrap reports whether a replica with an empty disk founds the group. Where
// replicas find each other through seeds, the settings of the process determine whether
// this is the first start.
func (c *Control) mayBootstrap() bool {
	if d := c.cfg.Discovery; d != nil {
		return d.Bootstrap && slices.Contains(d.Seeds, c.cfg.Name)
	}
	return c.bootstrapAgreed()
}
func randomSuffix() string {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// markReplacedVoters marks voters as lost that have another identity at the address of id,
// since they have lost their disk. Where the settings tree names the replicas, the name
// proves nothing: two VMs may use it by mistake, and the first of them may be the leader.
// Callers hold c.mu.
func (c *Control) markReplacedVoters(id string) {
	if c.cfg.Discovery == nil || c.node == nil || id == baseName(id) {
		return // the first identity at an address replaces no other
	}
	for _, v := range c.node.Status(c.clock.Now()).Members.Voters {
		if v != id && baseName(v) == baseName(id) {
			c.node.MarkLost(v)
		}
	}
}

// bootstrapAgreed asks the other founding members until it knows that each of them is
// empty, or until one reports that the group exists.
//
// A member that asks this one is empty as well. It may found the group as soon as it has
// its answers, and commit entries before this replica has asked in turn. If that did not
// count, the slowest of three founders would join under a new identity a group that lists
// it as a voter, and the next failure would leave the group without a majority.
func (c *Control) bootstrapAgreed() bool {
	if _, ok := c.cfg.Members[c.cfg.Name]; !ok {
		return false
	}
	answered := map[string]bool{c.cfg.Name: true}
	for c.ctx.Err() == nil && !c.allEmpty(answered) {
		for name, addr := range c.cfg.Members {
			if answered[name] {
				continue
			}
			commit, err := c.fetchCommitIndex(addr)
			if err != nil {
				continue
			}
			if commit > maxEmptyCommit {
				return c.allEmpty(answered)
			}
			answered[name] = true
		}
		wait.For(c.ctx, bootstrapRetryEvery)
	}
	return true
}

// allEmpty reports whether each founding member has answered that it is empty, or has asked
// this one.
func (c *Control) allEmpty(answered map[string]bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.cfg.Members {
		if !answered[name] && !c.askedToFound[name] {
			return false
		}
	}
	return true
}

const (
	bootstrapRetryEvery = 100 * time.Millisecond
	// maxEmptyCommit is the commit index up to which a replica counts as empty: it has
	// founded the group, and nothing has been committed since.
	maxEmptyCommit = 1
)

// fetchCommitIndex returns the commit index of another founding member.
func (c *Control) fetchCommitIndex(addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	l, err := c.dialer.Dial(ctx, addr, wire.Options{Token: c.cfg.Token, TLS: c.cfg.TLS, Hello: func() wire.Hello {
		return wire.Hello{Name: c.cfg.Name, Role: wire.RoleFounder}
	}})
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Peer.Commit, nil
}

func sortMembers(m consensus.Members) consensus.Members {
	slices.Sort(m.Voters)
	return m
}
