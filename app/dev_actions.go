package app

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/standin"
)

// faults adds the operator call that breaks things on purpose.
func (d *Dev) addActionRoute(r *echo.Echo) {
	r.POST("/v1/standins/:name/:action", func(c echo.Context) error {
		if err := d.RunAction(c.Param("name"), c.Param("action")); err != nil {
			return err
		}
		return c.String(http.StatusOK, c.Param("name")+": "+c.Param("action")+"\n")
	})
}

// RunAction does something to a server: kill, restart, stall and unstall its
// engine or service, kill-agent, restart-agent and drain-agent beside it, or
// let it leave and return in the platform's list.
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

// engineAction returns what an action does to an engine or a service.
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

// serverAction returns what an action does to the agent or the VM.
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

// Engine returns a stand-in engine by name.
func (d *Dev) Engine(name string) *standin.Engine { return d.engines[name] }

// Service returns a stand-in service by name.
func (d *Dev) Service(name string) *standin.Service { return d.services[name] }

// Held lists the requests that hold memory at any stand-in engine.
func (d *Dev) Held() []string {
	var out []string
	for _, e := range d.engines {
		out = append(out, e.Held()...)
	}
	return out
}

// Votes tells whether the agent beside a server votes on claims.
func (d *Dev) Votes(name string) bool {
	dump, ok := d.agents[name].current().Dump().(agent.Dump)
	return ok && dump.Voting
}

// KillEntry ends an entry at once, by its number.
func (d *Dev) KillEntry(n int) { d.entries[n].kill() }

// Ready tells whether the agent that runs now can serve.
func (a *devAgent) Ready() (bool, string) { return a.current().Ready() }

// Dump returns the state of the agent.
func (a *devAgent) Dump() any { return a.current().Dump() }

// Collect brings the gauges of the agent up to date.
func (a *devAgent) Collect() { a.current().Collect() }

// Explain returns the agent's record of a request.
func (a *devAgent) Explain(id string) (decision.Record, bool) { return a.current().Explain(id) }
