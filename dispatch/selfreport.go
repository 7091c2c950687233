package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
)

// Change is what a report of a server has changed.
type Change struct {
	Server Server
	Field  selfreport.Field
	// Limit is that of a field Limit.
	Limit LimitChange
	// Pause is for how long the server wants no requests, of a field RetryAfter.
	Pause time.Duration
}

// Observe takes what an answer of a server says of the server. It returns what has changed by
// that, but for cold times, which each report changes.
func (f *Fleet) Observe(now time.Time, id string, r selfreport.Report) []Change {
	s := f.servers[id]
	if s == nil {
		return nil
	}
	var out []Change
	if !r.Unreadable(selfreport.Limit) {
		o := ratelimit.Observation{Sent: r.Sent, Received: r.Received}
		if r.Limit != nil {
			o.Limited, o.Rate = true, *r.Limit
		}
		if change, ok := f.ObserveLimit(now, id, o); ok {
			out = append(out, Change{Server: *s, Field: selfreport.Limit, Limit: change})
		}
	}
	if r.RetryAfter > 0 && f.extendPause(s, r) {
		out = append(out, Change{Server: *s, Field: selfreport.RetryAfter, Pause: r.RetryAfter})
	}
	if r.Leaving && f.markLeaving(now, s) {
		out = append(out, Change{Server: *s, Field: selfreport.Leaving})
	}
	if r.Cold != nil {
		s.setCold(now, *r.Cold)
	}
	return out
}

// notePause takes that a server wants no requests for a time; false if that is no news.
func (f *Fleet) extendPause(s *Server, r selfreport.Report) bool {
	spread := selfreport.ReturnSpread(f.GatewaysPerServer(s.Service, s.Role), r.RetryAfter)
	offset := time.Duration(float64(spread) * float64(s.rank) / math.MaxUint64)
	changed := s.pause.Extend(r.Received, r.RetryAfter, offset)
	f.groups = nil
	return changed
}

// noteLeaving takes that a server leaves, as a report that it drains; false if that is known.
func (f *Fleet) markLeaving(now time.Time, s *Server) bool {
	if s.gone || s.State != registry.Ready {
		return false
	}
	s.State, s.leavingSince = registry.Draining, now
	s.leavingReported, s.leavingSent = true, false
	f.groups = nil
	return true
}

// UntoldLeaving returns the servers that control has to hear of, since they have said to this
// gateway that they leave; they count as told.
func (f *Fleet) UnsentLeaving() []registry.Server {
	var out []registry.Server
	for _, s := range f.servers {
		if s.leavingReported && !s.leavingSent {
			s.leavingSent = true
			out = append(out, registry.Server{ID: s.ID, State: registry.Draining})
		}
	}
	return out
}

// RetellLeaving has another replica of control told of the servers that leave.
func (f *Fleet) ResendLeaving() {
	for _, s := range f.servers {
		s.leavingSent = false
	}
}

// MaySend tells whether a request or call may go to a server, which may want none now. One that
// frees something may sometimes.
func (f *Fleet) AdmitCall(now time.Time, id string, frees bool) bool {
	s := f.servers[id]
	return s == nil || s.pause.AdmitCall(now, frees)
}

// Paused tells whether a server wants no requests now.
func (f *Fleet) Paused(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.pause.Active(now)
}

// PauseLeft returns how long, from a time on, the gateway stays away from the server by what was
// known when s was taken.
func (s *Server) PauseRemaining(now time.Time) time.Duration { return s.pause.Remaining(now) }

// PauseLeft returns how long this gateway still stays away from a server; zero if it does not.
func (f *Fleet) PauseRemaining(now time.Time, id string) time.Duration {
	if s := f.servers[id]; s != nil {
		return s.pause.Remaining(now)
	}
	return 0
}

// Pauses returns the number of servers that want no requests, or did until just before.
func (f *Fleet) CountPaused(now time.Time) int {
	n := 0
	for _, s := range f.servers {
		if !s.gone && (s.pause.Remaining(now) > 0 || s.pause.Ramping(now)) {
			n++
		}
	}
	return n
}

// AwaitsPause returns how long it takes until the first server that may serve a request is back
// from a pause; false if some server wants no pause, or there is none at all. One that is back, and
// takes few requests at first, counts as back at once.
func (f *Fleet) MinPauseRemaining(now time.Time, w Work, role string) (time.Duration, bool) {
	shortest, found := time.Duration(math.MaxInt64), false
	for _, s := range f.servers {
		if s.Service != w.Service || s.Role != role || !s.inService(now) || !w.permits(s) {
			continue
		}
		remaining := s.pause.Remaining(now)
		if remaining == 0 && !s.pause.Ramping(now) {
			return 0, false
		}
		shortest, found = min(shortest, remaining), true
	}
	return shortest, found
}
