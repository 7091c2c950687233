package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
)

// A server under overload reports in its answers the number of requests a second that it
// accepts from all gateways together. From then on a gateway sends it requests only with
// tokens from control (package ratelimit). Other servers get the remaining requests at once,
// since a server without a token is not chosen.

// limit is what a gateway knows about the limit that a server reports.
type limit struct {
	ratelimit.Limit
	allowance ratelimit.Allowance
	// requests counts the requests that this gateway sent to the server under the current
	// limit.
	requests int
	// unsent is the newest observation that was not yet sent to control, sentAt when one was
	// last sent.
	unsent *ratelimit.Observation
	sentAt time.Time
}

const (
	// limitResendInterval is the interval at which control is notified while a server
	// continues to report its limit.
	limitResendInterval = 400 * time.Millisecond
	// limitRefreshInterval is the time after which control is notified of a limit again
	// without a new answer: a replica that has restarted behind the same link would otherwise
	// issue no tokens.
	limitRefreshInterval = 2 * time.Second
	// maxPendingLimits bounds the number of limits that are held for servers not known yet.
	maxPendingLimits = 1000
)

// LimitChange is a change of a server's limit.
type LimitChange struct {
	Server      Server
	Observation ratelimit.Observation
	// Sent is the number of requests sent there under the previous limit.
	Sent int
}

// ObserveLimit applies the limit in an answer of a server. Unless this gateway is standalone,
// a higher limit or the end of one counts only once control confirms it, since control has
// the answers that other gateways received. It reports whether the limit has changed.
func (f *Fleet) ObserveLimit(now time.Time, id string, o ratelimit.Observation) (LimitChange, bool) {
	s := f.servers[id]
	if s == nil {
		return LimitChange{}, false
	}
	l := &s.limit
	if l.Loosens(o) && !f.Standalone {
		l.unsent = &o
		return LimitChange{}, false
	}
	change, changed := s.applyLimit(now, o)
	if o.Limited && (changed || now.Sub(l.sentAt) >= limitResendInterval) {
		l.unsent = &o
	}
	return change, changed
}

// ApplyLimit applies a server's limit from control and reports whether it has changed. If
// this gateway has a newer observation than control, that observation is sent to control.
func (f *Fleet) ApplyLimit(now time.Time, id string, o ratelimit.Observation) (LimitChange, bool) {
	s := f.servers[id]
	if s == nil {
		if len(f.pendingLimits) < maxPendingLimits {
			f.pendingLimits[id] = o
		}
		return LimitChange{}, false
	}
	change, changed := s.applyLimit(now, o)
	if known := s.limit.Newest(); !changed && !known.Same(o) {
		s.limit.unsent = &known
	}
	return change, changed
}

// applyPendingLimit applies the limit that control sent before the server was known.
func (f *Fleet) applyPendingLimit(now time.Time, s *Server) {
	if o, ok := f.pendingLimits[s.ID]; ok {
		delete(f.pendingLimits, s.ID)
		s.limit.Observe(now, o)
	}
}

func (s *Server) applyLimit(now time.Time, o ratelimit.Observation) (LimitChange, bool) {
	if !s.limit.Observe(now, o) {
		return LimitChange{}, false
	}
	out := LimitChange{Server: *s, Observation: s.limit.Newest(), Sent: s.limit.requests}
	s.limit.requests = 0
	return out, true
}

// ServerObservation is an observation of one server's limit.
type ServerObservation struct {
	Server      string
	Observation ratelimit.Observation
}

// UnsentLimits returns the observations that are due to be sent to control, and marks them as
// sent.
func (f *Fleet) UnsentLimits(now time.Time) []ServerObservation {
	var out []ServerObservation
	for id, s := range f.servers {
		if o := s.limit.Newest(); o.Limited && s.limit.unsent == nil && now.Sub(s.limit.sentAt) >= limitRefreshInterval {
			s.limit.unsent = &o
		}
		if o := s.limit.unsent; o != nil {
			out = append(out, ServerObservation{id, *o})
			s.limit.unsent, s.limit.sentAt = nil, now
		}
	}
	return out
}

// ResendLimits marks all limits to be sent again, for another control replica that doesn't
// have them.
func (f *Fleet) ResendLimits() {
	for _, s := range f.servers {
		if o := s.limit.Newest(); o.Limited {
			s.limit.unsent = &o
		}
	}
}

// IsLimited reports whether a server reports a limit, or did so until just now.
func (f *Fleet) IsLimited(now time.Time, s *Server) bool {
	_, limited := s.limit.Rate(now)
	return limited
}

// limitAllows reports whether this gateway may send one more request to a server under its
// limit.
func (f *Fleet) limitAllows(now time.Time, s *Server) bool {
	return !f.IsLimited(now, s) || s.limit.allowance.Allows(now)
}

// TakeToken counts a request that is about to be sent to a server. It returns false if the
// server's limit forbids the request.
func (f *Fleet) TakeToken(now time.Time, id string) bool {
	s := f.servers[id]
	if s == nil || !f.IsLimited(now, s) {
		return true
	}
	if !s.limit.allowance.Take(now) {
		return false
	}
	s.limit.requests++
	return true
}

// OweToken counts a request that was sent to a server without a token; the next token for the
// server pays for it.
func (f *Fleet) OweToken(now time.Time, id string) {
	if s := f.servers[id]; s != nil && f.IsLimited(now, s) {
		s.limit.allowance.ForceTake(now)
		s.limit.requests++
	}
}

// GrantTokens adds tokens for a server. It returns the server's service; empty if the server
// is not known.
func (f *Fleet) GrantTokens(now time.Time, id string, t ratelimit.Token, tokens int, d time.Duration) string {
	s := f.servers[id]
	if s == nil {
		return ""
	}
	s.limit.allowance.Grant(now, t, tokens, d)
	return s.Service
}

// ReleaseSurplus returns the tokens of a server for which no request is expected, and removes
// them from the gateway's allowance.
func (f *Fleet) ReleaseSurplus(now time.Time, id string) []ratelimit.Release {
	s := f.servers[id]
	if s == nil {
		return nil
	}
	out := s.limit.allowance.ReleaseSurplus(now, f.meter(s.Service).Rate(now))
	for i := range out {
		out[i].Server = id
	}
	return out
}

// SetStandaloneRates lets a standalone gateway send its equal share of each limit, one of as
// many shares as there are gateways. Other gateways need tokens.
func (f *Fleet) SetStandaloneRates(now time.Time) {
	for _, s := range f.servers {
		rate, limited := s.limit.Rate(now)
		if !limited || !f.Standalone {
			rate = 0
		}
		s.limit.allowance.SetFallbackRate(now, rate/float64(max(f.Others.Gateways, 1)))
	}
}

// meter returns the meter of the requests to a service.
func (f *Fleet) meter(service string) *ratelimit.Meter {
	m := f.meters[service]
	if m == nil {
		m = &ratelimit.Meter{}
		f.meters[service] = m
	}
	return m
}

// CountRequest counts a caller's request to a service.
func (f *Fleet) CountRequest(now time.Time, service string) { f.meter(service).Count(now) }

// LimitedServiceRates returns the requests a second to each service that has a limited
// server.
func (f *Fleet) LimitedServiceRates(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, s := range f.servers {
		if _, known := out[s.Service]; !known && !s.gone && f.IsLimited(now, s) {
			out[s.Service] = f.meter(s.Service).Rate(now)
		}
	}
	return out
}

// LacksOnlyToken reports whether a request could be sent to some server if this gateway had a
// token for it.
func (f *Fleet) LacksOnlyToken(now time.Time, w Work, avoid Avoid) bool {
	for _, s := range f.servers {
		if s.Service == w.Service && !avoid[s.ID] && s.available(now) && w.permits(s) && !f.limitAllows(now, s) {
			return true
		}
	}
	return false
}

// CountLimited returns the number of servers that report a limit, or did so until just now.
func (f *Fleet) CountLimited(now time.Time) int {
	n := 0
	for _, s := range f.servers {
		if !s.gone && f.IsLimited(now, s) {
			n++
		}
	}
	return n
}
