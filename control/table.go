package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// PutTable puts a routing table in force if its version is the highest. A table whose
// version is not above the current one is superseded, and is acknowledged without effect.
// An error of code change_outcome_unknown means that the table may still come into force;
// the same table can be sent again.
func (c *Control) PutTable(ctx context.Context, t *route.Table) error {
	if err := t.Validate(); err != nil {
		event.SettingRefused.Log(c.log, "version", t.Version, "detail", err.Error())
		return fault.Wrap(err, fault.BadSettings, fault.StepSettings, "operator")
	}
	id, w, done, err := c.proposeTable(t)
	if err != nil || done {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.awaitCommit(ctx, id, w); err != nil {
		return err
	}
	event.SettingChanged.Log(c.log, "version", t.Version, "who", "operator")
	return nil
}

// callTimeout is how long an operator's call waits for the commit. Operators switch to
// another replica after a second.
const callTimeout = 900 * time.Millisecond

// awaitCommit waits until a proposal has taken effect. An error of code
// change_outcome_unknown means that it may still take effect.
func (c *Control) awaitCommit(ctx context.Context, id string, w chan fleet.Result) error {
	defer c.removeWaiter(id, w)
	select {
	case <-w:
		return nil
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return fault.New(fault.ChangeOutcomeUnknown, fault.StepSettings, c.cfg.Name, "not confirmed in time; send it again")
}

func (c *Control) proposeTable(t *route.Table) (string, chan fleet.Result, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.state.Table(); current != nil && current.Version >= t.Version {
		return "", nil, true, nil // what is applied here is committed
	}
	now := c.clock.Now()
	if !c.leads(now) {
		return "", nil, false, c.notLeader()
	}
	id, w, err := c.proposeUnique(now, fmt.Sprint("table ", t.Version), fleet.Change{Table: t.Persisted()})
	return id, w, false, err
}

// proposeUnique appends a change to the log under an ID that no other proposal has. It
// returns the ID and the channel on which the result is delivered. Callers hold c.mu.
func (c *Control) proposeUnique(now time.Time, what string, change fleet.Change) (string, chan fleet.Result, error) {
	c.proposals++
	change.ID = fmt.Sprintf("%s %s %d", what, c.id, c.proposals)
	data, err := encodeChange(change)
	if err != nil {
		return "", nil, err
	}
	w := make(chan fleet.Result, 1)
	c.waiters[change.ID] = append(c.waiters[change.ID], w)
	if _, err := c.node.Propose(now, data); err != nil {
		c.removeWaiterLocked(change.ID, w)
		return "", nil, c.notLeader()
	}
	c.processReady(now)
	return change.ID, w, nil
}

// Table returns the routing table in force; nil before the first one. It fails if the
// replica can't be sure that its table is the newest.
func (c *Control) Table() (*route.Table, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return nil, c.notLeader()
	}
	return c.state.Table(), nil
}

// Leader returns the link address of the leader that this replica follows. It is empty if
// there is no known leader or if this replica leads itself.
func (c *Control) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node == nil || c.node.Leader() == c.id {
		return ""
	}
	return baseName(c.node.Leader())
}

// Report handles a backend server's report about itself. It returns false if no gateway or
// other replica is connected to this one, so that the server reports to another replica,
// and an error if the report can only come from another server. The report of an earlier
// incarnation counts as accepted, since that incarnation gets no work any more.
func (c *Control) Report(s registry.Server) (reachable bool, err error) {
	reachable, err = c.hub.report(s)
	switch {
	case errors.Is(err, registry.ErrSuperseded):
		c.logRejectedReport("earlier", s.StableName(), s.Address, err)
		err = nil
	case err != nil:
		c.logRejectedReport("another", s.StableName(), s.Address, err)
	case s.State != registry.Ready:
		event.ServerLeaving.Log(c.log, "server", s.StableName(), "service", s.Service, "state", string(s.State))
	}
	return reachable, err
}

// RejectReport records that a report about a server could not be read.
func (c *Control) RejectReport(name, from string, err error) {
	c.logRejectedReport("unreadable", name, from, err)
}

// logRejectedReport counts and logs a report that is not used.
func (c *Control) logRejectedReport(reason, name, from string, err error) {
	metric.RefusedServerReports.WithLabelValues(reason).Inc()
	if c.rejectionLog.Allow(c.clock.Now(), reason+" "+name) {
		event.ServerReportRefused.Log(c.log, "server", name, "from", from, "error", err)
	}
}

// ReplicaInZone returns the link address of a connected replica in an availability zone. It
// is empty if there is none, or if this replica is in that zone. Servers report about once
// a second, and with a replica in their own zone these reports need not cross zones.
func (c *Control) ReplicaInZone(zone string) string {
	if zone == "" || zone == c.cfg.Zone {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := ""
	for _, p := range c.peerLinks {
		if p.link != nil && p.link.Peer.Zone == zone && (lowest == "" || p.addr < lowest) {
			lowest = p.addr
		}
	}
	return lowest
}

// Servers returns the backend servers that this replica knows.
func (c *Control) Servers() []registry.Server { return c.hub.listServers() }
