package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/settings"
)

// Proposal is a change of the settings that an operator requests.
type Proposal struct {
	// ID identifies the change. A proposal that is sent again with the same ID returns the
	// first result.
	ID string
	// Base is the revision that Text was derived from.
	Base uint64
	// Text is the complete new settings tree in YAML.
	Text []byte
	// Who names the operator.
	Who string
	// Note is the operator's comment for the history.
	Note string
	// DryRun validates and compares the proposal without making the change.
	DryRun bool
}

// Outcome is the result of a proposal.
type Outcome struct {
	fleet.Result
	// Edits are the values that the proposal changes.
	Edits []string `json:"edits,omitempty"`
	// Since are the changes made after the proposal's base, if the proposal conflicts with
	// them.
	Since []fleet.Past `json:"since,omitempty"`
}

// commitTimeout is the time that a proposal waits to be committed.
const commitTimeout = 3 * time.Second

// Change makes a change of the settings, or returns the reason why it can't. An error of
// code change_outcome_unknown means that the change may still be made; it can be sent again
// with the same ID.
func (c *Control) Change(ctx context.Context, p Proposal) (Outcome, error) {
	out, done, w, err := c.propose(p)
	if err != nil || done {
		return out, err
	}
	t := time.NewTimer(commitTimeout)
	defer t.Stop()
	select {
	case res := <-w:
		out.Result = res
		return c.outcome(p, out)
	case <-t.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	c.removeWaiter(p.ID, w)
	return out, fault.New(fault.ChangeOutcomeUnknown, fault.StepSettings, c.id, "not confirmed in time; send it again with the same change ID")
}

func (c *Control) removeWaiter(id string, w chan fleet.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeWaiterLocked(id, w)
}

// removeWaiterLocked removes one waiter of a proposal; other callers may wait for the same
// proposal. Callers hold c.mu.
func (c *Control) removeWaiterLocked(id string, w chan fleet.Result) {
	c.waiters[id] = slices.DeleteFunc(c.waiters[id], func(o chan fleet.Result) bool { return o == w })
	if len(c.waiters[id]) == 0 {
		delete(c.waiters, id)
	}
}

// propose validates a proposal and appends it to the log. It returns true if the outcome is
// known already; otherwise the channel delivers the result.
func (c *Control) propose(p Proposal) (Outcome, bool, chan fleet.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.leads(now) {
		return Outcome{}, false, nil, c.notLeader()
	}
	if res, ok := c.state.Result(p.ID); ok && !p.DryRun {
		out, err := c.outcomeLocked(p, Outcome{Result: res})
		return out, true, nil, err
	}
	change, edits, err := c.buildChange(p)
	if err != nil {
		return Outcome{}, false, nil, err
	}
	out := Outcome{Edits: edits, Result: fleet.Result{ID: p.ID, Revision: c.state.Revision()}}
	if p.Base != c.state.Revision() {
		out.Detail = fmt.Sprintf("based on revision %d, and %d is the newest", p.Base, c.state.Revision())
		out, err := c.outcomeLocked(p, out)
		return out, true, nil, err
	}
	if p.DryRun {
		out.OK = true
		return out, true, nil, nil
	}
	data, err := encodeChange(change)
	if err != nil {
		return Outcome{}, false, nil, err
	}
	w := make(chan fleet.Result, 1)
	c.waiters[p.ID] = append(c.waiters[p.ID], w)
	if _, err := c.node.Propose(now, data); err != nil {
		c.removeWaiterLocked(p.ID, w)
		return Outcome{}, false, nil, c.notLeader()
	}
	c.processReady(now)
	return out, false, w, nil
}

func (c *Control) notLeader() error {
	detail := "this replica knows no leader with a valid lease"
	if c.node != nil && c.node.Leader() != "" {
		detail = "the leader is " + c.node.Leader()
	}
	return fault.New(fault.NotLeader, fault.StepSettings, c.id, detail)
}

// buildChange parses the new tree and builds the command for the log. Callers hold c.mu.
func (c *Control) buildChange(p Proposal) (fleet.Change, []string, error) {
	tree, err := settings.Parse("settings", p.Text)
	if err != nil {
		return fleet.Change{}, nil, fault.Wrap(err, fault.BadSettings, fault.StepSettings, "operator")
	}
	diff, err := settings.Diff(c.store.Tree(), tree)
	if err != nil {
		return fleet.Change{}, nil, fault.Wrap(err, fault.Internal, fault.StepSettings, c.id)
	}
	edits := make([]string, len(diff))
	for i, e := range diff {
		edits[i] = e.String()
	}
	return fleet.Change{
		ID: p.ID, Base: p.Base, Delta: settings.NewDelta(c.state.Text(), p.Text), Sum: sha256.Sum256(p.Text),
		Who: p.Who, Note: p.Note, When: clock.WallTime().UnixNano(), Edits: edits[:min(len(edits), fleet.MaxEdits)],
	}, edits, nil
}

func (c *Control) outcome(p Proposal, out Outcome) (Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomeLocked(p, out)
}

// outcomeLocked converts a result to the caller's answer. A conflict carries the changes
// made since the base. Callers hold c.mu.
func (c *Control) outcomeLocked(p Proposal, out Outcome) (Outcome, error) {
	if out.OK {
		event.SettingChanged.Log(c.log, "change", p.ID, "revision", out.Revision, "who", p.Who)
		return out, nil
	}
	event.SettingRefused.Log(c.log, "change", p.ID, "detail", out.Detail)
	out.Since = slices.Clone(c.state.History(p.Base))
	return out, fault.New(fault.Conflict, fault.StepSettings, c.id, out.Detail)
}

// CurrentSettings is the settings document as operators read it.
type CurrentSettings struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// Current reports whether a leader under its lease confirms that the revision is the
	// newest.
	Current bool `json:"current"`
}

// leads reports whether this replica leads under its lease. A closed replica does not, even
// if its lease has not expired. Callers hold c.mu.
func (c *Control) leads(now time.Time) bool {
	return c.node != nil && c.ctx.Err() == nil && c.node.IsLeader(now)
}

// isCurrent reports whether this replica is sure to have the newest state: it leads, or is
// connected to the leader. Callers hold c.mu.
func (c *Control) isCurrent(now time.Time) bool {
	return c.node != nil && c.ctx.Err() == nil && c.node.Fresh(now)
}

// Settings returns the newest settings of this replica. It fails unless the replica leads
// under its lease or is connected to such a leader.
func (c *Control) Settings() (CurrentSettings, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return CurrentSettings{}, c.notLeader()
	}
	return CurrentSettings{Revision: c.state.Revision(), Text: string(c.state.Text()), Current: true}, nil
}

// History returns the changes made after a revision.
func (c *Control) History(after uint64) ([]fleet.Past, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return nil, c.notLeader()
	}
	return slices.Clone(c.state.History(after)), nil
}

// maxVoters is the number of voters; further replicas are learners on standby.
const maxVoters = 3

// reconcile brings the membership of the log in line with the settings, one step at a time.
// Callers hold c.mu.
func (c *Control) reconcile(now time.Time) {
	if !c.node.IsLeader(now) || c.store.Tree() == nil || len(c.store.Tree().Fleet.Control) == 0 {
		return
	}
	members := c.node.Status(now).Members
	step := nextStep(members, configuredNames(c.store.Tree()), c.joinable(), c.node.CaughtUp)
	if step == (consensus.Change{}) {
		return
	}
	if _, err := c.node.ChangeMembers(now, step); err == nil {
		c.processReady(now)
	}
}

func configuredNames(t *settings.Tree) []string {
	var out []string
	for name := range t.Fleet.Control {
		out = append(out, name)
	}
	return out
}

// nextStep returns the next membership change, or none. A voter is removed only after every
// learner that could replace it has caught up, so that the group is complete when a second
// replica fails right after the first.
func nextStep(m consensus.Members, want, connected []string, caught func(string) bool) consensus.Change {
	for _, id := range connected {
		if slices.Contains(want, baseName(id)) && !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) {
			return consensus.Change{Add: id}
		}
	}
	ready := ""
	for _, id := range m.Learners {
		if slices.Contains(connected, id) && !caught(id) {
			return consensus.Change{} // wait until it has caught up
		}
		if caught(id) && slices.Contains(connected, id) && ready == "" {
			ready = id
		}
	}
	if ready != "" && len(m.Voters) < maxVoters {
		return consensus.Change{Promote: ready}
	}
	for _, id := range m.Voters {
		replaced := slices.ContainsFunc(m.Learners, func(l string) bool { return baseName(l) == baseName(id) })
		removable := !slices.Contains(want, baseName(id)) || replaced
		if removable && (ready != "" || len(m.Voters) > maxVoters) {
			return consensus.Change{Remove: id}
		}
	}
	for _, id := range m.Learners {
		if !slices.Contains(want, baseName(id)) || !slices.Contains(connected, id) && hasOtherIdentity(m, id) {
			return consensus.Change{Remove: id}
		}
	}
	return consensus.Change{}
}

// hasOtherIdentity reports whether another replica of the same name is a member. The one
// with the older identity has lost its disk.
func hasOtherIdentity(m consensus.Members, id string) bool {
	otherIdentity := func(s string) bool { return s != id && baseName(s) == baseName(id) }
	return slices.ContainsFunc(m.Voters, otherIdentity) || slices.ContainsFunc(m.Learners, otherIdentity)
}
