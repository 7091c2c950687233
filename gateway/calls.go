package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
)

// callTo returns a call from the gateway itself to an engine.
func (n *generation) callTo(s *dispatch.Server, c backend.Call) backend.Request {
	return n.g.callTo(n.q, s, c)
}

// callTo returns a call from the gateway itself to an engine, on behalf of a request.
func (g *Gateway) callTo(q *request, s *dispatch.Server, c backend.Call) backend.Request {
	r := backend.Request{Address: s.Address, Method: c.Method, Target: c.Path, Host: s.Address, Header: http.Header{}, Body: c.Body}
	r.Server = s.ID
	r.Header.Set(g.cfg.Protocol.Headers.ExpectInstance, s.StableName())
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	r.MaxConnections = g.fleet.connectionShare(q.service.MaxConnections, s)
	return r
}

// Kinds of calls whose answers have identifiers.
const (
	holdCall = "hold"
	copyCall = "copy"
)

// identifiedCallTo returns a call whose answer has an identifier that the engine generates for it.
func (n *generation) identifiedCallTo(s *dispatch.Server, c backend.Call, kind string, parse func(body []byte) string) backend.Request {
	r := n.callTo(s, c)
	r.Identity = &backend.Identity{Kind: kind, RequestID: n.q.id, Parse: parse}
	return r
}

// detachedContext returns a context for a call that allocates something at an engine, which has to
// be freed even if the caller disconnects meanwhile. It ends with the gateway, or after limit.
func (g *Gateway) detachedContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	stop := context.AfterFunc(g.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// exchange sends a call to an engine on behalf of a request, and reads the complete answer.
func (g *Gateway) exchange(ctx context.Context, q *request, s *dispatch.Server, r backend.Request) (result, []byte) {
	return g.exchangeUpTo(ctx, q, s, r, backend.MaxCallBytes)
}

// exchangeUpTo is like exchange, for a call whose answer may have a number of bytes.
func (g *Gateway) exchangeUpTo(ctx context.Context, q *request, s *dispatch.Server, r backend.Request, limit int64) (result, []byte) {
	a, err := g.pool.Do(ctx, &g.cfg.Protocol.Headers, r)
	if err != nil {
		var be *backend.Error
		if errors.As(err, &be) && !be.Sent {
			return result{kind: notSent, err: err}, nil
		}
		return result{kind: broken, err: err}, nil
	}
	if res, ok := g.rejected(q, s, a); ok {
		return res, nil
	}
	body, err := a.ReadAll(limit)
	if err != nil {
		return result{kind: broken, err: err}, nil
	}
	return result{kind: answered, status: a.Status, header: a.Header}, body
}

// lingerTimeout is how long the answer to a call that allocates something is still read after the
// call has ended: the answer may be on its way.
const lingerTimeout = 300 * time.Millisecond

// allocate sends a call that allocates something at an engine, and returns its outcome, or false if
// ctx ends first. In that case the answer is still read for lingerTimeout in the background, and
// unused is called with the outcome, so that what the engine has made is freed.
func allocate[T any](ctx context.Context, g *Gateway, r backend.Request, send func(backend.Request) T, unused func(T)) (T, bool) {
	var begun atomic.Bool
	r.Linger, r.Begun = lingerTimeout, &begun
	done := make(chan T, 1)
	g.wg.Go(func() { done <- send(r) })
	select {
	case out := <-done:
		return out, true
	case <-ctx.Done():
	}
	if !begun.Load() {
		return <-done, true // it was not sent, and ends with ctx
	}
	g.wg.Go(func() { unused(<-done) })
	var none T
	return none, false
}

// exchanged is the outcome of a call with its complete answer.
type exchanged struct {
	result result
	body   []byte
}

// exchangeAllocating is like exchange, for a call that allocates something. unused is called with
// the body of a successful answer that comes after ctx has ended.
func (g *Gateway) exchangeAllocating(ctx context.Context, q *request, s *dispatch.Server, r backend.Request, unused func(body []byte)) (result, []byte) {
	out, ok := allocate(ctx, g, r, func(r backend.Request) exchanged {
		res, body := g.exchange(ctx, q, s, r)
		return exchanged{res, body}
	}, func(late exchanged) {
		if late.result.kind == answered && late.result.status == http.StatusOK {
			unused(late.body)
		}
	})
	if !ok {
		return result{kind: broken, err: &backend.Error{Sent: true, Cause: ctx.Err()}}, nil
	}
	return out.result, out.body
}

// freeTimeout bounds how long an engine may take to free something unused.
const freeTimeout = 300 * time.Millisecond

// freeInBackground sends a call that frees something at an engine. It outlives its request, whose
// caller may have disconnected. An evacuated zone gets no more calls; what is unused there expires
// by itself.
func (n *generation) freeInBackground(s *dispatch.Server, c backend.Call) {
	g := n.g
	if g.evacuated.has(s.Zone) {
		return
	}
	r := n.callTo(s, c)
	r.Cleanup = true
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, freeTimeout)
		defer cancel()
		if a, err := g.pool.Do(ctx, &g.cfg.Protocol.Headers, r); err == nil {
			_, _ = a.ReadAll(backend.MaxCallBytes)
		}
	})
}
