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

// Proposal is an operator's wish to change the settings.
type Proposal struct {
	// ID names the change; a resent one gets the first answer again.
	ID string
	// Base is the revision that Text was made from.
	Base uint64
	// Text is the whole new tree in YAML.
	Text []byte
	Who  string
	Note string
	// DryRun only checks and compares.
	DryRun bool
}

// Outcome is the answer to a proposal.
type Outcome struct {
	fleet.Result
	// Edits are the values that the proposal changes.
	Edits []string `json:"edits,omitempty"`
	// Since are the changes made after the proposal's base, if it lost.
	Since []fleet.Past `json:"since,omitempty"`
}

// commitTimeout is how long a proposal waits to be committed.
const commitTimeout = 3 * time.Second

// Change makes a change, or tells why not. An error of code change_outcome_unknown
// means that it may still be made; the same ID can be sent again.
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

// dropWaiter ends the wait for a proposal; others may wait for the same one. Callers hold the
// lock.
func (c *Control) removeWaiterLocked(id string, w chan fleet.Result) {
	c.waiters[id] = slices.DeleteFunc(c.waiters[id], func(o chan fleet.Result) bool { return o == w })
	if len(c.waiters[id]) == 0 {
		delete(c.waiters, id)
	}
}

// propose checks a proposal and puts it into the log.
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
	data, err := fleet.Encode(change)
	if err != nil {
		return Outcome{}, false, nil, fault.Wrap(err, fault.Internal, fault.StepSettings, c.id)
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
	detail := "no leader with a live lease is known here"
	if c.node != nil && c.node.Leader() != "" {
		detail = "the leader is " + c.node.Leader()
	}
	return fault.New(fault.NotLeader, fault.StepSettings, c.id, detail)
}

// check parses the new tree and makes the command. Callers hold the lock.
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
		ID: p.ID, Base: p.Base, Delta: settings.MakeDelta(c.state.Text(), p.Text), Sum: sha256.Sum256(p.Text),
		Who: p.Who, Note: p.Note, When: clock.Day().UnixNano(), Edits: edits[:min(len(edits), fleet.MaxEdits)],
	}, edits, nil
}

func (c *Control) outcome(p Proposal, out Outcome) (Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomeLocked(p, out)
}

// judgedLocked turns a result into an answer: a lost race shows what changed.
func (c *Control) outcomeLocked(p Proposal, out Outcome) (Outcome, error) {
	if out.OK {
		event.SettingChanged.Log(c.log, "change", p.ID, "revision", out.Revision, "who", p.Who)
		return out, nil
	}
	event.SettingRefused.Log(c.log, "change", p.ID, "detail", out.Detail)
	out.Since = slices.Clone(c.state.History(p.Base))
	return out, fault.New(fault.Conflict, fault.StepSettings, c.id, out.Detail)
}

// CurrentSettings is what operators see of the settings.
type CurrentSettings struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// Current tells that a leader under its lease vouches for it.
	Current bool `json:"current"`
}

// leads tells whether this replica leads under its lease. One that was closed doesn't, however
// long the lease lasts. Callers hold the lock.
func (c *Control) leads(now time.Time) bool {
	return c.node != nil && c.ctx.Err() == nil && c.node.Lead(now)
}

// fresh tells whether this replica is sure of the newest: it leads, or is in touch with who
// does. Callers hold the lock.
func (c *Control) isCurrent(now time.Time) bool {
	return c.node != nil && c.ctx.Err() == nil && c.node.Fresh(now)
}

// Settings returns the newest settings of this replica. Only a leader under
// its lease, or a replica in touch with one, answers.
func (c *Control) Settings() (CurrentSettings, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return CurrentSettings{}, c.notLeader()
	}
	return CurrentSettings{Revision: c.state.Revision(), Text: string(c.state.Text()), Current: true}, nil
}

// History returns the changes after a revision.
func (c *Control) History(after uint64) ([]fleet.Past, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return nil, c.notLeader()
	}
	return slices.Clone(c.state.History(after)), nil
}

// maxVoters is the number of voters; further replicas stand by as learners.
const maxVoters = 3

// reconcile brings the membership of the log in line with the settings, one
// step at a time. Callers hold the lock.
func (c *Control) reconcile(now time.Time) {
	if !c.node.Lead(now) || c.store.Tree() == nil || len(c.store.Tree().Fleet.Control) == 0 {
		return
	}
	members := c.node.Status(now).Members
	step := nextStep(members, configuredNames(c.store.Tree()), c.joinable(), c.node.Caught)
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

// nextStep chooses one step of membership. A voter is removed only while every
// learner that could take its place has caught up, so that a second loss right
// after the first finds a whole group.
func nextStep(m consensus.Members, want, connected []string, caught func(string) bool) consensus.Change {
	for _, id := range connected {
		if slices.Contains(want, baseName(id)) && !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) {
			return consensus.Change{Add: id}
		}
	}
	ready := ""
	for _, id := range m.Learners {
		if slices.Contains(connected, id) && !caught(id) {
			return consensus.Change{} // wait for it
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

// hasTwin tells whether another replica of the same name is a member: the one
// with the older identity has lost its disk.
func hasOtherIdentity(m consensus.Members, id string) bool {
	otherIdentity := func(s string) bool { return s != id && baseName(s) == baseName(id) }
	return slices.ContainsFunc(m.Voters, otherIdentity) || slices.ContainsFunc(m.Learners, otherIdentity)
}
