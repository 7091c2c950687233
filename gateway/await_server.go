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

// waitReason is why a request to a plain service waits: no server of the service accepts it now.
type waitReason int

const (
	// waitForServer: no server of the service is known.
	waitForServer waitReason = iota
	// waitForToken: the servers have reported rate limits, and only tokens are missing.
	waitForToken
	// waitForPause: the servers have asked for no requests for a while.
	waitForPause
)

// waitReason returns why a request waits, and the expected wait.
func (f *fleet) waitReason(q *request) (waitReason, time.Duration) {
	if !f.limited.present.Load() && !f.paused.present.Load() {
		return waitForServer, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.view.LacksOnlyToken(now, q.work, q.tried) {
		return waitForToken, f.limited.expectedWait(q.service.Name)
	}
	if remaining, ok := f.view.MinPauseRemaining(now, q.work, ""); ok {
		return waitForPause, remaining
	}
	return waitForServer, 0
}

// serverWaiter is a request to a plain service that waits for a server to accept it.
type serverWaiter struct {
	work     dispatch.Work
	avoid    dispatch.Avoid
	priority int
	// due is the time after which its answer is late.
	due      time.Time
	assigned chan dispatch.Server
}

// awaitServer queues a request until a server accepts it, provided that the expected wait leaves
// enough time. Requests are served by priority, then by due time.
func (g *Gateway) awaitServer(ctx context.Context, q *request, expected time.Duration) (dispatch.Server, bool) {
	f := g.fleet
	limit := q.route.Target/2 - g.clock.Since(q.arrived)
	if expected > limit {
		return dispatch.Server{}, false
	}
	w := &serverWaiter{work: q.work, avoid: q.tried, priority: q.organisation.PriorityFor(q.route), due: q.arrived.Add(q.route.Target), assigned: make(chan dispatch.Server, 1)}
	f.mu.Lock()
	f.limited.add(w)
	f.servePlainQueue()
	f.mu.Unlock()
	return awaitAssignment(ctx, w.assigned, limit, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.limited.remove(w)
	})
}

// expectedWait returns how long a request that arrives now is likely to wait for a token.
func (s *limitedServers) expectedWait(service string) time.Duration {
	supply := s.supply[service]
	if supply.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(supply.Waiting+1) / supply.Rate * float64(time.Second))
}

func (s *limitedServers) add(w *serverWaiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *serverWaiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), -1)
	})
	s.waiting = slices.Insert(s.waiting, at, w)
}

func (s *limitedServers) remove(w *serverWaiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *serverWaiter) bool { return o == w })
}

// servePlainQueue assigns servers to the requests that wait for one. The caller holds f.mu.
func (f *fleet) servePlainQueue() {
	now := f.clock.Now()
	f.limited.waiting = slices.DeleteFunc(f.limited.waiting, func(w *serverWaiter) bool {
		s := f.view.ChoosePlain(now, w.work, w.avoid)
		if s == nil {
			return false
		}
		w.assigned <- f.startRequest(now, s)
		return true
	})
}

// startRequest counts a request at the plain server chosen for it. The caller holds f.mu.
func (f *fleet) startRequest(now time.Time, s *dispatch.Server) dispatch.Server {
	s.Open++
	f.view.NoteSent(now, s.ID)
	return *s
}

// Bounds of the Retry-After of a caller whose request got no token.
const (
	minLimitedRetry = 100 * time.Millisecond
	maxLimitedRetry = 2 * time.Second
)

// refuseTemporarily refuses a request that no server of its service accepts now.
func (g *Gateway) refuseTemporarily(w http.ResponseWriter, q *request, reason waitReason, wait time.Duration) {
	r := refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the servers take no more requests now"}
	if reason == waitForPause {
		r.reason = "the servers want no requests now"
		r.retryAfter = jitter(max(wait, minLimitedRetry))
		g.refuse(w, q.id, r)
		return
	}
	longest := maxLimitedRetry
	if q.route.Target > 0 {
		longest = max(q.route.Target/2, minLimitedRetry)
	}
	r.retryAfter = jitter(min(max(wait, minLimitedRetry), longest))
	g.refuse(w, q.id, r)
}
