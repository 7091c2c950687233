package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/overload"
	"github.com/ledgepin/ledgepin/route"
)

// ownLoad guards what a gateway knows about its own load.
type ownLoad struct {
	mu      sync.Mutex
	delay   overload.Delay
	limiter *overload.Limiter
	// slow is set while the delay has been reported as long.
	slow bool
}

// Bounds of the delay at which a gateway is reported as slow, and as fast again.
const (
	slowDelay = 50 * time.Millisecond
	fastDelay = 10 * time.Millisecond
)

// Bounds of the log lines about requests that the gateway itself can't carry: the interval between two of one
// route, and the number of routes.
const (
	overloadLogInterval = 100 * time.Millisecond
	maxOverloadRoutes   = 64
)

// ownLoadInterval is the interval at which a gateway measures its own delay.
const ownLoadInterval = 40 * time.Millisecond

// noteConnect records how long a connection to a server took to open.
func (g *Gateway) noteConnect(server string, took time.Duration) {
	zone, ok := g.fleet.noteConnect(server, took)
	if !ok {
		return
	}
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	g.own.delay.NoteConnect(g.clock.Now(), zone, server, took)
}

// noteConnectTimeout records that no connection to a server had opened after a time.
func (g *Gateway) noteConnectTimeout(server string, after time.Duration) {
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	g.own.delay.NoteTimeout(g.clock.Now(), server, after)
}

// noteServerAnswer records what an answer of a server says about the server and about the gateway.
func (g *Gateway) noteServerAnswer(server string, took time.Duration, status int, head http.Header) {
	g.noteAnswer(server, took, status, head)
	zone, ok := g.fleet.zoneOf(server)
	if !ok {
		return
	}
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	g.own.delay.NoteAnswer(g.clock.Now(), zone, server, took)
}

// ownDelay returns how long work waits in this gateway's own link and processor.
func (g *Gateway) ownDelay() time.Duration {
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	return g.own.delay.Read(g.clock.Now())
}

// measureOwnLoad measures the delay of this gateway and reports changes.
func (g *Gateway) measureOwnLoad() {
	for g.ctx.Err() == nil {
		started := g.clock.Now()
		wait.For(g.ctx, ownLoadInterval)
		now := g.clock.Now()
		g.own.mu.Lock()
		g.own.delay.NoteTimer(now, now.Sub(started)-ownLoadInterval)
		delay := g.own.delay.Read(now)
		g.own.limiter.Update(now, delay)
		capacity := g.own.limiter.Capacity()
		changed := !g.own.slow && delay >= slowDelay || g.own.slow && delay <= fastDelay
		if changed {
			g.own.slow = !g.own.slow
		}
		if now.UnixMilli()/200 != started.UnixMilli()/200 {
		}
		slow := g.own.slow
		g.own.mu.Unlock()
		if changed {
			event.GatewaySlow.Log(g.log, "slow", slow, "delay_ms", delay.Milliseconds(), "requests", g.active.Load(), "capacity", int(capacity))
		}
	}
}

// noteCarried records bytes that the gateway has received or sent for a request.
func (g *Gateway) noteCarried(q *request, bytes int) {
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	q.carried += bytes // guarded too, since a migration sends in the background
	g.own.limiter.NoteCarried(g.clock.Now(), bytes)
}

// class returns the class by which a request is admitted.
func (q *request) class() overload.Class {
	return overload.Class{Route: q.route.Name, Rank: q.organisation.PriorityFor(q.route)}
}

// estimate returns what a request may cost, for a route of which nothing is known yet.
func (q *request) estimate() overload.Estimate {
	const (
		// eventBytes is the size of an event, of which each is received and sent.
		eventBytes = 300
		// streamTime is how long a stream lasts.
		streamTime = time.Second
	)
	if q.service.Engine == nil || q.route.Kind != route.Stream {
		return overload.Estimate{}
	}
	events := q.work.Expected / max(q.service.Engine.EventTokens, 1)
	return overload.Estimate{Cost: 3*len(q.send.Body) + 2*eventBytes*events, Duration: streamTime}
}

// admit reports whether the gateway itself can carry a request. endAdmitted ends one that it can.
func (g *Gateway) admit(q *request) bool {
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	return g.own.limiter.Admit(g.clock.Now(), q.class(), q.estimate(), q.carried, random())
}

func (g *Gateway) endAdmitted(q *request) {
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	g.own.limiter.Done(q.class(), q.served, q.carried, g.clock.Since(q.arrived))
}

// Bounds of the Retry-After of a request that the gateway itself can't carry.
const (
	minOverloadRetry = 250 * time.Millisecond
	maxOverloadRetry = 5 * time.Second
	// otherGatewayRetry applies while other gateways have less load: the caller's next connection
	// probably goes to one of them.
	otherGatewayRetry = 100 * time.Millisecond
)

// refuseOverload refuses a request that this gateway can't carry. Callers return after about the time in
// which one of their class is admitted.
func (g *Gateway) refuseOverload(q *request) refusal {
	r := refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the gateway is overloaded", closing: true}
	r.unlogged = !g.overloadRefusals.Allow(g.clock.Now(), q.route.Name)
	if g.fleet.othersHaveLessLoad() {
		r.retryAfter = jitter(otherGatewayRetry)
		return r
	}
	g.own.mu.Lock()
	share := g.own.limiter.Share(g.clock.Now(), q.class())
	g.own.mu.Unlock()
	wait := time.Duration(float64(max(q.route.Target, minOverloadRetry)) / max(share, 0.05))
	r.retryAfter = jitter(min(wait, maxOverloadRetry))
	return r
}

// collectOwnLoad updates the gauges of the gateway's own load.
func (g *Gateway) collectOwnLoad() {
	metric.OwnDelay.WithLabelValues(g.cfg.Name).Set(g.ownDelay().Seconds())
	g.own.mu.Lock()
	defer g.own.mu.Unlock()
	metric.OwnCapacity.WithLabelValues(g.cfg.Name).Set(g.own.limiter.Capacity())
}
