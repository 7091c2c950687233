package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// noLeaderBound is how long control may be without a leader outside of faults. It is the time in
// which settings have to be in force everywhere, which needs a leader.
const noLeaderBound = 6 * time.Second

// checkRefusals checks that no process logs a refused link.
func checkRefusals(h *History) []string {
	var out []string
	for _, r := range h.Refusals {
		out = append(out, fmt.Sprintf("%s logged %d refused links, the first is %.300s", r.Process, r.Count, r.First))
	}
	return out
}

// checkTableAvailable checks that a gateway has a table within the time in which one has to be in
// force, and never loses it afterwards.
func checkTableAvailable(h *History) []string {
	var out []string
	for _, g := range h.NoTable {
		switch undisturbed := h.longestUndisturbed(g.From, g.To, g.Process, controlPrefix); {
		case !g.First:
			out = append(out, fmt.Sprintf("%s lost its table at %v for %v", g.Process, g.From, g.To-g.From))
		case undisturbed > inForceBound:
			out = append(out, fmt.Sprintf("%s, incarnation %d, had no table from %v to %v, for %v of that without a fault", g.Process, g.Incarnation, g.From, g.To, undisturbed))
		}
	}
	return out
}

// checkLeader checks that control has a leader outside of faults, also while replicas are replaced.
func checkLeader(h *History) []string {
	var out []string
	for _, g := range h.NoLeader {
		if undisturbed := h.longestUndisturbed(g.From, g.To, controlPrefix); undisturbed > noLeaderBound {
			out = append(out, fmt.Sprintf("no leader from %v to %v, for %v of that without a fault", g.From, g.To, undisturbed))
		}
	}
	return out
}

// longestUndisturbed returns the longest part of a time span in which no fault disturbed a process
// whose name has one of the given prefixes. A fault disturbs a process until undisturbedTime after
// its end.
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
