package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// Update takes reports of servers.
func (f *Fleet) Update(now time.Time, list []registry.Server) {
	for _, r := range list {
		heard := now.Add(-r.Age)
		s := f.servers[r.ID]
		if s == nil {
			s = &Server{Server: r, heardAt: heard}
			s.gone = r.State == registry.Gone
			f.servers[r.ID] = s
			f.retire(s)
			f.groups = nil
			continue
		}
		if heard.After(s.heardAt) {
			s.heardAt = heard
		}
		if r.State == registry.Gone {
			s.State, s.gone = registry.Gone, true
			f.groups = nil
			continue
		}
		if s.gone || s.State == registry.Draining && r.State == registry.Ready || r.Sequence < s.Sequence && r.State == s.State {
			continue
		}
		if s.State != r.State && r.State == registry.Draining {
			s.leavingAt = now
		}
		if s.State != r.State || s.Role != r.Role || s.Service != r.Service {
			f.groups = nil
		}
		s.Server = r
	}
}

// Heard takes that servers have reported themselves again, at a time, with
// nothing new.
func (f *Fleet) Heard(at time.Time, ids []string) {
	for _, id := range ids {
		s := f.servers[id]
		if s == nil || !at.After(s.heardAt) {
			continue
		}
		if at.Sub(s.heardAt) > silentAfter {
			f.groups = nil // it was left out
		}
		s.heardAt = at
	}
}

// retire marks older incarnations at the address of a new server as gone. The new
// one is the older if it was heard before them: a replica that has just started
// tells what it knew before.
func (f *Fleet) retire(fresh *Server) {
	if fresh.State != registry.Ready || fresh.Address == "" {
		return
	}
	for id, s := range f.servers {
		if id == fresh.ID || s.Address != fresh.Address {
			continue
		}
		if s.heardAt.After(fresh.heardAt) {
			fresh.gone = true
		} else {
			s.gone = true
		}
	}
}

// Gone marks a server that another one answered for at its address.
func (f *Fleet) Gone(id string) {
	if s := f.servers[id]; s != nil {
		s.gone = true
		f.groups = nil
	}
}

// Times of membership as a gateway sees it.
const (
	// silentAfter is the age of a server's last report after which only a
	// request that went well shows that it is there.
	silentAfter = 5 * time.Second
	provenFor   = 2 * time.Second
	// forgetAfter is how long a server that is gone is remembered, for reports
	// that come late.
	forgetAfter = time.Minute
)

// listed tells whether a server may get new work.
func (s *Server) listed(now time.Time) bool {
	if s.gone || s.State != registry.Ready || s.isAway(now) {
		return false
	}
	return s.alive(now)
}

// alive tells whether a server has reported itself of late, or has answered.
func (s *Server) alive(now time.Time) bool {
	return now.Sub(s.heardAt) < silentAfter || now.Sub(s.health.lastGood) < provenFor
}

// Listed tells whether a server may get new work now.
func (f *Fleet) Listed(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.listed(now)
}

// awayLimit is how long an engine is left alone beyond the least time that a
// change of its role takes.
const awayLimit = 10 * time.Second

// Away takes that an engine changes its role, which takes at least a time.
func (f *Fleet) Away(now time.Time, id, role string, least time.Duration) {
	if s := f.servers[id]; s != nil {
		s.away, s.backAt, s.awayUntil = role, now.Add(least), now.Add(least+awayLimit)
	}
}

func (s *Server) isAway(now time.Time) bool {
	if s.away == "" {
		return false
	}
	if s.Role == s.away && !now.Before(s.backAt) || now.After(s.awayUntil) {
		s.away = ""
		return false
	}
	return true
}

// Sweep forgets servers that have been silent for long, and has the groups made
// anew.
func (f *Fleet) Sweep(now time.Time) {
	f.groups = nil
	for id, s := range f.servers {
		if s.Open == 0 && s.Own == (Load{}) && now.Sub(s.heardAt) > forgetAfter {
			delete(f.servers, id)
		}
	}
}
