package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// ServerLimit is a limit that a server named in all its answers during a time.
type ServerLimit struct {
	Server string
	// First is when the server began to name limits.
	First, From, To time.Duration
	// Rate is in requests a second.
	Rate float64
}

// LimitedArrival is one request or call that came to a server while that had limits to name.
type LimitedArrival struct {
	Server, ID, Path string
	// Named tells that the answer names a limit.
	Named bool
	At    time.Duration
}

// The page's bounds of what a limited server gets, and a gateway's time to heed what it has
// passed on.
const (
	limitContact   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitHeed      = 500 * time.Millisecond
)

// limitRates are drawn from.
var limitRates = []float64{0, 0.2, 1, 1, 2.5, 2.5, 4.1, 20}

// limitManner is how a server names its limits.
type limitManner int

const (
	// namesAlways names one limit in each answer.
	namesAlways limitManner = iota
	// namesChanging names another limit after a while.
	namesChanging
	// namesAtTimes names a limit for a while, none for a while, and so on.
	namesAtTimes
	// namesInSome names a limit in some answers.
	namesInSome
	// namesBadly names what can't be read between.
	namesBadly
)

// limitManners are drawn from; what servers get is judged under the first two.
var limitManners = []limitManner{namesAlways, namesAlways, namesAlways, namesChanging, namesChanging, namesAtTimes, namesInSome, namesBadly}

// limitSteps draws when servers name limits, by a draw of its own: some of them at the same time,
// and for so long that what they get is judged.
func limitSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 9))
	var out []Step
	apps := shape.Prefills + shape.Decodes
	free := map[int]time.Duration{} // when each server names none any more
	for at := time.Duration(float64(calmStart) * (0.5 + r.Float64())); at < length-calmEnd; at += time.Duration(float64(6*time.Second) * r.Float64()) {
		d := limitContact + time.Duration((4+6*r.Float64())*float64(time.Second))
		first, n := apps+r.IntN(shape.Apps), 1+r.IntN(shape.Apps)
		if r.IntN(4) == 0 { // an engine
			first, n = r.IntN(apps), 1
		}
		for _, target := range shape.serversFrom(first, n) {
			if at < free[target] {
				continue
			}
			free[target] = at + d + 2*time.Second // it ends late if it names none at times
			out = append(out, Step{At: at, For: min(d, length-at), Kind: ReportLimit, Target: target, Seed: r.Uint64()})
		}
	}
	return out
}

// nameLimit has a server name limits for a time.
func (f *faults) nameLimit(ctx context.Context, step Step) {
	r := rand.New(rand.NewPCG(step.Seed, 10))
	manner := limitManners[r.IntN(len(limitManners))]
	b, _ := f.site.servers[step.Target].now()
	first, end := f.rec.now(), f.rec.now()+step.For
	for ctx.Err() == nil && f.rec.now() < end {
		rate, d := limitRates[r.IntN(len(limitRates))], end-f.rec.now()
		if manner == namesChanging || manner == namesAtTimes {
			d = min(d, time.Duration((0.3+3*r.Float64())*float64(time.Second)))
		}
		from := f.rec.now()
		b.SetLimit(limitValues(manner, rate, r.Uint64()))
		sleep(ctx, d)
		if manner == namesAlways || manner == namesChanging {
			f.rec.add(func(h *History) {
				h.Limits = append(h.Limits, ServerLimit{Server: b.ID, First: first, From: from, To: f.rec.now(), Rate: rate})
			})
		}
		if manner == namesAtTimes {
			b.SetLimit(noLimit)
			sleep(ctx, time.Duration((0.2+r.Float64())*float64(time.Second)))
		}
	}
	b.SetLimit(noLimit)
	f.rec.count("named limit")
}

func noLimit() []string { return nil }

// limitValues returns what the answers of a server name.
func limitValues(manner limitManner, rate float64, draw uint64) func() []string {
	text := strconv.FormatFloat(rate, 'f', -1, 64)
	bad := [][]string{{""}, {"many"}, {"-1"}, {"1e400"}, {text, text + "1"}, {"Inf"}}
	n := draw % 1000
	return func() []string {
		n++
		switch {
		case manner == namesInSome && n%3 == 0:
			return nil
		case manner == namesBadly && n%2 == 0:
			return bad[n/2%uint64(len(bad))]
		}
		return []string{text}
	}
}

// checkServerLimits wants no server to get more than it names from the gateways that have passed
// on such an answer, and were neither restarted nor paused since. Calls of a gateway's own count
// too; those of control are reports and orders.
func checkServerLimits(h *History) []string {
	gateways := map[string]string{}
	for _, q := range h.Requests {
		gateways[q.ID] = gatewayName(q.Gateway)
	}
	counted := map[string][]time.Duration{}
	told := map[string]map[string]time.Duration{} // by server and gateway
	for _, a := range h.Limited {
		g := gateways[a.ID]
		if a.Path == "/-/report" || a.Path == "/-/order" {
			continue
		}
		if told[a.Server] == nil || !a.Named { // it names none any more
			told[a.Server] = map[string]time.Duration{}
		}
		at, known := told[a.Server][g]
		if a.Named && !known {
			told[a.Server][g] = a.At
		}
		if a.ID == "" || known && a.At >= at+limitHeed && !h.disturbed(g, a.At, touchTime) {
			counted[a.Server] = append(counted[a.Server], a.At)
		}
	}
	var out []string
	for server, list := range counted {
		for i, to := range list {
			allowed, judged := h.allowedBy(server, to)
			if !judged {
				continue
			}
			if n := within(list[:i+1], to-limitWindow, to+1); float64(n) > allowed {
				out = append(out, fmt.Sprintf("%s got %d requests in the %v before %v from gateways that it had told, allowed %.1f", server, n, limitWindow, to, allowed))
				break
			}
		}
	}
	return out
}

// allowedBy returns the requests that a server may have had in a window that ends at a time, if it
// named limits all the time from limitContact before its end on.
func (h *History) allowedBy(server string, to time.Duration) (float64, bool) {
	from, rate := to-limitWindow, -1.0
	first := time.Duration(-1)
	var named time.Duration
	for _, l := range h.Limits {
		if l.Server != server || l.To <= max(from, l.First) || l.From > to {
			continue
		}
		if first = l.First; to >= l.From {
			rate = max(rate, l.Rate)
			named += min(l.To, to) - max(l.From, from, l.First)
		}
	}
	const gap = 50 * time.Millisecond // between the ends of two limits
	whole := named+gap >= to-max(from, first)
	if first < 0 || !whole || to < first+limitContact {
		return 0, false
	}
	return limitOvershoot*rate*limitWindow.Seconds() + limitSlack, true
}
