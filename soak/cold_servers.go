package soak

import (
	"fmt"
	"slices"
	"time"
)

// coldTime is how long a plain server is cold after a restart, and coldRate the number of requests
// per second that it can serve then, as the table states them. coldOvershoot and coldSlack bound
// the requests that it may receive, as the settings of control state them.
const (
	coldTime      = 3 * time.Second
	coldRate      = 4.0
	coldOvershoot = 1.5
	coldSlack     = 5
)

// coldSettings are the settings by which control limits the requests to cold servers, with the
// bounds that checkCold uses.
var coldSettings = fmt.Sprintf("  cold: {overshoot: %g, slack: %d}\n", coldOvershoot, coldSlack)

// ColdSpan is a time in which a server was cold and had reported it since its first report.
type ColdSpan struct {
	Server   string
	From, To time.Duration
}

// markCold makes a server that has just restarted cold for a time.
func (cl *cluster) markCold(srv *server, id string) {
	if srv.service != appService || !cl.marksCold.Load() {
		return
	}
	now := time.Now()
	srv.mu.Lock()
	srv.coldUntil = now.Add(coldTime)
	srv.mu.Unlock()
	from := now.Sub(cl.rec.start)
	cl.rec.update(func(h *History) { h.Cold = append(h.Cold, ColdSpan{Server: id, From: from, To: from + coldTime}) })
}

// coldRemaining returns the remaining time, in milliseconds, for which a server is cold.
func (s *server) coldRemaining() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.coldUntil).Milliseconds(), 0)
}

// checkCold checks that no cold server receives more requests in any second than it can serve,
// from all gateways together, unless its link was disturbed.
func checkCold(h *History) []string {
	var out []string
	const maxRequests = int(coldRate*coldOvershoot) + coldSlack
	for _, c := range h.Cold {
		var at []time.Duration
		for _, a := range h.Arrivals {
			if a.Server == c.Server && a.At >= c.From && a.At < c.To {
				at = append(at, a.At)
			}
		}
		slices.Sort(at)
		for i := maxRequests; i < len(at); i++ {
			if at[i]-at[i-maxRequests] >= time.Second || h.disturbed(c.Server, at[i], 2*time.Second) {
				continue
			}
			out = append(out, fmt.Sprintf("%s received %d requests between %v and %v, while it was cold", c.Server, maxRequests+1, at[i-maxRequests], at[i]))
			break
		}
	}
	return out
}
