package soak

import (
	"fmt"
	"net/http"
	"time"
)

// UpgradeSummary says what an upgrade, or the faults without one, did to a run.
type UpgradeSummary struct {
	Order, Path                   string
	Replaced, Downgraded, Skipped int
	// From and To are the begin of the first replacement and the end of the last one.
	From, To time.Duration
	// NoLeader is the time without a leader in all; the others are the longest ones.
	NoLeaderTotal, LongestNoLeader, LongestNoTable time.Duration
	// Cut counts the requests that planned stops cut, CutBesideFaults those that were cut
	// while a fault came beside, Refusals the lines about refused links.
	Cut, CutDuringFaults, Refusals int
}

// SummarizeUpgrade takes the figures of an upgrade from a history.
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

// Share is the part of the requests sent in a span of time that were served, of those whose
// callers waited; and their number. Those of an organisation that asks for more than its limit
// or has no key are left out: most are refused by intent, and how many depends on how many
// gateways take callers.
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

// String describes the figures for people.
func (u UpgradeSummary) String() string {
	return fmt.Sprintf("%s, %s: %d replaced, %d back, %d left out; no leader %.2f s in all, %.2f s at the longest; no table %.2f s at the longest; cut %d, beside faults %d; links refused %d",
		u.Order, u.Path, u.Replaced, u.Downgraded, u.Skipped, u.NoLeaderTotal.Seconds(), u.LongestNoLeader.Seconds(), u.LongestNoTable.Seconds(), u.Cut, u.CutDuringFaults, u.Refusals)
}
