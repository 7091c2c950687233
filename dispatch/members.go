package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// Update takes reports of servers. It returns the starts that a later one has replaced:
// what they had under way has ended.
func (f *Fleet) Update(now time.Time, list []registry.Server) (ended []*Server) {
	for _, r := range list {
		replaced, err := f.incarnations.Record(now, r.Newest())
		if old := f.endIncarnation(replaced.ID); old != nil {
			ended = append(ended, old)
		}
		switch {
		case r.Next != 0:
			if old := f.endIncarnation(r.ID); old != nil {
				ended = append(ended, old)
			}
		case err == nil:
			f.updateIncarnation(now, r)
		}
	}
	return ended
}

// end takes that a start has been replaced; nil if that is known, or the start is not.
func (f *Fleet) endIncarnation(id string) *Server {
	s := f.servers[id]
	if s == nil || s.replaced {
		return nil
	}
	s.State, s.replaced = registry.Gone, true
	f.MarkGone(id)
	return s
}

// update takes the report of a server's newest start.
func (f *Fleet) updateIncarnation(now time.Time, r registry.Server) {
	reportedAt := now.Add(-r.Age)
	s := f.servers[r.ID]
	if s == nil {
		s = &Server{Server: r, reportedAt: reportedAt, rank: f.rank(r.ID), Others: f.Others.Loads[r.ID], OthersSeen: f.Others.Evidence[r.ID]}
		s.gone = r.State == registry.Gone
		s.evacuated, s.region = f.evacuated[r.Zone], f.regions[r.Zone]
		s.setCold(reportedAt, r.Cold)
		f.servers[r.ID] = s
		f.applyPendingLimit(now, s)
		f.resolveAddress(s)
		f.groups = nil
		return
	}
	if reportedAt.After(s.reportedAt) {
		s.reportedAt = reportedAt
		f.preferReporting(s)
	}
	if r.State == registry.Gone {
		s.State = registry.Gone
		f.MarkGone(s.ID)
		return
	}
	if s.gone || s.State == registry.Draining && r.State == registry.Ready || r.Sequence < s.Sequence && r.State == s.State {
		return
	}
	if s.State != r.State && r.State == registry.Draining {
		s.leavingSince = now
	}
	if s.State != r.State || s.Role != r.Role || s.Service != r.Service || s.Zone != r.Zone {
		f.groups = nil
	}
	s.Server, s.evacuated, s.region = r, f.evacuated[r.Zone], f.regions[r.Zone]
	s.setCold(reportedAt, r.Cold)
}

// Ended tells whether a start has been replaced by a later one of its server.
func (f *Fleet) Replaced(id string) bool {
	s := f.servers[id]
	return s != nil && s.replaced
}

// Heard takes that servers have reported themselves again, at a time, with
// nothing new.
func (f *Fleet) NoteHeartbeats(at time.Time, ids []string) {
	for _, id := range ids {
		s := f.servers[id]
		if s == nil || !at.After(s.reportedAt) {
			continue
		}
		if at.Sub(s.reportedAt) > silentTimeout {
			f.groups = nil // it was left out
		}
		s.reportedAt = at
		f.preferReporting(s)
	}
}

// retire puts one of two incarnations at an address behind the other: the one that was
// heard last counts. A replica that has just started tells what it knew before, and a
// report that a cut has held up can come after the server's next incarnation has
// registered, so this is no more than the better guess.
func (f *Fleet) resolveAddress(added *Server) {
	if added.State != registry.Ready || added.Address == "" {
		return
	}
	for id, s := range f.servers {
		if id == added.ID || s.Address != added.Address || s.gone {
			continue
		}
		if s.reportedAt.After(added.reportedAt) {
			added.supersededBy = s
		} else {
			s.supersededBy = added
		}
	}
}

// rivalSilent is the time for which the better guess of two incarnations must have been
// silent while the other reports itself: longer than the time between two reports and
// their way here, so that a report that comes late changes nothing.
const supersedeSilence = 4 * time.Second

// outlive puts a server before its rival if only the server still reports itself.
func (f *Fleet) preferReporting(s *Server) {
	other := s.supersededBy
	if other == nil || s.reportedAt.Sub(other.reportedAt) < supersedeSilence {
		return
	}
	s.supersededBy, other.supersededBy = nil, s
	f.groups = nil
}

// Gone marks a server that has left, or that another one answered for at its address.
// One that was behind it counts again.
func (f *Fleet) MarkGone(id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	s.gone = true
	for _, o := range f.servers {
		if o.supersededBy == s {
			o.supersededBy = nil
		}
	}
	f.groups = nil
}

// Times of membership as a gateway sees it.
const (
	// silentAfter is the age of a server's last report after which only a
	// request that went well shows that it is there.
	silentTimeout = 5 * time.Second
	successTTL    = 2 * time.Second
	// forgetAfter is how long a server that is gone is remembered, for reports
	// that come late.
	forgetTimeout = time.Minute
)

// listed tells whether a server may get new work now.
func (s *Server) available(now time.Time) bool {
	return s.inService(now) && s.pause.Remaining(now) == 0
}

// inService tells whether a server takes new work, if it does not want a pause.
func (s *Server) inService(now time.Time) bool {
	if s.gone || s.evacuated || s.supersededBy != nil || s.State != registry.Ready || s.changingRole(now) {
		return false
	}
	return s.alive(now)
}

// alive tells whether a server has reported itself of late, or has answered.
func (s *Server) alive(now time.Time) bool {
	return now.Sub(s.reportedAt) < silentTimeout || now.Sub(s.health.lastSuccess) < successTTL
}

// Listed tells whether a server may get new work now.
func (f *Fleet) Available(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.available(now)
}

// awayLimit is how long an engine is left alone beyond the least time that a
// change of its role takes.
const roleChangeGrace = 10 * time.Second

// Away takes that an engine changes its role, which takes at least a time.
func (f *Fleet) BeginRoleChange(now time.Time, id, role string, shortest time.Duration) {
	if s := f.servers[id]; s != nil {
		s.targetRole, s.roleChangeEarliest, s.roleChangeDeadline = role, now.Add(shortest), now.Add(shortest+roleChangeGrace)
	}
}

func (s *Server) changingRole(now time.Time) bool {
	if s.targetRole == "" {
		return false
	}
	if s.Role == s.targetRole && !now.Before(s.roleChangeEarliest) || now.After(s.roleChangeDeadline) {
		s.targetRole = ""
		return false
	}
	return true
}

// Sweep forgets servers that have been silent for long, and has the groups made
// anew.
func (f *Fleet) Sweep(now time.Time) {
	f.groups = nil
	for id, o := range f.pendingLimits {
		if now.Sub(o.Received) > forgetTimeout {
			delete(f.pendingLimits, id)
		}
	}
	for id, s := range f.servers {
		if s.Open == 0 && s.Own == (Load{}) && now.Sub(s.reportedAt) > forgetTimeout && s.pause.Remaining(now) == 0 {
			delete(f.servers, id)
		}
	}
	f.incarnations.Sweep(now)
}
