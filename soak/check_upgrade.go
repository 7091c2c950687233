package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// leaderBound is how long control may be without a leader out of faults: the time in which
// settings have to be in force everywhere, which none can be without a leader.
const noLeaderBound = 6 * time.Second

// checkRefusals wants no process to tell of a link that was refused.
func checkRefusals(h *History) []string {
	var out []string
	for _, r := range h.Refusals {
		out = append(out, fmt.Sprintf("%s told of %d, first %.300s", r.Process, r.Count, r.First))
	}
	return out
}

// checkTableHeld wants a gateway to have a table within the time in which one has to be in
// force, and never to be without one after that.
func checkTableAvailable(h *History) []string {
	var out []string
	for _, g := range h.NoTable {
		switch undisturbed := h.longestUndisturbed(g.From, g.To, g.Process, controlPrefix); {
		case !g.First:
			out = append(out, fmt.Sprintf("%s lost its table at %v for %v", g.Process, g.From, g.To-g.From))
		case undisturbed > inForceBound:
			out = append(out, fmt.Sprintf("%s, start %d, had none from %v to %v, for %v of that without a fault", g.Process, g.Incarnation, g.From, g.To, undisturbed))
		}
	}
	return out
}

// checkLeader wants control to have a leader out of faults, also while replicas are replaced.
func checkLeader(h *History) []string {
	var out []string
	for _, g := range h.NoLeader {
		if undisturbed := h.longestUndisturbed(g.From, g.To, controlPrefix); undisturbed > noLeaderBound {
			out = append(out, fmt.Sprintf("none from %v to %v, for %v of that without a fault", g.From, g.To, undisturbed))
		}
	}
	return out
}

// calmest returns the longest part of a span in which no fault disturbed any process whose
// name begins with one of some texts; a fault disturbs for touchTime longer than it lasts.
func (h *History) longestUndisturbed(from, to time.Duration, names ...string) time.Duration {
	var faults []Outage
	for _, o := range h.Outages {
		if !o.Kind.Planned() && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(o.Process, name) }) {
			faults = append(faults, o)
		}
	}
	slices.SortFunc(faults, func(a, b Outage) int { return int(a.From - b.From) })
	longest := time.Duration(0)
	for _, o := range faults {
		longest = max(longest, min(o.From, to)-from)
		from = max(from, o.To+undisturbedTime)
	}
	return max(longest, to-from)
}
