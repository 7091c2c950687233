package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/origin"
)

// decodeElsewhere continues after a decode engine has not accepted the request: another one takes
// over the KV cache while it is kept. An unreachable engine costs nothing but the attempt, so as
// many are tried as there is time for: many of them may have failed at once.
func (n *generation) decodeElsewhere(ctx context.Context, r result) result {
	for n.g.clock.Since(n.kvReadyAt) < n.q.service.Engine.KVHold-kvMargin {
		n.q.tried[n.pair.Decode.ID] = true
		n.releaseReservations()
		n.g.links.awaitCurrent(ctx)
		s, ok := n.g.fleet.reserveDecode(n.q.work, n.q.service.Engine, n.kvSource.Zone, n.q.tried)
		if !ok {
			return r
		}
		n.decodeReserved, n.pair.Decode = s.ID, &s
		if !n.acquireHold(ctx) {
			continue
		}
		if n.decodes > 0 && !n.g.mayResend(n.q, r, 1) {
			return r
		}
		if r = n.decode(ctx, &s, true); r.kind != notSent || errors.Is(r.err, errBlocked) {
			return r
		}
	}
	return r
}

// decode has an engine generate the answer and relays it to the caller.
func (n *generation) decode(ctx context.Context, s *dispatch.Server, withKV bool) result {
	g, q, h := n.g, n.q, &n.g.cfg.Protocol.Headers
	if !g.contentAllowed(q) {
		return result{kind: notSent, err: errBlocked}
	}
	confirmed, err := n.confirmContinuation(ctx, s)
	if err != nil {
		res := result{kind: notSent, err: err}
		g.noteSend(ctx, q, s, res, 0)
		return res
	}
	started := g.clock.Now()
	r := n.sendTo(s)
	if withKV {
		r.Header.Set(h.KVSource, n.kvSource.Address+"/"+n.kv.Handle)
	}
	if n.hold != "" {
		r.Header.Set(h.Hold, n.hold)
	}
	n.setLastEventID(r.Header)
	a, err := g.pool.Do(ctx, h, r)
	if err != nil {
		res := g.classifyError(ctx, q, err)
		if res.kind != notSent {
			n.decodes++
		}
		g.fleet.noteOutcome(s.ID, outcomeOf(ctx, res), 0)
		g.noteSend(ctx, q, s, res, g.clock.Since(started))
		return res
	}
	defer func() { a.Close() }()
	n.decodes++
	if res, ok := g.rejected(q, s, a); ok {
		if res.kind == notRun {
			n.handover.RefusedBy = append(n.handover.RefusedBy, s.ID)
		}
		g.fleet.noteOutcome(s.ID, outcomeOf(ctx, res), 0)
		g.noteSend(ctx, q, s, res, g.clock.Since(started))
		return res
	}
	n.kv.Handle, n.hold = "", "" // the engine has accepted both
	n.handover.AcceptedBy = s.ID
	g.fleet.noteHandover(n.handover)
	q.sends++
	g.noteMayHaveRun(q)
	if !g.isStream(a) {
		return n.nonStreamAnswer(ctx, s, a)
	}
	n.migrations.stopped = false
	if !q.continues && !n.stream.started {
		err := g.confirmNewStream(ctx, q, s)
		if errors.Is(err, errRestarted) && n.mayBeginElsewhere(s) {
			return result{kind: broken, err: err} // before the caller gets events of a version that nobody knows
		}
		confirmed = err == nil
	}
	g.noteStream(q, s, confirmed)
	began := origin.Origin{Service: s.Service, Version: s.Version}
	g.origins.countOpen(began, 1)
	defer g.origins.countOpen(began, -1)
	s, a, err = n.relay(ctx, s, a)
	if err == nil {
		g.fleet.noteOutcome(s.ID, dispatch.Success, g.clock.Since(started))
		g.contents.noteCompleted(q)
		n.finish(s, a.Status)
		return result{kind: answered, status: a.Status}
	}
	res := result{kind: broken, err: err}
	g.fleet.noteOutcome(s.ID, outcomeOf(ctx, res), 0)
	g.noteSend(ctx, q, s, res, g.clock.Since(started))
	return res
}

// mayBeginElsewhere reports whether a stream that has begun at an engine, without an event for the caller
// yet, may begin at another one, and there is one with capacity.
func (n *generation) mayBeginElsewhere(s *dispatch.Server) bool {
	q := n.q
	if !q.route.Repeatable() || q.sends >= q.route.Attempts {
		return false
	}
	q.tried[s.ID] = true
	other, ok := n.g.fleet.reserveDecode(q.work, q.service.Engine, n.kvSource.Zone, q.tried)
	if ok {
		n.g.fleet.releaseDecode(other.ID, q.work)
	}
	return ok
}

// isStream reports whether an answer is the stream of a run, signed by the engine itself.
func (g *Gateway) isStream(a *backend.Answer) bool {
	return a.Status < http.StatusMultipleChoices && a.Header.Get(g.cfg.Protocol.Headers.Signature) != ""
}

// finish records the end of a complete stream.
func (n *generation) finish(s *dispatch.Server, status int) {
	name, stream := n.q.route.Name, n.stream
	n.q.served = true
	n.g.fleet.countServed(n.class)
	n.g.fleet.noteRun(n.q.service.Name, n.g.clock.Since(n.q.arrived), max(stream.firstAt.Sub(n.reservedAt), 0), n.g.clock.Since(stream.firstAt), stream.events*n.q.service.Engine.EventTokens)
	n.g.fleet.notePace(n.q.service.Name, n.g.clock.Since(stream.firstAt), n.q.work.Expected)
	first, prefill := stream.firstAt.Sub(n.q.arrived), time.Duration(0)
	if !n.kvReadyAt.IsZero() {
		prefill = n.kvReadyAt.Sub(n.q.arrived)
		metric.RoutePrefill.WithLabelValues(name).Observe(prefill.Seconds())
	}
	metric.RouteRequests.WithLabelValues(name, strconv.Itoa(status)).Inc()
	metric.RouteFirst.WithLabelValues(name).Observe(first.Seconds())
	metric.RouteMaxGap.WithLabelValues(name).Observe(stream.gap.Seconds())
	event.RequestDone.Log(n.g.log, "id", n.q.id, "route", name, "status", status, "ms", n.g.clock.Since(n.q.arrived).Milliseconds(),
		"first_ms", first.Milliseconds(), "gap_ms", stream.gap.Milliseconds(), "prefill", n.kvSource.StableName(), "decode", s.StableName(), "version", s.Version, "resumed", n.q.resumed, "resumes", n.q.resumes,
		"prefill_ms", prefill.Milliseconds(), "rounds", n.prefills, "migrations", n.migrations.count)
}

// nonStreamAnswer handles an answer of an engine that is not a stream.
func (n *generation) nonStreamAnswer(ctx context.Context, s *dispatch.Server, a *backend.Answer) result {
	n.g.fleet.noteOutcome(s.ID, dispatch.Failure, 0)
	body, err := readAnswer(ctx, n.q.memory, a)
	if err != nil || a.Status < http.StatusMultipleChoices || n.stream.started {
		return result{kind: broken, err: err}
	}
	return result{kind: answered, status: a.Status, header: a.Header, body: body}
}

// setLastEventID requests the events after the last one that the caller has received.
func (n *generation) setLastEventID(head http.Header) {
	if last := n.stream.order.Last(); last != "" {
		head.Set(n.g.cfg.Protocol.Headers.LastEventID, last)
	}
}
