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
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// identity returns the identity of this replica in the log.
//
// A replica that has lost its disk has lost the record of its votes, so it must not take
// part under its old identity. A replica that starts with an empty disk founds the group
// under its plain name only if every other founding member reports that it is empty too.
// Otherwise it gets a new identity and joins as a learner.
func (c *Control) identity(fresh bool) (string, error) {
	path := filepath.Join(c.cfg.Dir, "control.identity")
	if c.cfg.Dir != "" {
		data, err := os.ReadFile(path)
		if err == nil {
			return string(data), nil
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return "", fault.Wrap(err, fault.JournalFailed, fault.StepJournal, path)
		}
	}
	id := c.cfg.Name
	if fresh && !c.mayBootstrap() {
		id += "~" + randomSuffix()
	}
	if c.cfg.Dir == "" {
		return id, nil
	}
	err := spread.WriteSynced(path, []byte(id))
	return id, fault.Wrap(err, fault.JournalFailed, fault.StepJournal, path)
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
