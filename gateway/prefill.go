package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// prefill has the reserved engine prefill the prompt.
func (n *generation) prefill(ctx context.Context) result {
	g, h, s := n.g, &n.g.cfg.Protocol.Headers, n.pair.Prefill
	started := g.clock.Now()
	r := n.sendTo(s)
	r.Header.Set(h.Role, registry.Prefill)
	n.setLastEventID(r.Header)
	limit := 2*n.pair.PrefillTime + time.Second
	watchCtx, stop := g.contents.watch(ctx, n.q)
	defer stop()
	pctx, cancel := context.WithTimeout(watchCtx, limit)
	defer cancel()
	source := *s
	res, body := g.exchangeAllocating(pctx, n.q, s, r, func(body []byte) {
		if kv, err := g.cfg.Protocol.ParseKV(body); err == nil {
			n.freeInBackground(&source, g.cfg.Protocol.FreeKV(kv.Handle))
		}
	})
	if res.kind != notSent {
		n.prefills++
	}
	if res.kind != answered && ctx.Err() == nil && errors.Is(pctx.Err(), context.Canceled) {
		return result{kind: notSent, err: errBlocked}
	}
	if res.kind != answered || res.status != http.StatusOK {
		if res.kind == answered {
			res.kind = broken
		}
		g.fleet.noteOutcome(s.ID, outcomeOf(pctx, res), 0)
		return res
	}
	kv, err := g.cfg.Protocol.ParseKV(body)
	if err != nil {
		g.fleet.noteOutcome(s.ID, dispatch.Failure, 0)
		return result{kind: broken, err: err}
	}
	g.fleet.noteOutcome(s.ID, dispatch.Success, g.clock.Since(started))
	g.fleet.notePrefill(s.ID, g.clock.Since(started), n.pair.QueuedTokens)
	g.fleet.noteUncached(s.ID, n.q.work)
	n.kv, n.kvSource, n.kvReadyAt = kv, *s, g.clock.Now()
	n.handover = dispatch.Handover{Prefill: s.ID}
	return res
}

// releasePrefill releases the reservation for the prefill.
func (n *generation) releasePrefill() {
	if n.prefillReserved != "" {
		n.g.fleet.releasePrefill(n.prefillReserved, n.q.work)
		n.prefillReserved = ""
	}
}
