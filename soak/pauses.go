package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// SelfReportArrival is a request or call that arrived at a server with self-reports, and what its
// answer reported.
type SelfReportArrival struct {
	Server, ID, Path string
	At               time.Duration
	// Pause is the pause that a refusal requested; zero if there was none or it is unreadable.
	Pause time.Duration
	// Leaving reports whether the answer reports that the server leaves.
	Leaving bool
}

// Documented bounds of the requests that a server receives from a gateway during a pause.
const (
	pauseReactionTime = 500 * time.Millisecond
	maxPauseRequests  = 2
)

// pauseSeconds are the durations of pauses to draw from.
var pauseSeconds = []float64{0.2, 1, 1, 2, 3, 3, 5}

// pausePattern is how a server requests pauses.
type pausePattern int

const (
	// pauseConstant refuses all requests with the same duration.
	pauseConstant pausePattern = iota
	// pauseChanging changes the duration with each refusal.
	pauseChanging
	// pauseSomeAnswers refuses one request in three.
	pauseSomeAnswers
	// pauseMalformed alternates with unreadable durations.
	pauseMalformed
)

var pausePatterns = []pausePattern{pauseConstant, pauseConstant, pauseChanging, pauseSomeAnswers, pauseMalformed}

// pauseSteps draws when servers request pauses and report that they leave, some of them at the same
// time, with a random source of its own.
func pauseSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 13))
	var out []Step
	engines := shape.Prefills + shape.Decodes
	freeAt := map[int]time.Duration{}
	for at := time.Duration(float64(faultFreeStart) * (0.5 + r.Float64())); at < length-faultFreeEnd; at += time.Duration(float64(4*time.Second) * r.Float64()) {
		kind, n := RequestPauses, 1+r.IntN(shape.Apps)
		first := engines + r.IntN(shape.Apps)
		d := time.Duration((0.5 + 4*r.Float64()) * float64(time.Second))
		if r.IntN(3) == 0 {
			first, n = r.IntN(engines), 1
		}
		if r.IntN(4) == 0 {
			kind, n, d = ReportLeaving, 1, drainBound+2*time.Second
		}
		for _, target := range shape.serversFrom(first, n) {
			if at < freeAt[target] {
				continue
			}
			freeAt[target] = at + d + time.Second
			out = append(out, Step{At: at, For: min(d, length-at), Kind: kind, Target: target, Seed: r.Uint64()})
		}
	}
	return out
}

// requestPauses makes a server request pauses for a time.
func (f *faultInjector) requestPauses(ctx context.Context, step Step) {
	b, _ := f.cluster.servers[step.Target].current()
	b.SetSelfReport(pauseAnswers(step.Seed))
	sleep(ctx, step.For)
	b.SetSelfReport(nil)
	f.rec.countDisturbance("asked for pauses")
}

// pauseAnswers returns a function that gives what the answers of a server report.
func pauseAnswers(draw uint64) func(*http.Request) standin.SelfReport {
	r := rand.New(rand.NewPCG(draw, 14))
	pattern := pausePatterns[r.IntN(len(pausePatterns))]
	seconds := pauseSeconds[r.IntN(len(pauseSeconds))]
	bad := [][]string{{""}, {"soon"}, {"-3"}, {"1e9"}, {"3", "4"}, {"NaN"}}
	counter := make(chan int, 1)
	counter <- int(r.Uint32N(1000))
	return func(*http.Request) standin.SelfReport {
		count := <-counter
		counter <- count + 1
		d := seconds
		switch {
		case pattern == pauseSomeAnswers && count%3 != 0:
			return standin.SelfReport{}
		case pattern == pauseMalformed && count%2 == 0:
			return standin.SelfReport{RetryAfter: bad[count/2%len(bad)]}
		case pattern == pauseChanging:
			d = pauseSeconds[count%len(pauseSeconds)]
		}
		return standin.SelfReport{RetryAfter: []string{strconv.FormatFloat(d, 'f', -1, 64)}}
	}
}

// reportLeaving makes a server report in all or some of its answers that it leaves, while its
// heartbeats report that it is ready; then it is replaced.
func (f *faultInjector) reportLeaving(ctx context.Context, step Step) {
	srv := f.cluster.servers[step.Target]
	srv.restartMu.Lock()
	defer srv.restartMu.Unlock()
	b, _ := srv.current()
	some := step.Seed%2 == 0
	b.SetSelfReport(func(r *http.Request) standin.SelfReport {
		if some && len(r.Header.Get(headers.RequestID))%2 == 0 {
			return standin.SelfReport{}
		}
		return standin.ReportLeaving(r)
	})
	sleep(ctx, step.For)
	srv.kill()
	_ = f.cluster.startServer(srv)
	f.rec.countDisturbance("said that it leaves")
}

// newSelfReportArrival converts an arrival for the checks.
func (cl *cluster) newSelfReportArrival(b *standin.Backend, a standin.SelfReportRecord) SelfReportArrival {
	out := SelfReportArrival{Server: b.ID, ID: a.ID, Path: a.Path, At: a.At.Sub(cl.rec.start), Leaving: len(a.Leaving) > 0}
	if len(a.RetryAfter) == 1 && strings.Trim(a.RetryAfter[0], "0123456789.") == "" {
		if seconds, err := strconv.ParseFloat(a.RetryAfter[0], 64); err == nil {
			out.Pause = time.Duration(seconds * float64(time.Second))
		}
	}
	return out
}

// linkKinds are the steps that delay or lose data between a server and gateways.
var linkKinds = []Kind{SilenceLink, SilenceAnswers, ResetLink, DelayLink, KillServer, DuplicateAnswers}

// linkDisturbed reports whether data between a server and gateways was delayed or lost in a time
// span.
func (h *History) linkDisturbed(server string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Process == server && slices.Contains(linkKinds, o.Kind) && o.From <= to && o.To >= from
	})
}

// checkPauses checks that no gateway sends a server more than maxPauseRequests during a pause that
// the server has requested from that gateway, unless the gateway was restarted or paused or the
// link was disturbed.
func checkPauses(h *History) []string {
	gateways := map[string]string{}
	for _, q := range h.Requests {
		gateways[q.ID] = gatewayName(q.Gateway)
	}
	type pair struct{ server, gateway string }
	arrivals := map[pair][]SelfReportArrival{}
	for _, a := range h.Asked {
		if g := gateways[a.ID]; g != "" {
			arrivals[pair{a.Server, g}] = append(arrivals[pair{a.Server, g}], a)
		}
	}
	var out []string
	for p, list := range arrivals {
		if worst, n := worstPause(h, p.server, p.gateway, list); n > maxPauseRequests {
			out = append(out, fmt.Sprintf("%s received %d requests from %s in the pause of %v that it had requested at %v", p.server, n, p.gateway, worst.Pause, worst.At))
		}
	}
	return out
}

// worstPause returns the pause with the most requests and their number.
func worstPause(h *History, server, gateway string, list []SelfReportArrival) (worst SelfReportArrival, count int) {
	for i, a := range list {
		end := a.At + a.Pause
		if a.Pause <= pauseReactionTime || h.disturbed(gateway, end, end-a.At) || h.linkDisturbed(server, a.At-pauseReactionTime, end) {
			continue
		}
		n := 0
		for _, later := range list[i+1:] {
			if later.At > a.At+pauseReactionTime && later.At < end {
				n++
			}
		}
		if n > count {
			worst, count = a, n
		}
	}
	return worst, count
}

// checkReportedLeaving checks that a gateway that has forwarded an answer in which a server reports
// that it leaves sends that server no request more than drainBound later, unless the gateway was
// restarted or paused since.
func checkReportedLeaving(h *History) []string {
	requests := map[string]Request{}
	for _, q := range h.Requests {
		requests[q.ID] = q
	}
	notifiedAt := map[string]time.Duration{} // when each gateway had forwarded such an answer, by server and gateway
	var out []string
	for _, a := range h.Asked {
		q, known := requests[a.ID]
		if !known {
			continue
		}
		key := a.Server + " " + gatewayName(q.Gateway)
		if at, notified := notifiedAt[key]; notified && q.Sent > at+drainBound && !h.disturbed(gatewayName(q.Gateway), a.At, a.At-at) {
			out = append(out, fmt.Sprintf("%s reached %s, which had reported to %s at %v that it leaves", a.ID, a.Server, gatewayName(q.Gateway), at))
		}
		passed := a.Leaving && q.Status != 0 && !q.Cut && q.LeftAt == 0
		if at, notified := notifiedAt[key]; passed && (!notified || q.Ended < at) {
			notifiedAt[key] = q.Ended
		}
	}
	return out
}
