package agent

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/service"
	"github.com/ledgepin/ledgepin/wire"
)

// callTTL is the minimum time for which an agent remembers the calls that it has sent, so
// that a repeated message does not cause a second call.
const callTTL = time.Minute

// handleCall sends a call to the service, once for each attempt. Callers hold the
// lock.
func (a *Agent) handleCall(now time.Time, l *wire.Link, m *wire.Call) {
	switch {
	case a.svc == nil:
		a.sendAnswer(l, &wire.Answer{ID: m.ID, Detail: "the agent has no service"})
		return
	case a.leaving():
		a.sendAnswer(l, &wire.Answer{ID: m.ID, Detail: "leaving"})
		return
	case !a.calls[m.ID].IsZero():
		return
	}
	a.evictCalls(now)
	a.calls[m.ID] = now
	a.jobs[m.ID] = &job{owner: ownerOf(l.Peer)}
	a.addStep(m.ID, decision.Called, m.Method+" "+m.Path)
	a.wg.Go(func() { a.runCall(l, m) })
}

func (a *Agent) sendAnswer(l *wire.Link, m *wire.Answer) { _ = l.Send(&wire.Message{Answer: m}) }

func (a *Agent) runCall(l *wire.Link, m *wire.Call) {
	ctx, cancel := context.WithTimeout(a.ctx, m.Limit)
	defer cancel()
	res, sent, err := a.svc.Do(ctx, service.Call{Method: m.Method, Path: m.Path, Type: m.Type, Body: m.Body})
	out := &wire.Answer{ID: m.ID, Sent: sent, Status: res.Status, Type: res.Type, Body: res.Body}
	if err != nil {
		out.Detail = fault.From(err).Detail
	}
	a.sendAnswer(l, out)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, m.ID)
}

// evictCalls removes the expired calls if there are many.
func (a *Agent) evictCalls(now time.Time) {
	const maxCalls = 4096
	if len(a.calls) < maxCalls {
		return
	}
	for id, at := range a.calls {
		if now.Sub(at) > callTTL {
			delete(a.calls, id)
		}
	}
}

// handleOrder sends an order of control to the engine if its fence is valid. Callers
// hold the lock.
func (a *Agent) handleOrder(l *wire.Link, m *order.Order) {
	if m.Floor {
		a.gate.SetFloor(m.Fence)
		return
	}
	if a.engine == nil || !a.gate.Allow(m.Fence) {
		event.OrderRefused.Log(a.log, "order", m.ID, "term", m.Fence.Term, "seq", m.Fence.Seq)
		highest, _ := a.gate.Highest()
		_ = l.Send(&wire.Message{Ordered: &order.Result{ID: m.ID, Detail: fault.StaleFence.ID, Fence: highest}})
		return
	}
	a.wg.Go(func() { a.executeOrder(l, m) })
}

func (a *Agent) executeOrder(l *wire.Link, m *order.Order) {
	err := a.engine.Order(a.ctx, m.Do)
	res := &order.Result{ID: m.ID, OK: err == nil, Fence: m.Fence}
	if err != nil {
		res.Detail = fault.From(err).Detail
		event.OrderFailed.Log(a.log, "order", m.ID, "error", fault.From(err))
	} else {
		event.OrderDone.Log(a.log, "order", m.ID, "action", m.Do.Action, "model", m.Do.Model)
	}
	_ = l.Send(&wire.Message{Ordered: res})
}
