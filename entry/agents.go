package entry

import (
	"context"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/stream"
	"github.com/ledgepin/ledgepin/wire"
)

// agentLink is the link to one agent. It is reopened whenever it breaks.
type agentLink struct {
	name   string
	addr   string
	placed settings.PlacedServer
	stop   context.CancelFunc
	link   *wire.Link // nil while disconnected
	// leaving is set if the agent reported that its server accepts no new work.
	leaving bool
	// disconnectedAt is when the link last broke; zero if it was never connected.
	disconnectedAt time.Time
	// abandoned is set once the work at the server has been given up, reconnectTimeout after
	// the link broke, and before the first connection.
	abandoned bool
	// loadReported and assetsReported are set if the load and the assets of the engine were
	// received over the current link.
	loadReported, assetsReported bool
	assets                       []string
	role                         string
}

// startAgentLink starts the loop that keeps a link to an agent open. Callers
// hold the lock.
func (e *Entry) startAgentLink(p settings.PlacedServer) {
	ctx, cancel := context.WithCancel(e.ctx)
	a := &agentLink{name: p.Name, addr: p.Agent, placed: p, stop: cancel, abandoned: true}
	e.agents[p.Name] = a
	e.wg.Go(func() { e.agentLoop(ctx, a) })
}

func (e *Entry) agentLoop(ctx context.Context, a *agentLink) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		l, err := e.dialer.Dial(ctx, a.addr, e.options())
		if err == nil {
			delay = minRedialDelay
			e.runAgentLink(ctx, a, l)
		}
		e.abandonDisconnected(a)
		wait.For(ctx, delay)
		if clock.VM.Since(a.disconnectedAt) > reconnectTimeout {
			delay = min(2*delay, maxRedialDelay)
		}
	}
}

func (e *Entry) runAgentLink(ctx context.Context, a *agentLink, l *wire.Link) {
	e.agentConnected(a, l)
	err := l.Run(ctx, func(m *wire.Message) { e.handleAgent(a, l, m) })
	e.mu.Lock()
	defer e.mu.Unlock()
	a.link = nil
	a.disconnectedAt = clock.VM.Now()
	if ctx.Err() != nil {
		return
	}
	event.LinkDown.Log(e.log, "peer", a.name, "why", fault.From(err))
	e.core.LinkLost(a.name)
	e.failCalls(a.name)
	time.AfterFunc(reconnectTimeout, func() { e.abandonDisconnected(a) })
}

// abandonDisconnected gives up the work at an agent that has been disconnected for
// reconnectTimeout.
func (e *Entry) abandonDisconnected(a *agentLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.link != nil || a.abandoned || e.ctx.Err() != nil || clock.VM.Since(a.disconnectedAt) < reconnectTimeout {
		return
	}
	a.abandoned = true
	e.perform(clock.VM.Now(), e.core.ServerDown(clock.VM.Now(), a.name))
}

func (e *Entry) agentConnected(a *agentLink, l *wire.Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.LinkUp.Log(e.log, "peer", a.name, "build", l.Peer.Build, "speaks", l.Version())
	now := clock.VM.Now()
	a.link, a.abandoned, a.leaving, a.loadReported, a.assetsReported = l, false, false, false, false
	_ = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: e.revisionInForce()}})
	resumed, effects := e.core.LinkRestored(now, a.name)
	for _, r := range resumed {
		from := 0
		if f := e.flows[r.ID.Req]; f != nil {
			from = f.asm.Next()
		}
		_ = l.Send(&wire.Message{Resume: &wire.Resume{ID: r.ID, From: from, Decode: r.Decode, Keep: r.Keep}})
	}
	e.perform(now, effects)
}

// handleAgent handles one message of an agent.
func (e *Entry) handleAgent(a *agentLink, l *wire.Link, m *wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.link != l {
		return
	}
	now := clock.VM.Now()
	switch {
	case m.Chunk != nil:
		e.handleChunk(now, m.Chunk)
	case m.Heartbeat != nil:
		e.handleAgentHeartbeat(now, a, m.Heartbeat)
	case m.Reserved != nil:
		r := m.Reserved
		e.perform(now, e.core.Reserved(now, a.name, r.ID, r.OK, r.Reason, e.withLeaving(a, r.Load)))
	case m.Prefilled != nil:
		p := m.Prefilled
		e.core.View().Report(a.name, e.withLeaving(a, p.Load))
		e.perform(now, e.core.Prefilled(now, a.name, p.ID, p.KV, p.Cached, p.Took))
	case m.Imported != nil:
		e.perform(now, e.core.Imported(now, a.name, m.Imported.ID))
	case m.Failed != nil:
		f := m.Failed
		e.perform(now, e.core.Failed(now, a.name, f.ID, fault.Step(f.Step), f.Detail, f.Server))
	case m.Pull != nil:
		e.answerPull(l, m.Pull)
	case m.Superseded != nil:
		e.handleSuperseded(now, m.Superseded)
	case m.Registered != nil:
		e.startRegistered(now, m.Registered.Req)
	case m.Granted != nil:
		e.handleVote(m.Granted)
	case m.Recorded != nil:
		e.handleRecorded(m.Recorded.Attempt)
	case m.Answer != nil:
		e.handleAnswer(m.Answer)
	case m.Ordered != nil && e.upstream != nil:
		_ = e.upstream.Send(m)
	}
}

func (e *Entry) handleAgentHeartbeat(now time.Time, a *agentLink, h *wire.Heartbeat) {
	if h.Told {
		a.assetsReported, a.assets, a.role = true, h.Assets, h.Role
		e.core.SetSoftware(a.name, h.Software)
		e.sendSummary()
	}
	if h.Load == nil {
		return
	}
	a.loadReported = true
	e.perform(now, e.core.Report(now, a.name, e.withLeaving(a, *h.Load)))
}

// withLeaving returns a load that is also marked as leaving if the platform lists the server
// as leaving.
func (e *Entry) withLeaving(a *agentLink, l placement.Load) placement.Load {
	a.leaving = l.Leaving
	l.Leaving = l.Leaving || e.leaving[a.name]
	return l
}

// handleChunk delivers a chunk of an answer to its caller.
func (e *Entry) handleChunk(now time.Time, c *wire.Chunk) {
	f := e.flows[c.Req]
	if f == nil {
		return
	}
	chunks, err := f.asm.Accept(c.Attempt, stream.Chunk{Index: c.Index, Text: c.Text, Finish: c.Finish})
	if err != nil {
		e.perform(now, e.core.Failed(now, f.decodeServer, c.ID, fault.StepStream, err.Error(), true))
		return
	}
	for _, chunk := range chunks {
		f.countToken(now, chunk)
		if !f.enqueue(chunk) {
			e.abort(now, f, fault.CallerSlow)
			return
		}
		if chunk.Finish != "" {
			f.finishReason = chunk.Finish
			e.perform(now, e.core.Done(now, c.ID, f.timePerToken()))
			e.endFlow(f, nil)
			return
		}
		e.perform(now, e.core.Token(now, c.ID, f.asm.Next()))
	}
}

// perform carries out the effects of the router. A message that can't be sent
// is reported to the router as a failure. Callers hold the lock.
func (e *Entry) perform(now time.Time, effects []router.Effect) {
	for len(effects) > 0 {
		next := effects[0]
		effects = append(effects[1:], e.performOne(now, next)...)
	}
}

func (e *Entry) performOne(now time.Time, eff router.Effect) []router.Effect {
	switch x := eff.(type) {
	case router.SwitchAttempt:
		if f := e.flows[x.ID.Req]; f != nil {
			f.asm.StartAttempt(x.ID.Attempt)
		}
	case router.Reserve:
		m := &wire.Reserve{ID: x.ID, Model: x.Model, Priority: x.Priority, Tokens: x.Tokens, Hold: x.Hold, Keep: x.Keep}
		if !e.sendToAgent(x.Server, &wire.Message{Reserve: m}) {
			return e.core.Failed(now, x.Server, x.ID, fault.StepReserve, "no link to the agent", false)
		}
	case router.StartPrefill:
		if f := e.flows[x.ID.Req]; f != nil && !e.sendToAgent(x.Server, &wire.Message{Prefill: &wire.Prefill{ID: x.ID, Request: f.request()}}) {
			return e.core.Failed(now, x.Server, x.ID, fault.StepPrefill, "no link to the agent", false)
		}
	case router.StartDecode:
		return e.startDecode(now, x)
	case router.Release:
		e.sendToAgent(x.Server, &wire.Message{Cancel: &wire.Cancel{ID: x.ID}})
	case router.Refuse:
		e.handleRefusal(x)
	case router.Fail:
		e.handleFailure(x)
	case router.ServerEjected:
		event.ServerEjected.Log(e.log, "server", x.Server)
	}
	return nil
}

func (e *Entry) startDecode(now time.Time, x router.StartDecode) []router.Effect {
	f := e.flows[x.ID.Req]
	if f == nil {
		return nil
	}
	f.decodeServer = x.Server
	m := &wire.Decode{ID: x.ID, Request: f.request(), KV: x.KV, From: f.asm.Next()}
	if !e.sendToAgent(x.Server, &wire.Message{Decode: m}) {
		return e.core.Failed(now, x.Server, x.ID, fault.StepTransfer, "no link to the agent", false)
	}
	return nil
}

// sendToAgent sends a message and reports whether there was a link for it.
func (e *Entry) sendToAgent(name string, m *wire.Message) bool {
	a := e.agents[name]
	return a != nil && a.link != nil && a.link.Send(m) == nil
}

// forwardOrder forwards an order of control to its agent, or to all agents if it only
// sets the lowest valid fence. Control sends each order over one link only, so that the
// orders for an agent take a single path. Callers hold the lock.
func (e *Entry) forwardOrder(m *wire.Message) {
	if !m.Order.Floor {
		e.sendToAgent(m.Order.Server, m)
		return
	}
	for name := range e.agents {
		e.sendToAgent(name, m)
	}
}

// summary returns the report to control about the servers of this availability
// zone. Callers hold the lock.
func (e *Entry) summary() *wire.Summary {
	out := &wire.Summary{Zone: e.cfg.Zone}
	for name, a := range e.agents {
		s := e.core.View().Server(name)
		if a.link == nil || s == nil || s.Zone != e.cfg.Zone || !a.loadReported || !a.assetsReported {
			continue
		}
		out.Servers = append(out.Servers, wire.ServerState{
			Name: name, Leaving: s.Leaving(), Free: s.Free(), Models: s.LoadedModels(), Assets: a.assets, Role: a.role,
		})
	}
	sort.Slice(out.Servers, func(i, j int) bool { return out.Servers[i].Name < out.Servers[j].Name })
	return out
}

// AvailableServers returns the number of servers that can accept work now: those with a
// link and, for model servers, a free slot and a loaded model.
func (e *Entry) AvailableServers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for name, a := range e.agents {
		s := e.core.View().Server(name)
		if a.link != nil && (s == nil || a.loadReported && s.Free() > 0 && len(s.LoadedModels()) > 0) {
			n++
		}
	}
	return n
}
