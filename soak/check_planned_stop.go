package soak

import (
	"fmt"
	"strings"
	"time"
)

// checkPlannedStop checks that no request is cut while a gateway shuts down or a process is
// replaced by the other build, unless a fault occurs at the same time.
func checkPlannedStop(h *History) []string {
	var out []string
	for _, c := range h.cuts() {
		if !c.duringFault {
			out = append(out, fmt.Sprintf("%s (%s) sent at %v was cut at %v, %s was asked to stop at %v (%s)",
				c.request.ID, c.request.Kind, c.request.Sent, c.request.Ended, c.stop.Process, c.stop.From, c.stop.Kind))
		}
	}
	return out
}

// cutRequest is a request that was cut during a planned stop.
type cutRequest struct {
	request Request
	stop    Outage
	// duringFault reports that a fault occurred at the same time.
	duringFault bool
}

// cuts returns the requests that had reached a server and were cut during a planned stop. A request
// that crosses the close of its connection is sent elsewhere.
func (h *History) cuts() []cutRequest {
	var out []cutRequest
	reached := map[string]bool{}
	for _, a := range h.Arrivals {
		reached[a.ID] = true
	}
	seen := map[string]bool{}
	for _, o := range h.Outages {
		if o.Kind != StopGateway && !o.Kind.Replaces() {
			continue
		}
		// Requests at any gateway may depend on control.
		allGateways := strings.HasPrefix(o.Process, controlPrefix)
		for _, q := range h.Requests {
			if !allGateways && gatewayName(q.Gateway) != o.Process || q.Ended < o.From || q.Sent > o.To || !q.Cut || q.Unconnected || q.LeftAt > 0 {
				continue
			}
			if !reached[q.ID] || seen[q.ID] {
				continue
			}
			seen[q.ID] = true
			out = append(out, cutRequest{q, o, h.faultBetween(q.Sent-undisturbedTime, q.Ended+time.Second)})
		}
	}
	return out
}

// faultBetween reports whether a fault occurred in a time span.
func (h *History) faultBetween(from, to time.Duration) bool {
	for _, o := range h.Outages {
		if !o.Kind.Planned() && o.From <= to && o.To >= from {
			return true
		}
	}
	return false
}
