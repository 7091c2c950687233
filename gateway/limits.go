package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
)

// limits guards the usage of the organisations' limits with a lock.
type limits struct {
	clock   *clock.Clock
	mu      sync.Mutex
	limiter *quota.Limiter
	// shares determines which organisations exceed their fair share, from what this gateway and the
	// others use.
	shares *quota.FairShares
}

func newLimits(c *clock.Clock, b quota.Bounds) *limits {
	return &limits{clock: c, limiter: quota.NewLimiter(b), shares: quota.NewFairShares()}
}

// setTable puts the limits of the table in force. The table is read under the lock, since two
// updates may come in quick succession.
func (l *limits) setTable(table *atomic.Pointer[route.Table]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := table.Load().Quotas()
	l.limiter.SetLimits(l.clock.Now(), limits)
	l.shares.SetLimits(limits)
}

// setShare sets the share of the limits that this gateway may use.
func (l *limits) setShare(s quota.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetShare(l.clock.Now(), s)
}

// update applies a replica's report of what the other gateways have used.
func (l *limits) update(u *quota.UsageUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if u.Whole {
		l.limiter.MergeUsage(now, u.Used)
		return
	}
	for name, size := range u.Used {
		l.limiter.ChargeRemote(now, name, float64(size))
		l.shares.Add(now, name, float64(size))
	}
}

// overFairShare reports whether the organisation of a request exceeds its fair share.
func (l *limits) overFairShare(q *request) bool {
	if q.organisation == nil {
		return false
	}
	l.mu.Lock()
	over := l.shares.Exceeds(l.clock.Now(), q.organisation.Name)
	l.mu.Unlock()
	if over {
		metric.OrganisationRequests.WithLabelValues(q.organisation.Name, "beyond its share").Inc()
	}
	return over
}

// takeUnreported returns the usage that has not yet been reported to the other gateways, and marks
// it as reported.
func (l *limits) takeUnreported(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.TakeUnreported(now)
}

// charge counts a request if it is within the limit of its organisation.
func (l *limits) charge(q *request) quota.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.limiter.Take(q.arrived, q.organisation.Name, q.cost, rand.Float64())
	if v.OK {
		l.shares.Add(q.arrived, q.organisation.Name, q.cost)
	}
	return v
}

// charge counts a request against the limit of its organisation, and refuses it if it exceeds the
// limit.
func (g *Gateway) charge(q *request, tokens int) *refusal {
	if q.organisation == nil || q.organisation.Rate <= 0 {
		return nil
	}
	q.cost = q.organisation.Cost(tokens)
	v := g.limits.charge(q)
	if v.OK {
		q.charged = true
		metric.OrganisationRequests.WithLabelValues(q.organisation.Name, "taken").Inc()
		return nil
	}
	metric.OrganisationRequests.WithLabelValues(q.organisation.Name, "over its limit").Inc()
	event.OverLimit.Log(g.log, "id", q.id, "organisation", q.organisation.Name, "size", q.cost, "rate", q.organisation.Rate, "burst", q.organisation.Burst,
		"used", int(v.Used), "room", int(v.Capacity), "cut_off", v.Disconnected, "told_ms", v.Age.Milliseconds())
	if v.Unassigned {
		return &refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "what organisations have used is not known yet", retryAfter: staleTableRetry}
	}
	return &refusal{route: q.route.Name, status: http.StatusTooManyRequests, reason: "over the limit of the organisation", retryAfter: jitter(overLimitRetry(q.route, v.RetryAfter))}
}

// overLimitRetry is the Retry-After for a caller over its limit: when its request fits, but at most
// half of the route's target. A later retry gets a late answer if it is served, and is as likely to
// be refused again.
func overLimitRetry(r *route.Route, fits time.Duration) time.Duration {
	if r.Target <= 0 {
		return fits
	}
	return min(fits, r.Target/2)
}

// retryJitter is the fraction by which Retry-After times differ, so that callers that were refused
// together don't return together.
const retryJitter = 0.2

func jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + retryJitter*rand.Float64()))
}

// noteMayHaveRun records that a server may have worked on the request. Each such server counts
// against the limit.
func (g *Gateway) noteMayHaveRun(q *request) {
	if q.mayHaveRun && q.charged {
		g.adjustUsage(q, q.cost)
	}
	q.mayHaveRun = true
}

// refund cancels the charge for a request that has not run.
func (g *Gateway) refund(q *request) {
	if q.charged && !q.mayHaveRun {
		g.adjustUsage(q, -q.cost)
	}
}

func (g *Gateway) adjustUsage(q *request, cost float64) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	now := g.clock.Now()
	g.limits.limiter.Charge(now, q.organisation.Name, cost)
	g.limits.shares.Add(now, q.organisation.Name, cost)
}
