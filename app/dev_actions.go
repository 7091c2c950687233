package app

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/standin"
)

// addActionRoute adds the operators' route that runs actions on the stand-in
// servers.
func (d *Dev) addActionRoute(r *echo.Echo) {
	r.POST("/v1/standins/:name/:action", func(c echo.Context) error {
		if err := d.RunAction(c.Param("name"), c.Param("action")); err != nil {
			return err
		}
		return c.String(http.StatusOK, c.Param("name")+": "+c.Param("action")+"\n")
	})
}

// RunAction runs an action on the stand-in server of that name. On an engine:
// kill, restart, stall and unstall; on a service: kill; on the agent of either:
// kill-agent, restart-agent and drain-agent; in the platform's list of servers:
// leave and return. It returns a fault.NotFound for other names and actions.
func (d *Dev) RunAction(name, action string) error {
	do := d.engineAction(name, action)
	if do == nil {
		do = d.serverAction(name, action)
	}
	if do == nil {
		return fault.New(fault.NotFound, fault.StepParse, name, "no such stand-in or action")
	}
	return do()
}

// engineAction returns the function of an action on an engine or a service, nil
// if there is none.
func (d *Dev) engineAction(name, action string) func() error {
	e, s := d.engines[name], d.services[name]
	switch {
	case e != nil && action == "kill":
		return func() error { e.Kill(); return nil }
	case e != nil && action == "restart":
		return e.Restart
	case e != nil && action == "stall":
		return func() error { e.SetStall(true); return nil }
	case e != nil && action == "unstall":
		return func() error { e.SetStall(false); return nil }
	case s != nil && action == "kill":
		return func() error { s.Kill(); return nil }
	}
	return nil
}

// serverAction returns the function of an action on an agent or a VM, nil if
// there is none.
func (d *Dev) serverAction(name, action string) func() error {
	a := d.agents[name]
	if a == nil {
		return nil
	}
	switch action {
	case "kill-agent":
		return func() error { a.kill(); return nil }
	case "restart-agent":
		return func() error { a.kill(); return a.start(d) }
	case "drain-agent":
		return func() error { go a.current().Drain(d.ctx); return nil }
	case "leave", "return":
		return func() error { d.platform.SetLeaving(name, action == "leave"); return nil }
	}
	return nil
}

// Engine returns the stand-in engine of that name, nil if there is none.
func (d *Dev) Engine(name string) *standin.Engine { return d.engines[name] }

// Service returns the stand-in service of that name, nil if there is none.
func (d *Dev) Service(name string) *standin.Service { return d.services[name] }

// Held lists the requests that hold memory at a stand-in engine.
func (d *Dev) Held() []string {
	var out []string
	for _, e := range d.engines {
		out = append(out, e.Held()...)
	}
	return out
}

// Votes reports whether the agent of a server votes on claims.
func (d *Dev) Votes(name string) bool {
	dump, ok := d.agents[name].current().Dump().(agent.Dump)
	return ok && dump.Voting
}

// KillEntry ends the entry with index n of Callers at once.
func (d *Dev) KillEntry(n int) { d.entries[n].kill() }

// Ready reports whether the current agent is ready and, if not, why.
func (a *devAgent) Ready() (bool, string) { return a.current().Ready() }

// Dump returns the state of the current agent.
func (a *devAgent) Dump() any { return a.current().Dump() }

// Collect updates the gauges of the current agent.
func (a *devAgent) Collect() { a.current().Collect() }

// Explain returns the current agent's decision record of a request and reports
// whether there is one.
func (a *devAgent) Explain(id string) (decision.Record, bool) { return a.current().Explain(id) }
