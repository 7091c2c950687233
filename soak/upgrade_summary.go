package soak

import (
	"fmt"
	"net/http"
	"time"
)

// UpgradeSummary summarizes the effects of an upgrade, or of the faults of a run without one.
type UpgradeSummary struct {
	Order, Path                   string
	Replaced, Downgraded, Skipped int
	// From and To are the start of the first and the end of the last replacement.
	From, To time.Duration
	// NoLeaderTotal is the total time without a leader; the others are the longest such times.
	NoLeaderTotal, LongestNoLeader, LongestNoTable time.Duration
	// Cut counts the requests cut by planned stops, CutDuringFaults those cut while a fault
	// occurred, Refusals the log lines about refused links.
	Cut, CutDuringFaults, Refusals int
}

// SummarizeUpgrade computes the summary of an upgrade from a history.
func SummarizeUpgrade(h *History) UpgradeSummary {
	u := UpgradeSummary{Order: h.Order, Path: h.Path, Skipped: h.Skipped}
	for _, o := range h.Outages {
		if !o.Kind.Replaces() {
			continue
		}
		if u.Replaced+u.Downgraded == 0 || o.From < u.From {
			u.From = o.From
		}
		u.To = max(u.To, min(o.To, h.Length))
		if o.Kind == Upgrade {
			u.Replaced++
		} else {
			u.Downgraded++
		}
	}
	for _, g := range h.NoLeader {
		u.NoLeaderTotal += g.To - g.From
		u.LongestNoLeader = max(u.LongestNoLeader, g.To-g.From)
	}
	for _, g := range h.NoTable {
		u.LongestNoTable = max(u.LongestNoTable, g.To-g.From)
	}
	for _, c := range h.cuts() {
		if c.duringFault {
			u.CutDuringFaults++
		} else {
			u.Cut++
		}
	}
	for _, r := range h.Refusals {
		u.Refusals += r.Count
	}
	return u
}

// ServedShare returns the share of served requests among those sent in a time span whose callers
// waited, and their number. Requests of the organisation that exceeds its limit, or with an unknown
// API key, are left out: most are refused by intent, and how many depends on the number of gateways
// that accept callers.
func ServedShare(h *History, from, to time.Duration) (share float64, requests int) {
	served := 0
	for _, q := range h.Requests {
		if q.Sent < from || q.Sent > to || q.LeftAt > 0 || q.Organisation == "hot" || q.Organisation == unknownOrganisation {
			continue
		}
		requests++
		if q.Status == http.StatusOK && !q.Cut {
			served++
		}
	}
	return float64(served) / float64(max(requests, 1)), requests
}

// String returns the summary as text.
func (u UpgradeSummary) String() string {
	return fmt.Sprintf("%s, %s: %d replaced, %d back, %d left out; no leader %.2f s in all, %.2f s at the longest; no table %.2f s at the longest; cut %d, beside faults %d; links refused %d",
		u.Order, u.Path, u.Replaced, u.Downgraded, u.Skipped, u.NoLeaderTotal.Seconds(), u.LongestNoLeader.Seconds(), u.LongestNoTable.Seconds(), u.Cut, u.CutDuringFaults, u.Refusals)
}
