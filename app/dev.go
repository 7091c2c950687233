package app

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/operator"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/standin"
)

// DevOptions configures a Dev: by the flags of the dev command and, in tests, by
// Entries and BodyTimeout.
type DevOptions struct {
	Listen, OperatorListen string
	// TokenTime is the time between two tokens of a stand-in engine.
	TokenTime time.Duration
	// PrefillRate is the prefill rate of a stand-in engine in tokens per second.
	PrefillRate float64
	// Entries is the number of entries; zero means one. The first listens at
	// Listen, the others listen at free ports.
	Entries int
	// BodyTimeout bounds the time for reading a caller's body; zero means
	// caller.BodyTimeout.
	BodyTimeout time.Duration
	Log         *slog.Logger
}

func (o DevOptions) bodyTimeout() time.Duration {
	return cmp.Or(o.BodyTimeout, caller.BodyTimeout)
}

// Dev runs every role in one process, with stand-ins for the engines, the
// services and the platform. The roles communicate over links, as in a fleet.
type Dev struct {
	opts     DevOptions
	ctx      context.Context
	cancel   context.CancelFunc
	ln       listeners
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	platform *standin.Platform
	agents   map[string]*devAgent
	entries  []*devEntry
	control  *control.Control
	// Callers holds the address for callers of each entry.
	Callers []string
	// Operators is the address for operators.
	Operators string
}

// devAgent is an agent with a listener of its own, so that it can be killed
// alone.
type devAgent struct {
	conf agent.Config
	addr string
	ln   listeners

	mu   sync.Mutex
	proc *agent.Agent
}

func (a *devAgent) start(d *Dev) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ln = listeners{log: d.opts.Log}
	a.proc = agent.Start(a.conf)
	addr, err := a.ln.serveLinks(a.addr, a.proc.Handler())
	for try := 0; err != nil && try < maxRebinds; try++ {
		// An outgoing connection may use the port of the killed agent.
		time.Sleep(rebindInterval)
		addr, err = a.ln.serveLinks(a.addr, a.proc.Handler())
	}
	a.addr = addr
	return err
}

// Attempts to listen again at the address of a killed agent.
const (
	maxRebinds     = 20
	rebindInterval = 100 * time.Millisecond
)

// current returns the agent that runs now; nil before the first start.
func (a *devAgent) current() *agent.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proc
}

func (a *devAgent) kill() {
	a.ln.close()
	a.current().Close()
}

// devEntry is an entry with a listener of its own.
type devEntry struct {
	ln   listeners
	proc *entry.Entry
}

func (e *devEntry) kill() {
	e.proc.Close()
	e.ln.close()
}

// Tokens and the model in the settings of dev.
const (
	// The tokens of callers, one for each class.
	DevDeskToken   = "dev-desk"
	DevReviewToken = "dev-review"
	DevScreenToken = "dev-screening"
	// DevModel is the model that the stand-in engines serve.
	DevModel = "assist"
)

// devServers lists the stand-in backend servers and their roles.
var devServers = []struct{ name, role string }{
	{"prefill-1", settings.RolePrefill}, {"prefill-2", settings.RolePrefill},
	{"decode-1", settings.RoleDecode}, {"decode-2", settings.RoleDecode},
	{"broker-1", settings.RoleService}, {"broker-2", settings.RoleService}, {"broker-3", settings.RoleService},
}

// StartDev starts all roles and stand-ins and waits until every entry is ready
// and connected to every agent.
func StartDev(ctx context.Context, o DevOptions) (*Dev, error) {
	d := &Dev{
		opts: o, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, agents: map[string]*devAgent{},
	}
	d.ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.ln.log = o.Log
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(ctx context.Context) error {
	for _, s := range devServers {
		if err := d.startServer(s.name, s.role); err != nil {
			return err
		}
	}
	var err error
	if d.platform, err = standin.StartPlatform("127.0.0.1:0", d.serverNames(), time.Second); err != nil {
		return err
	}
	d.control, err = control.Start(control.Config{
		Name: "control-1", Zone: "dev", Members: map[string]string{"control-1": "127.0.0.1:0"}, Log: d.opts.Log,
	})
	if err != nil {
		return err
	}
	links, err := d.ln.serveLinks("127.0.0.1:0", d.control.Handler())
	if err != nil {
		return err
	}
	for i := range max(d.opts.Entries, 1) {
		if err := d.startEntry(i, links); err != nil {
			return err
		}
	}
	if d.Operators, err = d.ln.serve(d.opts.OperatorListen, operator.NewServer(d.operatorHandler())); err != nil {
		return err
	}
	if err := d.applyFirstSettings(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Dev) serverNames() []string {
	out := make([]string, len(devServers))
	for i, s := range devServers {
		out[i] = s.name
	}
	return out
}

// startServer starts a stand-in backend server and its agent.
func (d *Dev) startServer(name, role string) error {
	c := agent.Config{Name: name, Zone: "dev", Log: d.opts.Log, AssumeNewClaimGroup: true}
	if role == settings.RoleService {
		s, err := standin.StartService("127.0.0.1:0")
		if err != nil {
			return err
		}
		d.services[name] = s
		c.Service = s.Addr()
	} else {
		e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
			Name: name, Role: role, Models: []string{DevModel}, PrefillRate: d.opts.PrefillRate, TokenTime: d.opts.TokenTime,
			LinkRate: 1e9, KVPerToken: 1000, KVHold: 5 * time.Second, Slots: 16, Tokens: 256,
		})
		if err != nil {
			return err
		}
		d.engines[name] = e
		c.Engine = e.Addr()
	}
	a := &devAgent{conf: c, addr: "127.0.0.1:0"}
	d.agents[name] = a
	if err := a.start(d); err != nil {
		return err
	}
	a.conf.AssumeNewClaimGroup = false // a restarted voter has to recover its votes
	return nil
}

func (d *Dev) startEntry(i int, upstream string) error {
	e := &devEntry{ln: listeners{log: d.opts.Log}}
	e.proc = entry.Start(entry.Config{
		Name: fmt.Sprintf("entry-%d", i+1), Zone: "dev", Upstream: []string{upstream}, Platform: d.platform.Addr(), Log: d.opts.Log,
	})
	d.entries = append(d.entries, e)
	listen := d.opts.Listen
	if i > 0 {
		listen = "127.0.0.1:0"
	}
	addr, err := e.ln.serveCallers(listen, caller.NewServer(caller.Handler(e.proc, d.opts.Log, d.opts.bodyTimeout())))
	d.Callers = append(d.Callers, addr)
	return err
}

// applyFirstSettings makes the first change of the settings, as an operator
// would.
func (d *Dev) applyFirstSettings(ctx context.Context) error {
	v := devValues{Agents: map[string]string{}, Desk: settings.HashToken(DevDeskToken),
		Review: settings.HashToken(DevReviewToken), Screen: settings.HashToken(DevScreenToken)}
	for name, a := range d.agents {
		v.Agents[name] = a.addr
	}
	var text bytes.Buffer
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

// waitReady waits until every entry is ready and connected to every agent.
func (d *Dev) waitReady(ctx context.Context) error {
	for _, e := range d.entries {
		for {
			if ok, _ := e.proc.Ready(); ok && e.proc.AvailableServers() == len(devServers) {
				break
			}
			if err := pause(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// pause waits for one interval of a poll; it returns the error of ctx if that is
// done.
func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return nil
	}
}

func (d *Dev) operatorHandler() http.Handler {
	roles := map[string]operator.Process{"control-1": d.control}
	for i, e := range d.entries {
		roles[fmt.Sprintf("entry-%d", i+1)] = e.proc
	}
	for name, a := range d.agents {
		roles[name] = a
	}
	return operator.Handler(operator.Options{Processes: roles, Control: d.control, Log: d.opts.Log, ExtraRoutes: d.addActionRoute})
}

// Hints writes to w the addresses and some commands to try.
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
`, d.Callers[0], d.Operators, DevDeskToken, DevModel)
	return err
}

// Drain drains the entries: they refuse new requests, and Drain waits until the
// requests in progress are answered or ctx is done.
func (d *Dev) Drain(ctx context.Context) {
	for _, e := range d.entries {
		e.proc.Drain(ctx)
	}
	for _, e := range d.entries {
		e.ln.shutdown(ctx)
	}
}

// Close stops all roles and stand-ins at once.
func (d *Dev) Close() {
	d.cancel()
	for _, e := range d.entries {
		e.kill()
	}
	for _, a := range d.agents {
		if a.current() != nil {
			a.kill()
		}
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
