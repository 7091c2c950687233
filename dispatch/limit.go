package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
)

// A server in need names in its answers the requests a second that it takes from all gateways
// together. From then on a gateway sends it requests under tokens of control alone (package
// ratelimit): the others take the rest at once, since a server without a token is not chosen.

// limit is what a gateway knows of the limit that a server names.
type limit struct {
	ratelimit.Limit
	allowance ratelimit.Allowance
	// sent counts the requests of this gateway that went to the server while it held.
	requests int
	// untold is the newest observation that control has not been told, toldAt when it was told of
	// this server last.
	unsent *ratelimit.Observation
	sentAt time.Time
}

const (
	// limitAgain is the time after which control is told again that a server goes on naming its
	// limit.
	limitResendInterval = 400 * time.Millisecond
	// limitRetell is the time after which control is told of a limit again though nothing was
	// heard: a replica that has started anew over the same link would issue no tokens.
	limitRefreshInterval = 2 * time.Second
	// mostEarly bounds the servers of which the limit is known before themselves.
	maxPendingLimits = 1000
)

// LimitChange is a change of what a server takes.
type LimitChange struct {
	Server      Server
	Observation ratelimit.Observation
	// Sent counts the requests that went there while the limit before it held.
	Sent int
}

// NoteLimit takes what an answer of a server says of its limit. What allows more counts only by
// the observation of control, which knows the answers that other gateways had, unless this gateway is
// alone. It returns false if nothing has changed.
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

// TellLimit takes what control tells of a server's limit; false if nothing has changed. Control
// may not know yet what this gateway has heard since, and is told then.
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

// learnLimit takes what control told of the limit of a server before the server.
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

// ServerObservation is what a server said of its limit.
type ServerObservation struct {
	Server      string
	Observation ratelimit.Observation
}

// UntoldLimits returns what control has to hear of limits; it counts as told.
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

// RetellLimits has control told of all limits again, as another replica that does not know them.
func (f *Fleet) ResendLimits() {
	for _, s := range f.servers {
		if o := s.limit.Newest(); o.Limited {
			s.limit.unsent = &o
		}
	}
}

// IsLimited tells whether a server names a limit, or did until just before.
func (f *Fleet) IsLimited(now time.Time, s *Server) bool {
	_, limited := s.limit.Rate(now)
	return limited
}

// admits tells whether this gateway may send a server one more request, as far as that hangs on
// its limit.
func (f *Fleet) limitAllows(now time.Time, s *Server) bool {
	return !f.IsLimited(now, s) || s.limit.allowance.Allows(now)
}

// Admit counts a request that is to go to a server; false if the server's limit forbids that.
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

// Owe counts a request that went to a server in any case: the next token for it pays.
func (f *Fleet) OweToken(now time.Time, id string) {
	if s := f.servers[id]; s != nil && f.IsLimited(now, s) {
		s.limit.allowance.ForceTake(now)
		s.limit.requests++
	}
}

// Grant takes tokens for a server. It returns the server's service; empty if it is not known.
func (f *Fleet) GrantTokens(now time.Time, id string, t ratelimit.Token, tokens int, d time.Duration) string {
	s := f.servers[id]
	if s == nil {
		return ""
	}
	s.limit.allowance.Grant(now, t, tokens, d)
	return s.Service
}

// Surplus takes back the tokens of a server for which no request is expected.
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

// ShareLimits lets a gateway that is alone send its own part of each limit, one of as many as there
// are gateways; else it needs tokens.
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

// Request counts a request of a caller to a service.
func (f *Fleet) CountRequest(now time.Time, service string) { f.meter(service).Count(now) }

// LimitedRates returns the requests a second that come for each service with a limited server.
func (f *Fleet) LimitedServiceRates(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, s := range f.servers {
		if _, known := out[s.Service]; !known && !s.gone && f.IsLimited(now, s) {
			out[s.Service] = f.meter(s.Service).Rate(now)
		}
	}
	return out
}

// OnlyTokensLack tells whether a request could go to some server if that took more.
func (f *Fleet) LacksOnlyToken(now time.Time, w Work, avoid Avoid) bool {
	for _, s := range f.servers {
		if s.Service == w.Service && !avoid[s.ID] && s.available(now) && w.permits(s) && !f.limitAllows(now, s) {
			return true
		}
	}
	return false
}

// Limited returns the number of servers that name a limit, or did until just before.
func (f *Fleet) CountLimited(now time.Time) int {
	n := 0
	for _, s := range f.servers {
		if !s.gone && f.IsLimited(now, s) {
			n++
		}
	}
	return n
}
