package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/roles"
)

// RoleConfig configures how the leader assigns roles to engines.
type RoleConfig struct {
	// Protocol is the protocol of the engines; without it, no orders are given.
	Protocol *backend.Protocol
	// Share is the share of prefill engines while there is no load.
	Share float64
	// Lease is the time that must pass between the orders of two leaders.
	Lease time.Duration
}

// Intervals and limits of role orders.
const (
	planEvery    = 250 * time.Millisecond
	orderTimeout = time.Second
	// leaseMargin is added to the lease, since an order of the previous leader may still be
	// in transit.
	leaseMargin    = 700 * time.Millisecond
	maxReportBytes = 64 << 10
	// firstTerm is the term of the first leader of a group.
	firstTerm = 2
)

// rolePlanning is the state of a replica that plans the roles of engines.
type rolePlanning struct {
	pool     *backend.Pool
	planners map[string]*roles.Planner
	// ledSince is when this replica became the leader; zero if it does not lead.
	ledSince time.Time
}

// roleLoop plans roles while this replica leads.
func (c *Control) roleLoop() {
	p := &rolePlanning{pool: c.newEnginePool(), planners: map[string]*roles.Planner{}}
	defer p.pool.Close()
	wait.Every(c.ctx, c.clock, planEvery, func(now time.Time) { c.planRoles(now, p) })
}

// planRoles issues the role orders that are due. A new leader waits until no order of the
// previous one can be in transit.
func (c *Control) planRoles(now time.Time, p *rolePlanning) {
	fence, ok := c.fence(now)
	if !ok {
		if !p.ledSince.IsZero() {
			metric.RoleWork.Reset()
			metric.RoleEngines.Reset()
		}
		p.ledSince = time.Time{}
		clear(p.planners)
		return
	}
	if p.ledSince.IsZero() {
		p.ledSince = now
	}
	mayOrder := fence <= firstTerm || now.Sub(p.ledSince) >= c.cfg.Roles.Lease+leaseMargin
	work := c.hub.serviceWork()
	for service, engines := range c.hub.serviceEngines(now) {
		planner := p.planners[service]
		if planner == nil {
			planner = c.newPlanner(fence)
			p.planners[service] = planner
		}
		planner.NoteWork(now, work[service])
		noteRoles(service, engines, work[service])
		if !mayOrder {
			planner.Observe(now, engines)
			continue
		}
		for _, o := range planner.Plan(now, engines) {
			c.orderRole(p.pool, service, o)
		}
	}
}

// noteRoles sets the metrics of a service's roles.
func noteRoles(service string, engines []roles.Engine, w roles.Work) {
	count := map[string]float64{}
	for _, e := range engines {
		count[e.Role]++
	}
	for role, work := range map[string]float64{registry.Prefill: w.Prefill, registry.Decode: w.Decode} {
		metric.RoleWork.WithLabelValues(service, role).Set(work)
		metric.RoleEngines.WithLabelValues(service, role).Set(count[role])
	}
}

// newPlanner returns the planner for a leader of a term.
func (c *Control) newPlanner(term uint64) *roles.Planner {
	if term > firstTerm {
		return roles.Resume(c.cfg.Roles.Share)
	}
	return &roles.Planner{PrefillShare: c.cfg.Roles.Share}
}

// fence returns the current term as a fence. It returns false unless this replica leads
// under its lease.
func (c *Control) fence(now time.Time) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leads(now) {
		return 0, false
	}
	return c.node.Term(), true
}

// orderRole issues one order. The engine is first asked for the number of orders that it
// has accepted, so that this order has no effect if it arrives after a later one.
func (c *Control) orderRole(pool *backend.Pool, service string, o roles.Change) {
	s, known := c.hub.server(o.Engine)
	engine, ok := c.hub.engineSpec(service)
	if !known || !ok {
		return
	}
	status, err := c.sendRoleOrder(pool, s, o)
	event.RoleOrdered.Log(c.log, "server", s.StableName(), "role", o.Role, "status", status, "error", err, "prefill", o.Prefill,
		"decode", o.Decode, "prefill_use", o.PrefillUtilization, "decode_use", o.DecodeUtilization, "want", o.WantPrefill,
		"prefill_work", o.Work.Prefill, "decode_work", o.Work.Decode)
	if status == http.StatusAccepted || errors.Is(err, errNoAnswer) {
		c.hub.markAway(s.ID, o.Role, engine.RoleSwitch)
	}
}

// errNoAnswer means that an order was sent and may be carried out.
var errNoAnswer = errors.New("control: no answer to a role order")

// errRestarted means that an engine has restarted since the plan was made.
var errRestarted = errors.New("control: the engine has restarted since the plan was made")

func (c *Control) sendRoleOrder(pool *backend.Pool, s registry.Server, o roles.Change) (int, error) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	protocol := c.cfg.Roles.Protocol
	status, body, err := c.call(ctx, pool, s, protocol.Report())
	if err != nil || status != http.StatusOK {
		return status, fmt.Errorf("report: %w", err)
	}
	report, err := protocol.ParseReport(body)
	if err != nil || report.Busy || report.Role == o.Role {
		return 0, err
	}
	if !s.SameIncarnation(report.Born) {
		return 0, errRestarted
	}
	fence, ok := c.fence(c.clock.Now())
	if !ok {
		return 0, nil
	}
	status, _, err = c.call(ctx, pool, s, protocol.RoleOrder(backend.RoleOrder{
		Role: o.Role, Holder: c.cfg.Name, Fence: fence, Sequence: report.Sequence,
	}))
	if backend.WasSent(err) {
		return 0, errNoAnswer
	}
	return status, err
}

func (c *Control) call(ctx context.Context, pool *backend.Pool, s registry.Server, call backend.Call) (int, []byte, error) {
	h := &c.cfg.Roles.Protocol.Headers
	r := backend.Request{Address: s.Address, Method: call.Method, Target: call.Path, Host: s.Address, Header: http.Header{}, Body: call.Body, Server: s.ID}
	r.Header.Set(h.ExpectInstance, s.StableName())
	if call.ContentType != "" {
		r.Header.Set("Content-Type", call.ContentType)
	}
	resp, err := pool.Do(ctx, h, r)
	if err != nil {
		return 0, nil, err
	}
	body, err := resp.ReadAll(maxReportBytes)
	if err != nil {
		return 0, nil, &backend.Error{Sent: true, Cause: err}
	}
	return resp.Status, body, nil
}
