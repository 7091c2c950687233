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

// lack is what a request to a plain service waits for, while no server of the service takes it.
type waitReason int

// The lacks.
const (
	// lackServer: no server is known.
	waitForServer waitReason = iota
	// lackToken: the servers name limits.
	waitForToken
	// lackPause: the servers want no requests for a time.
	waitForPause
)

// lacks returns what a request waits for, and how long that is likely to take.
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

// serverWaiter is a request to a plain service that waits for a server to take it.
type serverWaiter struct {
	work     dispatch.Work
	avoid    dispatch.Avoid
	priority int
	// due is when its answer is late.
	due      time.Time
	assigned chan dispatch.Server
}

// awaitServer has a request wait for a server, if one is likely to take it in time: the most urgent
// are served first, and of these those that are due first.
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

// wait returns how long a request that comes now is likely to wait for a token.
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

// servePlain places the requests that wait for a server. Callers hold the lock.
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

// begin counts a request at a plain server that was chosen. Callers hold the lock.
func (f *fleet) startRequest(now time.Time, s *dispatch.Server) dispatch.Server {
	s.Open++
	f.view.NoteSent(now, s.ID)
	return *s
}

// Bounds of the time after which a caller comes back that found no token.
const (
	minLimitedRetry = 100 * time.Millisecond
	maxLimitedRetry = 2 * time.Second
)

// refuseForNow refuses a request that no server of its service takes now.
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
