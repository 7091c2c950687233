package soak

import (
	"fmt"
	"strings"
	"time"
)

// checkPlannedStop looks at requests under way while a gateway was told to stop, or while any
// process was replaced by the other build: none may be cut unless a fault came beside.
func checkPlannedStop(h *History) []string {
	var out []string
	for _, c := range h.cuts() {
		if !c.duringFault {
			out = append(out, fmt.Sprintf("%s (%s) sent at %v was cut at %v, %s was told to stop at %v (%s)",
				c.request.ID, c.request.Kind, c.request.Sent, c.request.Ended, c.stop.Process, c.stop.From, c.stop.Kind))
		}
	}
	return out
}

// cut is a request that was cut beside a planned stop.
type cutRequest struct {
	request Request
	stop    Outage
	// excused tells that a fault came beside.
	duringFault bool
}

// cuts returns the requests that had reached a server and were cut beside a planned stop.
// One that crosses the close of its connection is sent elsewhere.
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
		// Any gateway's requests may depend on control.
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

// unplanned tells whether a fault came in a span of time.
func (h *History) faultBetween(from, to time.Duration) bool {
	for _, o := range h.Outages {
		if !o.Kind.Planned() && o.From <= to && o.To >= from {
			return true
		}
	}
	return false
}
