package dispatch

import (
	"cmp"
	"time"

	"github.com/ledgepin/ledgepin/registry"
)

// Update applies reports of servers. It returns the incarnations that a later one has
// replaced; what they had under way has ended.
func (f *Fleet) Update(now time.Time, list []registry.Server) (ended []*Server) {
	for _, r := range list {
		if r.CheckTexts() != nil {
			continue // a replica of an older build forwards such reports
		}
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

// endIncarnation marks an incarnation as replaced. It returns nil if it is already marked or
// is not known.
func (f *Fleet) endIncarnation(id string) *Server {
	s := f.servers[id]
	if s == nil || s.replaced {
		return nil
	}
	s.State, s.replaced = registry.Gone, true
	f.MarkGone(id)
	return s
}

// updateIncarnation applies a report of a server's newest incarnation.
func (f *Fleet) updateIncarnation(now time.Time, r registry.Server) {
	reportedAt := now.Add(-r.Age)
	if r.State != registry.Gone {
		f.versions.Note(now, r.Service, r.Version)
	}
	s := f.servers[r.ID]
	if s == nil {
		s = &Server{Server: r, reportedAt: reportedAt, rank: f.rank(r.ID), Others: f.Others.Loads[r.ID], OthersSeen: f.Others.Evidence[r.ID]}
		s.gone = r.State == registry.Gone
		s.evacuated, s.region = f.evacuated[r.Zone], f.regions[r.Zone]
		s.losses = f.losses[r.StableName()]
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
	r.Version = cmp.Or(r.Version, s.Version)
	s.Server, s.evacuated, s.region = r, f.evacuated[r.Zone], f.regions[r.Zone]
	s.setCold(reportedAt, r.Cold)
}

// Replaced reports whether a later incarnation of its server has replaced an incarnation.
func (f *Fleet) Replaced(id string) bool {
	s := f.servers[id]
	return s != nil && s.replaced
}

// NoteHeartbeats records that servers reported themselves at a time without any change.
func (f *Fleet) NoteHeartbeats(at time.Time, ids []string) {
	for _, id := range ids {
		s := f.servers[id]
		if s == nil || !at.After(s.reportedAt) {
			continue
		}
		if at.Sub(s.reportedAt) > silentTimeout {
			f.groups = nil // the groups left it out
		}
		s.reportedAt = at
		f.preferReporting(s)
	}
}

// resolveAddress lets one of two incarnations at an address supersede the other: the one that
// reported last. This is only the better guess: a replica that has just started publishes old
// reports, and a report that was delayed by a partition can arrive after the server's next
// incarnation has registered.
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

// supersedeSilence is the time for which the incarnation in use must have been silent, while
// the other one at its address reports, before the other takes its place. It is longer than
// the time between two reports plus their delivery, so that a late report changes nothing.
const supersedeSilence = 4 * time.Second

// preferReporting uses a server in place of the incarnation that supersedes it if only the
// server still reports itself.
func (f *Fleet) preferReporting(s *Server) {
	other := s.supersededBy
	if other == nil || s.reportedAt.Sub(other.reportedAt) < supersedeSilence {
		return
	}
	s.supersededBy, other.supersededBy = nil, s
	f.groups = nil
}

// MarkGone marks a server that has left, or at whose address another server answered. A
// server that it superseded is used again.
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
	// silentTimeout is the age of a server's last report after which only a recent successful
	// request, within successTTL, shows that the server is alive.
	silentTimeout = 5 * time.Second
	successTTL    = 2 * time.Second
	// forgetTimeout is the time for which a server that is gone is remembered, because
	// reports of it may come late.
	forgetTimeout = time.Minute
)

// available reports whether a server may get new work now.
func (s *Server) available(now time.Time) bool {
	return s.inService(now) && s.pause.Remaining(now) == 0
}

// inService reports whether a server accepts new work, apart from a pause.
func (s *Server) inService(now time.Time) bool {
	if s.gone || s.evacuated || s.supersededBy != nil || s.State != registry.Ready || s.changingRole(now) {
		return false
	}
	return s.alive(now)
}

// alive reports whether a server has recently reported itself or answered.
func (s *Server) alive(now time.Time) bool {
	return now.Sub(s.reportedAt) < silentTimeout || now.Sub(s.health.lastSuccess) < successTTL
}

// Available reports whether a server may get new work now.
func (f *Fleet) Available(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.available(now)
}

// roleChangeGrace is the time, beyond the shortest duration of a role change, for which an
// engine gets no work until it reports its new role.
const roleChangeGrace = 10 * time.Second

// BeginRoleChange records that an engine changes its role, which takes at least the given
// time.
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

// Sweep removes servers that have been silent for long, and has the groups rebuilt.
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
	f.sweepVersions(now)
	f.sweepLosses(now)
}
