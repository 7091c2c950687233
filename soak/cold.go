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
func (s *site) chill(v *server, id string) {
	if v.service != appService || !s.started.Load() {
		return
	}
	now := time.Now()
	v.mu.Lock()
	v.coldUntil = now.Add(coldTime)
	v.mu.Unlock()
	from := now.Sub(s.rec.start)
	s.rec.add(func(h *History) { h.Cold = append(h.Cold, ColdSpan{Server: id, From: from, To: from + coldTime}) })
}

// coldLeft returns for how much longer a server is cold, in milliseconds.
func (v *server) coldLeft() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(time.Until(v.coldUntil).Milliseconds(), 0)
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
