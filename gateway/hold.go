package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
)

// Times of holds.
const (
	// holdTimeout bounds how long an engine may take to reserve capacity, on top of holdRoundTrips
	// round trips: one to open a connection and one for the call. An engine may still make the
	// reservation after the timeout, and then no request uses it.
	holdTimeout    = 120 * time.Millisecond
	holdRoundTrips = 2
	// holdMargin is added to the expected time until the prompt has been prefilled.
	holdMargin = 600 * time.Millisecond
)

// acquireHold has the reserved decode engine itself reserve capacity before any prompt is prefilled
// for it: what gateways know about each other is some tens of milliseconds old, and only the engine
// can tell whether it still has a free slot. It returns false if the engine has none or can't be
// reached.
func (n *generation) acquireHold(ctx context.Context) bool {
	p, engine := &n.g.cfg.Protocol, n.q.service.Engine
	if p.ReserveHold == nil || engine.HoldMost <= 0 || n.pair.Prefill == nil {
		return true
	}
	s := n.pair.Decode
	if n.g.fleet.hasReducedCapacity(s.ID) {
		return true // the engine accepts few calls now, and has capacity
	}
	if ctx.Err() != nil {
		return false
	}
	// The answer is read even if the caller disconnects, so that the hold can be released.
	hctx, cancel := n.g.detachedContext(ctx, holdTimeout+holdRoundTrips*n.g.fleet.roundTrip(s.Zone))
	defer cancel()
	started := n.g.clock.Now()
	call := p.ReserveHold(n.q.work.Prompt, min(n.pair.PrefillTime+holdMargin, engine.HoldMost))
	r := n.identifiedCallTo(s, call, holdCall, func(body []byte) string {
		hold, _ := p.ParseHold(body)
		return hold
	})
	server := *s
	res, body := n.g.exchangeAllocating(hctx, n.q, s, r, func(body []byte) {
		if hold, err := p.ParseHold(body); err == nil {
			n.freeInBackground(&server, p.ReleaseHold(hold))
		}
	})
	if res.kind == answered && res.status == http.StatusOK {
		hold, err := p.ParseHold(body)
		if err == nil {
			n.hold = hold
			return true
		}
	}
	event.HoldFailed.Log(n.g.log, "id", n.q.id, "server", s.StableName(), "status", res.status, "ms", n.g.clock.Since(started).Milliseconds(), "error", res.err)
	if res.kind == notSent {
		n.g.fleet.noteOutcome(s.ID, outcomeOf(ctx, res), 0)
	}
	return false
}

// sendTo returns the caller's request as it is sent to an engine.
func (n *generation) sendTo(s *dispatch.Server) backend.Request {
	out := n.g.toServer(n.q, s, n.q.deadline, n.g.fleet.connectionShare(n.q.service.MaxConnections, s))
	if n.q.priority != "" {
		out.Header.Set(n.g.cfg.Protocol.Headers.Priority, n.q.priority)
	}
	return out
}

// releaseHold releases a hold that has not been used.
func (n *generation) releaseHold() {
	if n.hold == "" {
		return
	}
	s, hold := n.pair.Decode, n.hold
	n.hold = ""
	n.freeInBackground(s, n.g.cfg.Protocol.ReleaseHold(hold))
}

// freeKV frees a KV cache that no decode engine has taken over.
func (n *generation) freeKV() {
	if n.kv.Handle == "" || n.g.clock.Since(n.kvReadyAt) > n.q.service.Engine.KVHold {
		return
	}
	s, handle := &n.kvSource, n.kv.Handle
	n.kv.Handle = ""
	n.freeInBackground(s, n.g.cfg.Protocol.FreeKV(handle))
}
