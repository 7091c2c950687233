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

// identity returns the name that this replica has in the log.
//
// A replica that lost its disk has forgotten its votes, so it must not take
// part under its old identity. One that starts with an empty disk founds the
// group under its plain name only if every other first member says that it is
// empty too; otherwise it gets a new identity and joins as a learner.
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

// mayFound tells whether a replica with an empty disk founds the group. Where
// replicas find each other by seeds, the settings of the process say whether
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

// noteSuccessor takes that a replica runs under an identity: whoever was a voter
// at its address under another one has lost its disk. Where replicas are named by
// the settings tree, a name proves nothing: it may be used at two VMs by mistake,
// and the one that was first may lead. Callers hold the lock.
func (c *Control) markReplacedVoters(id string) {
	if c.cfg.Discovery == nil || c.node == nil || id == baseName(id) {
		return // the first identity at an address succeeds nobody
	}
	for _, v := range c.node.Status(c.clock.Now()).Members.Voters {
		if v != id && baseName(v) == baseName(id) {
			c.node.NoteLost(v)
		}
	}
}

// founds asks the other first members until it knows that each of them is empty,
// or one says that the group exists.
//
// A member that asks this one is empty as well: it may found the group as soon as
// it has its answers, and commit to it before this replica has asked in its turn.
// Without counting that, the slowest of three founders would come as a stranger
// to a group that takes it for a voter, and which the next loss would end.
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

// allEmpty tells whether each first member has answered that it is empty, or has
// asked this one.
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
	// emptyRevision is the log index up to which a replica counts as empty: it
	// has founded the group and nothing has been committed since.
	maxEmptyCommit = 1
)

// askEmpty returns the commit index of another first member.
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
