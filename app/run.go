package app

import (
	"context"
	"log/slog"
	"os"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/gateway"
	"github.com/ledgepin/ledgepin/operator"
	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/warmup"
)

// Process is a running process with the roles of its settings file. Its addresses
// are those in use; an address is empty if the process has no such listener.
type Process struct {
	file    *config.File
	log     *slog.Logger
	ln      listeners
	gateway *gateway.Gateway
	entry   *entry.Entry
	agent   *agent.Agent
	control *control.Control
	// Callers, Operators and Metrics are the addresses of the HTTP listeners.
	Callers, Operators, Metrics string
	// Links holds the address for links by role.
	Links map[string]string
}

// Start starts the roles of a settings file. On an error it stops those that it
// has started.
func Start(f *config.File, log *slog.Logger) (*Process, error) {
	p := &Process{file: f, log: log, Links: map[string]string{}}
	p.ln.log = log
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Process) start() error {
	token, err := config.ReadToken(p.file.Tokens.Peers)
	if err != nil {
		return err
	}
	operatorToken, err := config.ReadToken(p.file.Tokens.Operators)
	if err != nil {
		return err
	}
	serverTLS, clientTLS, err := p.file.TLS.Load()
	if err != nil {
		return err
	}
	p.ln.tls = serverTLS
	limitMemory(p.file)
	if p.file.Data != "" {
		if err := os.MkdirAll(p.file.Data, 0o700); err != nil {
			return fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, p.file.Data)
		}
	}
	if err := p.startControl(control.Config{Token: token, TLS: clientTLS}); err != nil {
		return err
	}
	if err := p.startGateway(token); err != nil {
		return err
	}
	if err := p.startAgent(agent.Config{Token: token, TLS: clientTLS}); err != nil {
		return err
	}
	if err := p.startEntry(entry.Config{Token: token, TLS: clientTLS}); err != nil {
		return err
	}
	return p.startOperators(operatorToken)
}

func (p *Process) startControl(c control.Config) error {
	section := p.file.Control
	if section == nil {
		return nil
	}
	c.Name, c.Zone, c.Log = p.file.Name, p.file.Zone, p.log
	c.Members, c.Dir, c.QuotaBounds = section.Members, p.file.Data, quotaBounds(section.Quota)
	c.UpgradeAfter, c.Zones = section.Upgrade.AfterOrDefault(), p.file.Zones
	c.ColdBounds = warmup.Bounds{Overshoot: section.Cold.Overshoot, Slack: section.Cold.Slack}
	c.ParseTable = platform.ParseTable
	if section.Discovery != nil {
		setDiscovery(&c, section)
	}
	var err error
	if p.control, err = control.Start(c); err != nil {
		return err
	}
	if p.Links[config.RoleControl], err = p.ln.serveLinks(section.Links, p.control.Handler()); err != nil || section.API == "" {
		return err
	}
	_, err = p.ln.serve(section.API, apiServer(platform.ControlHandler(p.control, portOf(section.API))))
	return err
}

func (p *Process) startAgent(c agent.Config) error {
	section := p.file.Agent
	if section == nil {
		return nil
	}
	c.Name, c.Zone, c.Log = section.Server, p.file.Zone, p.log
	c.Engine, c.Service = section.Engine, section.Service
	p.agent = agent.Start(c)
	var err error
	p.Links[config.RoleAgent], err = p.ln.serveLinks(section.Links, p.agent.Handler())
	return err
}

func (p *Process) startEntry(c entry.Config) error {
	section := p.file.Entry
	if section == nil {
		return nil
	}
	c.Name, c.Zone, c.Log = p.file.Name, p.file.Zone, p.log
	c.Upstream, c.Peers, c.Platform = section.Upstream, section.Peers, section.Platform
	if p.file.Data != "" {
		c.SettingsFile = spread.NewFile(p.file.Data)
	}
	p.entry = entry.Start(c)
	var err error
	if section.Links != "" {
		if p.Links[config.RoleEntry], err = p.ln.serveLinks(section.Links, p.entry.Handler()); err != nil {
			return err
		}
	}
	p.Callers, err = p.ln.serveCallers(section.Callers, caller.NewServer(caller.Handler(p.entry, p.log, caller.BodyTimeout)))
	return err
}

func (p *Process) startOperators(token string) error {
	roles := map[string]operator.Process{}
	if p.entry != nil {
		roles[config.RoleEntry] = p.entry
	}
	if p.agent != nil {
		roles[config.RoleAgent] = p.agent
	}
	if p.control != nil {
		roles[config.RoleControl] = p.control
	}
	if p.gateway != nil {
		roles[config.RoleGateway] = p.gateway
	}
	o := operator.Options{Token: token, Processes: roles, Control: p.control, Log: p.log}
	var err error
	p.Operators, err = p.ln.serve(p.file.Operators, operator.NewServer(operator.Handler(o)))
	if err != nil || p.file.Metrics == "" {
		return err
	}
	p.Metrics, err = p.ln.serve(p.file.Metrics, operator.NewServer(operator.MetricsHandler(o)))
	return err
}

// Drain drains the roles one after the other and waits until the requests in
// progress are answered, at most for the drain time of the settings file.
func (p *Process) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.file.Drain.D())
	defer cancel()
	event.Draining.Log(p.log)
	if p.agent != nil {
		p.agent.Drain(ctx)
	}
	if p.entry != nil {
		p.entry.Drain(ctx)
	}
	if p.gateway != nil {
		p.drainGateway(ctx)
		return
	}
	p.ln.shutdown(ctx)
	if n := p.ln.unanswered(); n > 0 {
		event.DrainTimeout.Log(p.log, "requests", n)
	}
}

// Close stops all roles and listeners at once.
func (p *Process) Close() {
	if p.entry != nil {
		p.entry.Close()
	}
	if p.agent != nil {
		p.agent.Close()
	}
	if p.gateway != nil {
		p.gateway.Close()
	}
	if p.control != nil {
		p.control.Close()
	}
	p.ln.close()
}
