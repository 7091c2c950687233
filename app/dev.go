package app

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"text/template"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/operator"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/standin"
)

// DevOptions are the flags of the dev command.
type DevOptions struct {
	Listen, OperatorListen string
	// TokenTime is the time between tokens of the stand-in engines.
	TokenTime time.Duration
	// PrefillRate is their prefill rate in tokens a second.
	PrefillRate float64
	Log         *slog.Logger
}

// Dev is every role in one process with stand-ins for what is outside. The
// roles talk over the same links as in a fleet.
type Dev struct {
	opts     DevOptions
	ln       listeners
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	platform *standin.Platform
	agents   map[string]*agent.Agent
	control  *control.Control
	entry    *entry.Entry
	// Callers and Operators are the addresses in use.
	Callers, Operators string
}

// The tokens that dev lets callers in with.
const (
	DevDeskToken   = "dev-desk"
	DevReviewToken = "dev-review"
	DevModel       = "assist"
)

// devServers are the stand-in backend servers and their pools.
var devServers = []struct{ name, role string }{
	{"prefill-1", settings.RolePrefill}, {"prefill-2", settings.RolePrefill},
	{"decode-1", settings.RoleDecode}, {"decode-2", settings.RoleDecode},
	{"broker-1", settings.RoleService}, {"broker-2", settings.RoleService}, {"broker-3", settings.RoleService},
}

// StartDev starts it all and waits until the entry is ready.
func StartDev(ctx context.Context, o DevOptions) (*Dev, error) {
	d := &Dev{
		opts: o, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, agents: map[string]*agent.Agent{},
	}
	d.ln.log = o.Log
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(ctx context.Context) error {
	agents := map[string]string{}
	for _, s := range devServers {
		addr, err := d.startServer(s.name, s.role)
		if err != nil {
			return err
		}
		agents[s.name] = addr
	}
	var err error
	if d.platform, err = standin.StartPlatform("127.0.0.1:0", nil, time.Second); err != nil {
		return err
	}
	d.control, err = control.Start(control.Config{
		Name: "control-1", Zone: "dev", Members: map[string]string{"control-1": "127.0.0.1:0"}, Log: d.opts.Log,
	})
	if err != nil {
		return err
	}
	links, err := d.ln.links("127.0.0.1:0", d.control.Handler())
	if err != nil {
		return err
	}
	d.entry = entry.Start(entry.Config{
		Name: "entry-1", Zone: "dev", Upstream: []string{links}, Platform: d.platform.Addr(), Log: d.opts.Log,
	})
	if d.Callers, err = d.ln.serve(d.opts.Listen, caller.NewServer(caller.Handler(d.entry, d.opts.Log))); err != nil {
		return err
	}
	if d.Operators, err = d.ln.serve(d.opts.OperatorListen, operator.NewServer(d.operators())); err != nil {
		return err
	}
	if err := d.firstSettings(ctx, agents); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startServer starts a stand-in server and the agent beside it.
func (d *Dev) startServer(name, role string) (string, error) {
	c := agent.Config{Name: name, Zone: "dev", Log: d.opts.Log, FoundClaims: true}
	if role == settings.RoleService {
		s, err := standin.StartService("127.0.0.1:0")
		if err != nil {
			return "", err
		}
		d.services[name] = s
		c.Service = s.Addr()
	} else {
		e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
			Name: name, Models: []string{DevModel}, PrefillRate: d.opts.PrefillRate, TokenTime: d.opts.TokenTime,
			LinkRate: 1e9, KVPerToken: 1000, KVHold: 5 * time.Second, Slots: 16, Tokens: 64,
		})
		if err != nil {
			return "", err
		}
		d.engines[name] = e
		c.Engine = e.Addr()
	}
	a := agent.Start(c)
	d.agents[name] = a
	return d.ln.links("127.0.0.1:0", a.Handler())
}

var devTree = template.Must(template.New("tree").Parse(`fleet:
  models:
    assist: {version: "1", weights: 16GB, kv_per_token: 1KB}
  classes:
    desk: {priority: 0, ttft: 1s, tbt: 200ms}
    review: {priority: 2, ttft: 30s, tbt: 500ms, keep_when_gone: true}
  customers:
    studio:
      home: dev
      tokens:
        - {sha256: {{.Desk}}, class: desk}
        - {sha256: {{.Review}}, class: review}
  services:
    licence:
      once: [/checkout]
      timeout: 5s
      claim_lifetime: 1h
      claim_group:
        dev: [broker-1, broker-2, broker-3]
  sites:
    dev:
      zone: dev
      pools:
        prefill:
          role: prefill
          slots: 8
          models: {assist: {}}
          servers:
            prefill-1: {agent: "{{index .Agents "prefill-1"}}"}
            prefill-2: {agent: "{{index .Agents "prefill-2"}}"}
        decode:
          role: decode
          slots: 16
          models: {assist: {}}
          servers:
            decode-1: {agent: "{{index .Agents "decode-1"}}"}
            decode-2: {agent: "{{index .Agents "decode-2"}}"}
        brokers:
          role: service
          service: licence
          servers:
            broker-1: {agent: "{{index .Agents "broker-1"}}"}
            broker-2: {agent: "{{index .Agents "broker-2"}}"}
            broker-3: {agent: "{{index .Agents "broker-3"}}"}
`))

type devValues struct {
	Desk, Review string
	Agents       map[string]string
}

// firstSettings makes the first change of the settings, as an operator would.
func (d *Dev) firstSettings(ctx context.Context, agents map[string]string) error {
	var text bytes.Buffer
	v := devValues{Desk: settings.HashToken(DevDeskToken), Review: settings.HashToken(DevReviewToken), Agents: agents}
	if err := devTree.Execute(&text, v); err != nil {
		return fault.Wrap(err, fault.Internal, fault.StepSettings, "dev")
	}
	for {
		_, err := d.control.Change(ctx, control.Proposal{ID: "dev-first", Text: text.Bytes(), Who: "dev", Note: "first settings"})
		if !fault.Is(err, fault.NotLeader) {
			return err
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

// waitReady waits until the entry serves and has a link to each agent.
func (d *Dev) waitReady(ctx context.Context) error {
	for {
		if ok, _ := d.entry.Ready(); ok && d.entry.Links() == len(devServers) && len(d.entry.Models()) == 1 {
			return nil
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return nil
	}
}

func (d *Dev) operators() http.Handler {
	roles := map[string]operator.Process{"entry-1": d.entry, "control-1": d.control}
	for name, a := range d.agents {
		roles[name] = a
	}
	return operator.Handler(operator.Options{Processes: roles, Control: d.control, Log: d.opts.Log, Extra: d.faults})
}

// faults adds the operator call that breaks stand-ins on purpose.
func (d *Dev) faults(r *echo.Echo) {
	r.POST("/v1/standins/:name/:action", func(c echo.Context) error {
		if err := d.Break(c.Param("name"), c.Param("action")); err != nil {
			return err
		}
		return c.String(http.StatusOK, c.Param("name")+": "+c.Param("action")+"\n")
	})
}

// Break does something to a stand-in: kill, restart, stall, unstall, leave or
// return.
func (d *Dev) Break(name, action string) error {
	e, s := d.engines[name], d.services[name]
	switch {
	case action == "kill" && e != nil:
		e.Kill()
	case action == "restart" && e != nil:
		return e.Restart()
	case action == "stall" && e != nil:
		e.SetStall(true)
	case action == "unstall" && e != nil:
		e.SetStall(false)
	case action == "kill" && s != nil:
		s.Kill()
	case action == "leave" || action == "return":
		d.platform.SetLeaving(name, action == "leave")
	default:
		return fault.New(fault.NotFound, fault.StepParse, name, "no such stand-in or action")
	}
	return nil
}

// Hints writes what to try next.
func (d *Dev) Hints(w io.Writer) error {
	_, err := fmt.Fprintf(w, `ledgepin dev: every role in this process, with stand-in engines
callers    http://%[1]s
operators  http://%[2]s

Try:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' \
    -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"May I check out a seat?"}]}'
  curl http://%[1]s/services/licence/checkout -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: one' -d '{"seat":"cad-7"}'
  ledgepin dump %[2]s
  ledgepin settings get
  curl -X POST http://%[2]s/v1/standins/decode-1/kill
`, d.Callers, d.Operators, DevDeskToken, DevModel)
	return err
}

// Drain waits for the work in progress.
func (d *Dev) Drain(ctx context.Context) { d.entry.Drain(ctx) }

// Close ends everything.
func (d *Dev) Close() {
	if d.entry != nil {
		d.entry.Close()
	}
	for _, a := range d.agents {
		a.Close()
	}
	if d.control != nil {
		d.control.Close()
	}
	d.ln.close()
	for _, e := range d.engines {
		e.Kill()
	}
	for _, s := range d.services {
		s.Kill()
	}
	if d.platform != nil {
		d.platform.Kill()
	}
}

// Held lists the requests that hold memory at any stand-in engine.
func (d *Dev) Held() []string {
	var out []string
	for _, e := range d.engines {
		out = append(out, e.Held()...)
	}
	return out
}
