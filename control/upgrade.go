package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/wire"
)

// UpgradeStatus is the state of the fleet's version for operators.
type UpgradeStatus struct {
	// Version is the version in force. Next is the one that it would rise to; zero if this
	// build knows none.
	Version int `json:"version"`
	Next    int `json:"next,omitempty"`
	// Since is the time from which on all members have been able to read the next version;
	// nil while some member can't.
	Since *time.Time `json:"since,omitempty"`
	// SettleTime is how long they must have been able to before the version rises
	// automatically; zero if only an operator raises it.
	SettleTime time.Duration `json:"after"`
	// Blockers are the reasons that block a rise of the version, AutomaticBlockers the
	// additional ones that block an automatic rise.
	Blockers          []compat.Blocker `json:"holds"`
	AutomaticBlockers []compat.Blocker `json:"waits,omitempty"`
	Members           []UpgradeMember  `json:"members"`
}

// UpgradeMember is a voter or learner with the build that it runs.
type UpgradeMember struct {
	ID     string `json:"id"`
	Voter  bool   `json:"voter"`
	Leader bool   `json:"leader,omitempty"`
	// Build and Versions are what the member reported last; empty if it has reported
	// nothing to this leader.
	Build    string        `json:"build,omitempty"`
	Versions *compat.Range `json:"told,omitempty"`
	// Silent reports that the member is disconnected.
	Silent bool `json:"silent,omitempty"`
}

// silentAfter is the time without an answer after which a member counts as disconnected:
// several heartbeats, and no longer than the restart of a process takes.
const silentAfter = time.Second

// UpgradeStatus returns the state of the fleet's version. It fails unless this replica
// leads.
func (c *Control) UpgradeStatus() (UpgradeStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.leads(now) {
		return UpgradeStatus{}, c.notLeader()
	}
	return c.upgradeStatusLocked(now), nil
}

// upgradeStatusLocked evaluates the versions of all members. Callers hold c.mu.
func (c *Control) upgradeStatusLocked(now time.Time) UpgradeStatus {
	if term := c.node.Term(); term != c.gateTerm {
		c.gate, c.gateTerm = compat.Gate{}, term
	}
	out := UpgradeStatus{Version: c.state.Version(), SettleTime: c.cfg.UpgradeAfter, Members: c.upgradeMembers(now)}
	members := make([]compat.Member, len(out.Members))
	for i, m := range out.Members {
		members[i] = compat.Member{ID: m.ID, Disconnected: m.Silent}
		if m.Versions != nil {
			members[i].Range = *m.Versions
		}
	}
	out.Blockers = append([]compat.Blocker{}, c.gate.Check(now, out.Version, c.proposableVersions(), members)...)
	if c.proposableVersions().Contains(out.Version + 1) {
		out.Next = out.Version + 1
	}
	if since := c.gate.SupportedSince(); out.Next != 0 && !since.IsZero() {
		day := clock.WallTime().Add(since.Sub(now)).UTC()
		out.Since = &day
		out.AutomaticBlockers = c.gate.CheckSettled(now, c.settleTime())
	}
	return out
}

// bootstrapSettleTime is the settle time of a group that is being founded: long enough for
// its first members to find each other.
const bootstrapSettleTime = time.Second

// settleTime is how long all members must have reported that they read the next version.
// Under the first leader of a discovered group it is short, since there is no older build
// to return to. Callers hold c.mu.
func (c *Control) settleTime() time.Duration {
	if c.cfg.Discovery != nil && c.node.Term() <= firstTerm {
		return min(c.cfg.UpgradeAfter, bootstrapSettleTime)
	}
	return c.cfg.UpgradeAfter
}

func (c *Control) upgradeMembers(now time.Time) []UpgradeMember {
	m := c.node.Status(now).Members
	var out []UpgradeMember
	for _, id := range append(slices.Clone(m.Voters), m.Learners...) {
		member := UpgradeMember{ID: id, Voter: slices.Contains(m.Voters, id)}
		if id == c.id {
			own := c.versions()
			member.Leader, member.Versions, member.Build = true, &own, wire.Build()
		} else if hello, ok := c.helloOf(id); ok {
			versions := hello.Range()
			member.Versions, member.Build = &versions, hello.Build
		}
		member.Silent = id != c.id && (!c.hasLink(id) || c.node.TimeSinceAck(now, id) > silentAfter)
		out = append(out, member)
	}
	return out
}

// raiseVersionIfReady proposes the next version once nothing blocks an automatic rise.
// Callers hold c.mu.
func (c *Control) raiseVersionIfReady(now time.Time) {
	c.forgetHellos(now)
	if !c.node.IsLeader(now) {
		return
	}
	u := c.upgradeStatusLocked(now)
	if u.Next == 0 || len(u.Blockers)+len(u.AutomaticBlockers) > 0 || u.Since == nil {
		return
	}
	_, _ = c.proposeVersion(now, u.Next)
}

func (c *Control) proposeVersion(now time.Time, version int) (string, error) {
	id := fmt.Sprint("version ", version)
	data, err := encodeChange(fleet.Change{ID: id, Version: version})
	if err != nil {
		return id, err
	}
	if _, err := c.node.Propose(now, data); err != nil {
		return id, c.notLeader()
	}
	c.gate.RecordProposal(version)
	c.processReady(now)
	return id, nil
}

// RaiseVersion raises the fleet's version by one, unless it is blocked; Blockers of the
// returned status holds the reasons then. An error of code change_outcome_unknown means
// that the version may still rise.
func (c *Control) RaiseVersion(ctx context.Context, who string) (UpgradeStatus, error) {
	u, w, err := c.proposeNextVersion()
	if err != nil || w == nil {
		return u, err
	}
	id := fmt.Sprint("version ", u.Next)
	defer c.removeWaiter(id, w)
	t := time.NewTimer(commitTimeout)
	defer t.Stop()
	select {
	case <-w:
		event.SettingChanged.Log(c.log, "version", u.Next, "who", who)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.upgradeStatusLocked(c.clock.Now()), nil
	case <-t.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return u, fault.New(fault.ChangeOutcomeUnknown, fault.StepSettings, c.id, "not confirmed in time; check the upgrade status")
}

// proposeNextVersion proposes the next version. The channel is nil if the rise is blocked;
// the status holds the reasons then.
func (c *Control) proposeNextVersion() (UpgradeStatus, chan fleet.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.leads(now) {
		return UpgradeStatus{}, nil, c.notLeader()
	}
	u := c.upgradeStatusLocked(now)
	if len(u.Blockers) > 0 {
		return u, nil, nil
	}
	w := make(chan fleet.Result, 1)
	id := fmt.Sprint("version ", u.Next)
	c.waiters[id] = append(c.waiters[id], w)
	if _, err := c.proposeVersion(now, u.Next); err != nil {
		c.removeWaiterLocked(id, w)
		return u, nil, err
	}
	return u, w, nil
}
