package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// ServerLimit is a limit that a server reported in all its answers during a time.
type ServerLimit struct {
	Server string
	// First is when the server began to report limits.
	First, From, To time.Duration
	// Rate is in requests per second.
	Rate float64
}

// LimitedArrival is a request or call that arrived at a server while that reported limits.
type LimitedArrival struct {
	Server, ID, Path string
	// Sender is the gateway that sent a call without an ID; empty if it is not known.
	Sender string
	// Named reports whether the answer had a limit.
	Named bool
	At    time.Duration
}

// Documented bounds of the requests that a limited server receives. limitReactionTime is a
// gateway's time to apply a limit that it has forwarded.
const (
	limitSettleTime   = 3 * time.Second
	limitWindow       = 4 * time.Second
	limitOvershoot    = 1.5
	limitSlack        = 5
	limitReactionTime = 500 * time.Millisecond
)

// limitRates are the rates to draw from, in requests per second.
var limitRates = []float64{0, 0.2, 1, 1, 2.5, 2.5, 4.1, 20}

// limitPattern is how a server reports its limits.
type limitPattern int

const (
	// limitConstant reports one limit in each answer.
	limitConstant limitPattern = iota
	// limitChanging changes the limit after a while.
	limitChanging
	// limitIntermittent alternates between times with a limit and times without.
	limitIntermittent
	// limitInSomeAnswers reports a limit in some answers only.
	limitInSomeAnswers
	// limitMalformed alternates with unreadable limits.
	limitMalformed
)

// limitPatterns are the patterns to draw from. The checks apply to the first two patterns.
var limitPatterns = []limitPattern{limitConstant, limitConstant, limitConstant, limitChanging, limitChanging, limitIntermittent, limitInSomeAnswers, limitMalformed}

// limitSteps draws when servers report limits, with a random source of its own. Some do so at the
// same time, and for long enough that the checks apply.
func limitSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 9))
	var out []Step
	engines := shape.Prefills + shape.Decodes
	freeAt := map[int]time.Duration{} // when each server reports no limit any more
	for at := time.Duration(float64(faultFreeStart) * (0.5 + r.Float64())); at < length-faultFreeEnd; at += time.Duration(float64(6*time.Second) * r.Float64()) {
		d := limitSettleTime + time.Duration((4+6*r.Float64())*float64(time.Second))
		first, n := engines+r.IntN(shape.Apps), 1+r.IntN(shape.Apps)
		if r.IntN(4) == 0 { // an engine
			first, n = r.IntN(engines), 1
		}
		for _, target := range shape.serversFrom(first, n) {
			if at < freeAt[target] {
				continue
			}
			freeAt[target] = at + d + 2*time.Second // an intermittent pattern ends late
			out = append(out, Step{At: at, For: min(d, length-at), Kind: ReportLimit, Target: target, Seed: r.Uint64()})
		}
	}
	return out
}

// reportLimit makes a server report limits for a time.
func (f *faultInjector) reportLimit(ctx context.Context, step Step) {
	r := rand.New(rand.NewPCG(step.Seed, 10))
	pattern := limitPatterns[r.IntN(len(limitPatterns))]
	b, _ := f.cluster.servers[step.Target].current()
	first, end := f.rec.now(), f.rec.now()+step.For
	for ctx.Err() == nil && f.rec.now() < end {
		rate, d := limitRates[r.IntN(len(limitRates))], end-f.rec.now()
		if pattern == limitChanging || pattern == limitIntermittent {
			d = min(d, time.Duration((0.3+3*r.Float64())*float64(time.Second)))
		}
		from := f.rec.now()
		b.SetLimit(limitValues(pattern, rate, r.Uint64()))
		sleep(ctx, d)
		if pattern == limitConstant || pattern == limitChanging {
			f.rec.update(func(h *History) {
				h.Limits = append(h.Limits, ServerLimit{Server: b.ID, First: first, From: from, To: f.rec.now(), Rate: rate})
			})
		}
		if pattern == limitIntermittent {
			b.SetLimit(noLimit)
			sleep(ctx, time.Duration((0.2+r.Float64())*float64(time.Second)))
		}
	}
	b.SetLimit(noLimit)
	f.rec.countDisturbance("named limit")
}

func noLimit() []string { return nil }

// limitValues returns a function that gives the limits in the answers of a server.
func limitValues(pattern limitPattern, rate float64, draw uint64) func() []string {
	text := strconv.FormatFloat(rate, 'f', -1, 64)
	bad := [][]string{{""}, {"many"}, {"-1"}, {"1e400"}, {text, text + "1"}, {"Inf"}}
	n := draw % 1000
	return func() []string {
		n++
		switch {
		case pattern == limitInSomeAnswers && n%3 == 0:
			return nil
		case pattern == limitMalformed && n%2 == 0:
			return bad[n/2%uint64(len(bad))]
		}
		return []string{text}
	}
}

// checkServerLimits checks that no server receives more than its limit from the gateways that have
// forwarded an answer with the limit and were neither restarted nor paused since. Calls of the
// gateways themselves count too, from the first one on if their gateway is not known; calls of
// control are reports and orders.
func checkServerLimits(h *History) []string {
	gateways := map[string]string{}
	for _, q := range h.Requests {
		gateways[q.ID] = gatewayName(q.Gateway)
	}
	arrivals := map[string][]time.Duration{}
	notifiedAt := map[string]map[string]time.Duration{} // by server and gateway
	for _, a := range h.Limited {
		g := gateways[a.ID]
		if a.ID == "" {
			g = a.Sender
		}
		if a.Path == "/-/report" || a.Path == "/-/order" {
			continue
		}
		if notifiedAt[a.Server] == nil || !a.Named { // it reports no limit any more
			notifiedAt[a.Server] = map[string]time.Duration{}
		}
		at, notified := notifiedAt[a.Server][g]
		if a.Named && !notified {
			notifiedAt[a.Server][g] = a.At
		}
		unknown := a.ID == "" && g == ""
		if unknown || notified && a.At >= at+limitReactionTime && !h.disturbed(g, a.At, undisturbedTime) {
			arrivals[a.Server] = append(arrivals[a.Server], a.At)
		}
	}
	var out []string
	for server, list := range arrivals {
		for i, to := range list {
			allowed, applies := h.allowedRequests(server, to)
			if !applies {
				continue
			}
			if n := countWithin(list[:i+1], to-limitWindow, to+1); float64(n) > allowed {
				out = append(out, fmt.Sprintf("%s received %d requests in the %v before %v from gateways that had received its limit, allowed %.1f", server, n, limitWindow, to, allowed))
				break
			}
		}
	}
	return out
}

// allowedRequests returns how many requests a server may have received in the window that ends at a
// time. It returns false unless the server reported limits during the whole window, or since it
// began to, and began at least limitSettleTime before the window's end.
func (h *History) allowedRequests(server string, to time.Duration) (float64, bool) {
	from, rate := to-limitWindow, -1.0
	first := time.Duration(-1)
	var reported time.Duration
	for _, l := range h.Limits {
		if l.Server != server || l.To <= max(from, l.First) || l.From > to {
			continue
		}
		if first = l.First; to >= l.From {
			rate = max(rate, l.Rate)
			reported += min(l.To, to) - max(l.From, from, l.First)
		}
	}
	const gap = 50 * time.Millisecond // between the end of a limit and the start of the next one
	continuous := reported+gap >= to-max(from, first)
	if first < 0 || !continuous || to < first+limitSettleTime {
		return 0, false
	}
	return limitOvershoot*rate*limitWindow.Seconds() + limitSlack, true
}
