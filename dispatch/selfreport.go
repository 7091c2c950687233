package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
)

// Change is a change of a server's state by a report in an answer.
type Change struct {
	Server Server
	Field  selfreport.Field
	// Limit is set if Field is selfreport.Limit.
	Limit LimitChange
	// Pause is the time for which the server has asked for no requests; set if Field is
	// selfreport.RetryAfter.
	Pause time.Duration
}

// Observe applies what an answer of a server reports about the server. It returns the
// changes, except of cold times, which change with each report.
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

// extendPause records that a server has asked for no requests for a time. It reports whether
// that changes the pause.
func (f *Fleet) extendPause(s *Server, r selfreport.Report) bool {
	spread := selfreport.ReturnSpread(f.GatewaysPerServer(s.Service, s.Role), r.RetryAfter)
	offset := time.Duration(float64(spread) * float64(s.rank) / math.MaxUint64)
	changed := s.pause.Extend(r.Received, r.RetryAfter, offset)
	f.groups = nil
	return changed
}

// markLeaving records that a server leaves, like a report that it is draining. It returns
// false if that is already known.
func (f *Fleet) markLeaving(now time.Time, s *Server) bool {
	if s.gone || s.State != registry.Ready {
		return false
	}
	s.State, s.leavingSince = registry.Draining, now
	s.leavingReported, s.leavingSent = true, false
	f.groups = nil
	return true
}

// UnsentLeaving returns the servers that have reported to this gateway that they leave and of
// which control was not yet notified, and marks them as sent.
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

// ResendLeaving marks all leaving servers to be sent again, to another control replica.
func (f *Fleet) ResendLeaving() {
	for _, s := range f.servers {
		s.leavingSent = false
	}
}

// AdmitCall reports whether a request or call may be sent to a server, which may be paused.
// frees marks a call that frees something; one of these is admitted in each pause.
func (f *Fleet) AdmitCall(now time.Time, id string, frees bool) bool {
	s := f.servers[id]
	return s == nil || s.pause.AdmitCall(now, frees)
}

// Paused reports whether a server has asked for no requests now.
func (f *Fleet) Paused(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.pause.Active(now)
}

// PauseRemaining returns how long, from now on, the gateway sends nothing to the server, by
// the state when s was copied.
func (s *Server) PauseRemaining(now time.Time) time.Duration { return s.pause.Remaining(now) }

// PauseRemaining returns how long this gateway sends nothing to a server; zero if it may
// send.
func (f *Fleet) PauseRemaining(now time.Time, id string) time.Duration {
	if s := f.servers[id]; s != nil {
		return s.pause.Remaining(now)
	}
	return 0
}

// CountPaused returns the number of servers that are paused, or were until just now.
func (f *Fleet) CountPaused(now time.Time) int {
	n := 0
	for _, s := range f.servers {
		if !s.gone && (s.pause.Remaining(now) > 0 || s.pause.Ramping(now)) {
			n++
		}
	}
	return n
}

// MinPauseRemaining returns the time until the first server that may serve a request returns
// from a pause. It returns zero and false if some server is not paused, or if there is no server. A
// server that has returned and accepts few requests at first counts with zero.
func (f *Fleet) MinPauseRemaining(now time.Time, w Work, role string) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	for _, s := range f.servers {
		if s.Service != w.Service || s.Role != role || !s.inService(now) || !w.permits(s) {
			continue
		}
		remaining := s.pause.Remaining(now)
		if remaining == 0 && !s.pause.Ramping(now) {
			return 0, false
		}
		if !found || remaining < shortest {
			shortest, found = remaining, true
		}
	}
	return shortest, found
}
