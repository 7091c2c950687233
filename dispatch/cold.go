package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/warmup"
)

// A server that is cold bears a few requests a second, and is the emptiest of all: each gateway
// would choose it first, and together they would end it. So a gateway sends it requests under a
// lease of control alone (package warmup), and has it read and run the next requests like any
// other as long as the lease allows.

// ColdServers is what a service says of its cold servers.
type ColdSettings struct {
	// Bounded tells that they bear less than others do; For is how long one is that has just
	// started.
	Bounded  bool
	Duration time.Duration
}

// cold is what a gateway knows of a server that may be cold.
type cold struct {
	// until is when it is warm, by its own report.
	warmAt time.Time
	// unsure is when its availability zone was given back. Its caches may have been dropped
	// meanwhile, until it has reported itself since.
	restoredAt time.Time
	lease      warmup.Lease
}

// SetCold takes what each service says of its cold servers.
func (f *Fleet) SetColdSettings(services map[string]ColdSettings) { f.coldSettings = services }

// IsCold tells whether a server bears fewer requests than usual now.
func (f *Fleet) IsCold(now time.Time, s *Server) bool {
	c := f.coldSettings[s.Service]
	if !c.Bounded {
		return false
	}
	return now.Before(s.cold.warmAt) || !s.reportedAt.After(s.cold.restoredAt) && now.Sub(s.cold.restoredAt) < c.Duration
}

// bears tells whether this gateway may send a server one more request, as far as that hangs on
// whether it is cold.
func (f *Fleet) coldAllows(now time.Time, s *Server) bool {
	return !f.IsCold(now, s) || s.cold.lease.Allows(now)
}

// Sent counts a request that was placed at a server.
func (f *Fleet) NoteSent(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.pause.BeginRequest(now)
		if f.IsCold(now, s) {
			s.cold.lease.CountSent(now)
		}
	}
	f.TakeToken(now, id)
}

// Lease takes that this gateway may send a number of requests a second to a cold server.
func (f *Fleet) RenewLease(now time.Time, id string, maxRate int, d time.Duration) {
	if s := f.servers[id]; s != nil {
		s.cold.lease.Renew(now, maxRate, d)
	}
}

// heardCold takes what a report that was heard at a time says of how long the server is cold.
func (s *Server) setCold(reportedAt time.Time, d time.Duration) { s.cold.warmAt = reportedAt.Add(d) }
