package gateway

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
)

// tokenWaiter is a request to a plain service that waits for a token.
type tokenWaiter struct {
	work     dispatch.Work
	avoid    dispatch.Avoid
	priority int
	// due is when its answer is late.
	due time.Time
	got chan dispatch.Server
}

// awaitToken has a request wait for a token, if one is likely to come in time: the most urgent
// are served first, and of these those that are due first.
func (g *Gateway) awaitToken(ctx context.Context, q *request) (dispatch.Server, bool) {
	f := g.fleet
	limit := q.route.Target/2 - g.clock.Since(q.arrived)
	f.mu.Lock()
	if f.limited.wait(q.service.Name) > limit {
		f.mu.Unlock()
		return dispatch.Server{}, false
	}
	w := &tokenWaiter{work: q.work, avoid: q.tried, priority: q.organisation.Rank(q.route), due: q.arrived.Add(q.route.Target), got: make(chan dispatch.Server, 1)}
	f.limited.add(w)
	f.serveLimited()
	f.mu.Unlock()
	return awaitPlace(ctx, w.got, limit, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.limited.remove(w)
	})
}

// wait returns how long a request that comes now is likely to wait for a token.
func (s *limitedServers) wait(service string) time.Duration {
	supply := s.supply[service]
	if supply.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(supply.Waiting+1) / supply.Rate * float64(time.Second))
}

func (s *limitedServers) add(w *tokenWaiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *tokenWaiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), -1)
	})
	s.waiting = slices.Insert(s.waiting, at, w)
}

func (s *limitedServers) remove(w *tokenWaiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *tokenWaiter) bool { return o == w })
}

// serveLimited places the requests that wait for a token. Callers hold the lock.
func (f *fleet) serveLimited() {
	now := f.clock.Now()
	f.limited.waiting = slices.DeleteFunc(f.limited.waiting, func(w *tokenWaiter) bool {
		s := f.view.Plain(now, w.work, w.avoid)
		if s == nil {
			return false
		}
		w.got <- f.begin(now, s)
		return true
	})
}

// begin counts a request at a plain server that was chosen. Callers hold the lock.
func (f *fleet) begin(now time.Time, s *dispatch.Server) dispatch.Server {
	s.Open++
	f.view.Sent(now, s.ID)
	return *s
}

// Bounds of the time after which a caller comes back that found no token.
const (
	leastLimitedRetry = 100 * time.Millisecond
	mostLimitedRetry  = 2 * time.Second
)

// refuseLimited refuses a request whose servers take no more.
func (g *Gateway) refuseLimited(w http.ResponseWriter, q *request) {
	g.fleet.mu.Lock()
	wait := g.fleet.limited.wait(q.service.Name)
	g.fleet.mu.Unlock()
	most := mostLimitedRetry
	if q.route.Target > 0 {
		most = max(q.route.Target/2, leastLimitedRetry)
	}
	g.refuse(w, q.id, refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the servers take no more requests now",
		retryAfter: spread(min(max(wait, leastLimitedRetry), most)),
	})
}
