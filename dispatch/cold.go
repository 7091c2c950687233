package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/warmup"
)

// A cold server can serve a few requests a second and is the emptiest of all: each gateway
// would choose it first, and together they would overload it until it crashes. So a gateway
// sends it requests only under a lease from control (package warmup), and within the lease
// chooses it like any other server.

// ColdSettings holds the settings of a service for its cold servers.
type ColdSettings struct {
	// Bounded means that cold servers can serve fewer requests than others; Duration is how
	// long a server stays cold after its start.
	Bounded  bool
	Duration time.Duration
}

// cold is what a gateway knows about a server that may be cold.
type cold struct {
	// warmAt is when the server is warm, by its own report.
	warmAt time.Time
	// restoredAt is when the evacuation of its availability zone ended. Its caches may have
	// been dropped during the evacuation, so it counts as cold until it has reported itself
	// since.
	restoredAt time.Time
	lease      warmup.Lease
}

// SetColdSettings sets the settings of each service for its cold servers.
func (f *Fleet) SetColdSettings(services map[string]ColdSettings) { f.coldSettings = services }

// IsCold reports whether a server can serve only fewer requests than usual now.
func (f *Fleet) IsCold(now time.Time, s *Server) bool {
	c := f.coldSettings[s.Service]
	if !c.Bounded {
		return false
	}
	return now.Before(s.cold.warmAt) || !s.reportedAt.After(s.cold.restoredAt) && now.Sub(s.cold.restoredAt) < c.Duration
}

// coldAllows reports whether this gateway may send one more request to a server that may be
// cold.
func (f *Fleet) coldAllows(now time.Time, s *Server) bool {
	return !f.IsCold(now, s) || s.cold.lease.Allows(now)
}

// NoteSent counts a request that was placed at a server.
func (f *Fleet) NoteSent(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.pause.BeginRequest(now)
		f.noteProbe(now, s)
		if f.IsCold(now, s) {
			s.cold.lease.CountSent(now)
		}
	}
	f.TakeToken(now, id)
}

// RenewLease records that this gateway may send a cold server maxRate requests a second for
// the duration d.
func (f *Fleet) RenewLease(now time.Time, id string, maxRate int, d time.Duration) {
	if s := f.servers[id]; s != nil {
		s.cold.lease.Renew(now, maxRate, d)
	}
}

// setCold records how long the server is cold from the time of its report on.
func (s *Server) setCold(reportedAt time.Time, d time.Duration) { s.cold.warmAt = reportedAt.Add(d) }
