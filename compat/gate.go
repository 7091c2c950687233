package compat

import (
	"slices"
	"time"
)

// Member is the leader's view of a voter or learner.
type Member struct {
	ID string
	// Range is the range that the member reported last; the zero range if it has reported
	// none to this leader.
	Range Range
	// Disconnected reports that the member is disconnected; it may run another build by now.
	Disconnected bool
}

// Cause is the reason why the fleet's version does not rise.
type Cause string

// Causes. The last two prevent only the automatic rise.
const (
	// CauseNewest means that the leader's build supports no higher version.
	CauseNewest Cause = "newest"
	// CauseProposed means that the next version is proposed but not yet in force.
	CauseProposed Cause = "proposed"
	// CauseNeverReported means that a member has reported no range since this replica
	// started.
	CauseNeverReported Cause = "never_told"
	// CauseUnable means that a member's range does not contain the next version.
	CauseUnable Cause = "unable"
	// CauseSilent means that a member is disconnected.
	CauseSilent Cause = "silent"
	// CauseSettling means that all members support the next version, but not for the
	// settling time yet.
	CauseSettling Cause = "settling"
	// CauseOperatorOnly means that the version rises only at an operator's request.
	CauseOperatorOnly Cause = "asked"
)

// Blocker is one reason why the version does not rise.
type Blocker struct {
	Cause Cause `json:"cause"`
	// Member is the member concerned, if any.
	Member string `json:"member,omitempty"`
	// Range is the range that the member reported last.
	Range *Range `json:"told,omitempty"`
	// Remaining is the remaining time of CauseSettling.
	Remaining time.Duration `json:"left,omitempty"`
}

// Gate decides when the fleet's version may rise. It belongs to the leader, and each new
// leader starts with an empty one, because it does not know what the previous leader had
// observed. It is not safe for concurrent use.
type Gate struct {
	ranges map[string]Range
	// supportedSince is the time since which all members have reported a range that
	// contains the next version; zero while one has not.
	supportedSince time.Time
	next           int
	proposed       int
}

// SupportedSince returns the time since which all members support the next version; zero
// while one does not.
func (g *Gate) SupportedSince() time.Time { return g.supportedSince }

// RangeChanged records that a member has reported another range. A range that lacks a
// version of the earlier one restarts the settling time, even if the member reports the
// earlier range again before the next Check.
func (g *Gate) RangeChanged(before, after Range) {
	if narrower(before, after) {
		g.supportedSince = time.Time{}
	}
}

// narrower reports whether the range after lacks a version of the range before.
func narrower(before, after Range) bool {
	return after.Least > before.Least || after.Most < before.Most
}

// RecordProposal records that a version has been proposed.
func (g *Gate) RecordProposal(version int) { g.proposed = version }

// Check records the present members and returns what prevents an operator from raising
// the version by one; nothing if the next version may be proposed.
func (g *Gate) Check(now time.Time, version int, own Range, members []Member) []Blocker {
	next := version + 1
	if !own.Contains(next) {
		return []Blocker{{Cause: CauseNewest}}
	}
	if g.proposed >= next {
		return []Blocker{{Cause: CauseProposed}}
	}
	found, supported := blockers(next, members)
	switch {
	case !supported:
		g.supportedSince = time.Time{}
	case g.supportedSince.IsZero() || g.next != next || g.anyNarrower(members):
		g.supportedSince = now
	}
	g.next = next
	g.ranges = map[string]Range{}
	for _, m := range members {
		g.ranges[m.ID] = m.Range
	}
	return found
}

// blockers returns what blocks the next version, and whether all members have reported
// support for it. A disconnected member had reported its support before, so it does not
// restart the settling time.
func blockers(next int, members []Member) (found []Blocker, supported bool) {
	supported = true
	for _, m := range members {
		switch {
		case m.Range == Range{}:
			found = append(found, Blocker{Cause: CauseNeverReported, Member: m.ID})
			supported = false
		case !m.Range.Valid() || !m.Range.Contains(next):
			found = append(found, Blocker{Cause: CauseUnable, Member: m.ID, Range: &m.Range})
			supported = false
		case m.Disconnected:
			found = append(found, Blocker{Cause: CauseSilent, Member: m.ID, Range: &m.Range})
		}
	}
	return found, supported
}

// anyNarrower reports whether a member has joined or supports fewer versions than before.
func (g *Gate) anyNarrower(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		before, ok := g.ranges[m.ID]
		return !ok || narrower(before, m.Range)
	})
}

// CheckSettled returns what prevents the automatic rise of the version when an operator
// could raise it: the remaining settling time, or that there is no automatic rise.
func (g *Gate) CheckSettled(now time.Time, settling time.Duration) []Blocker {
	if settling <= 0 {
		return []Blocker{{Cause: CauseOperatorOnly}}
	}
	if remaining := settling - now.Sub(g.supportedSince); remaining > 0 {
		return []Blocker{{Cause: CauseSettling, Remaining: remaining}}
	}
	return nil
}
