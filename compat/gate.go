package compat

import (
	"slices"
	"time"
)

// Member is a voter or learner as the leader knows it.
type Member struct {
	ID string
	// Told is the range that it told last; the zero range if it told none to this leader.
	Told Range
	// Silent tells that it is out of touch: another build may run there by now.
	Silent bool
}

// Cause tells what holds the fleet's version back.
type Cause string

// The causes. The last two hold back only the rise that comes by itself.
const (
	// CauseNewest tells that the leader's own build knows no higher version.
	CauseNewest Cause = "newest"
	// CauseProposed tells that the next version was proposed and is not yet in force.
	CauseProposed Cause = "proposed"
	// CauseNeverReported tells that a member has told no range since this replica started.
	CauseNeverReported Cause = "never_told"
	// CauseUnable tells that a member's range does not hold the next version.
	CauseUnable Cause = "unable"
	// CauseSilent tells that a member is out of touch.
	CauseSilent Cause = "silent"
	// CauseSettling tells that all can read the next version, but not for long enough.
	CauseSettling Cause = "settling"
	// CauseOperatorOnly tells that the version rises only when an operator asks.
	CauseOperatorOnly Cause = "asked"
)

// Blocker is one thing that holds the version back.
type Blocker struct {
	Cause Cause `json:"cause"`
	// Member is who does, if it is a member.
	Member string `json:"member,omitempty"`
	// Told is the range that the member told last.
	Told *Range `json:"told,omitempty"`
	// Left is the time that is left, of Settling.
	Left time.Duration `json:"left,omitempty"`
}

// Gate decides when the fleet's version rises. It is the leader's, and starts anew with each
// leader: what a leader before it had seen is not known to this one. It is not safe for
// concurrent use.
type Gate struct {
	ranges map[string]Range
	// since is the moment from which on all members have told a range that holds the next
	// version; zero while one has not.
	supportedSince time.Time
	next           int
	proposed       int
}

// SupportedSince returns the moment from which on all members could read the next version; zero while
// one can't.
func (g *Gate) SupportedSince() time.Time { return g.supportedSince }

// RangeChanged takes that a member has told another range than before, which may be over before the
// next look: the settling time starts anew if it reads less.
func (g *Gate) RangeChanged(before, after Range) {
	if narrower(before, after) {
		g.supportedSince = time.Time{}
	}
}

// less tells whether a range misses a part of the one before it.
func narrower(before, after Range) bool {
	return after.Least > before.Least || after.Most < before.Most
}

// RecordProposal takes that a version has been proposed.
func (g *Gate) RecordProposal(version int) { g.proposed = version }

// Check takes what the leader knows, and returns what keeps an operator from raising the
// version by one; nothing if it may be proposed.
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
		g.ranges[m.ID] = m.Told
	}
	return found
}

// look returns what holds the next version back, and whether all members have told that they
// can read it. One that is silent could before, so it does not begin the settling time anew.
func blockers(next int, members []Member) (found []Blocker, supported bool) {
	supported = true
	for _, m := range members {
		switch {
		case m.Told == Range{}:
			found = append(found, Blocker{Cause: CauseNeverReported, Member: m.ID})
			supported = false
		case !m.Told.Valid() || !m.Told.Contains(next):
			found = append(found, Blocker{Cause: CauseUnable, Member: m.ID, Told: &m.Told})
			supported = false
		case m.Silent:
			found = append(found, Blocker{Cause: CauseSilent, Member: m.ID, Told: &m.Told})
		}
	}
	return found, supported
}

// changed tells whether a member has joined, or reads less than before.
func (g *Gate) anyNarrower(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		before, ok := g.ranges[m.ID]
		return !ok || narrower(before, m.Told)
	})
}

// CheckSettled returns what keeps the version from rising by itself, though an operator could raise
// it: the settling time, or that there is none.
func (g *Gate) CheckSettled(now time.Time, settling time.Duration) []Blocker {
	if settling <= 0 {
		return []Blocker{{Cause: CauseOperatorOnly}}
	}
	if remaining := settling - now.Sub(g.supportedSince); remaining > 0 {
		return []Blocker{{Cause: CauseSettling, Left: remaining}}
	}
	return nil
}
