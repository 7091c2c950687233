package soak

import (
	"fmt"
	"slices"
	"time"
)

// What a plain server bears for a while after it was started again, by the table, and how what it
// gets is judged, by the settings of control.
const (
	coldTime      = 3 * time.Second
	coldRate      = 4.0
	coldOvershoot = 1.5
	coldSlack     = 5
)

// coldSettings tell how what cold servers get is judged, as checkCold does.
var coldSettings = fmt.Sprintf("  cold: {overshoot: %g, slack: %d}\n", coldOvershoot, coldSlack)

// ColdSpan is a time in which a server was cold, and had said so from its first report on.
type ColdSpan struct {
	Server   string
	From, To time.Duration
}

// chill has a server be cold for a while that has just started again.
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

// coldLeft returns for how much longer a server is cold, in milliseconds.
func (srv *server) coldRemaining() int64 {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return max(time.Until(srv.coldUntil).Milliseconds(), 0)
}

// checkCold wants no cold server to get more in any second than it bears, from all gateways
// together, unless its link held something up.
func checkCold(h *History) []string {
	var out []string
	const most = int(coldRate*coldOvershoot) + coldSlack
	for _, c := range h.Cold {
		var at []time.Duration
		for _, a := range h.Arrivals {
			if a.Server == c.Server && a.At >= c.From && a.At < c.To {
				at = append(at, a.At)
			}
		}
		slices.Sort(at)
		for i := most; i < len(at); i++ {
			if at[i]-at[i-most] >= time.Second || h.disturbed(c.Server, at[i], 2*time.Second) {
				continue
			}
			out = append(out, fmt.Sprintf("%s got %d requests between %v and %v, while it was cold", c.Server, most+1, at[i-most], at[i]))
			break
		}
	}
	return out
}
