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

// AskedArrival is one request or call that came to a server which had said something of itself, and
// what its answer said.
type SelfReportArrival struct {
	Server, ID, Path string
	At               time.Duration
	// Pause is what a refusal asked for; zero if none, or one that can't be read.
	Pause time.Duration
	// Leaving tells that the answer says that the server leaves.
	Leaving bool
}

// The page's bounds of what a server gets from a gateway in a pause.
const (
	pauseReactionTime = 500 * time.Millisecond
	maxPauseRequests  = 2
)

// pauseSeconds are drawn from.
var pauseSeconds = []float64{0.2, 1, 1, 2, 3, 3, 5}

// pauseManner is how a server asks for pauses.
type pausePattern int

const (
	// pausesAlways turns all requests away, for one time.
	pauseConstant pausePattern = iota
	// pausesChanging asks for another time in each refusal.
	pauseChanging
	// pausesSome turns one request in three away.
	pauseSomeAnswers
	// pausesBadly names times between that can't be read.
	pauseMalformed
)

var pausePatterns = []pausePattern{pauseConstant, pauseConstant, pauseChanging, pauseSomeAnswers, pauseMalformed}

// pauseSteps draws when servers ask for pauses and say that they leave, by a draw of its own: some
// of them together.
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

// askPause has a server ask for pauses for a time.
func (f *faultInjector) requestPauses(ctx context.Context, step Step) {
	b, _ := f.cluster.servers[step.Target].current()
	b.SetSays(pauseAnswers(step.Seed))
	sleep(ctx, step.For)
	b.SetSays(nil)
	f.rec.countTrouble("asked for pauses")
}

// pauseSays returns what the answers of a server say.
func pauseAnswers(draw uint64) func(*http.Request) standin.Says {
	r := rand.New(rand.NewPCG(draw, 14))
	pattern := pausePatterns[r.IntN(len(pausePatterns))]
	seconds := pauseSeconds[r.IntN(len(pauseSeconds))]
	bad := [][]string{{""}, {"soon"}, {"-3"}, {"1e9"}, {"3", "4"}, {"NaN"}}
	counter := make(chan int, 1)
	counter <- int(r.Uint32N(1000))
	return func(*http.Request) standin.Says {
		count := <-counter
		counter <- count + 1
		d := seconds
		switch {
		case pattern == pauseSomeAnswers && count%3 != 0:
			return standin.Says{}
		case pattern == pauseMalformed && count%2 == 0:
			return standin.Says{RetryAfter: bad[count/2%len(bad)]}
		case pattern == pauseChanging:
			d = pauseSeconds[count%len(pauseSeconds)]
		}
		return standin.Says{RetryAfter: []string{strconv.FormatFloat(d, 'f', -1, 64)}}
	}
}

// sayLeaving has a server say in its answers that it leaves, all of them or some, while its
// heartbeats say that it is ready; then it is replaced.
func (f *faultInjector) reportLeaving(ctx context.Context, step Step) {
	srv := f.cluster.servers[step.Target]
	srv.lifeMu.Lock()
	defer srv.lifeMu.Unlock()
	b, _ := srv.current()
	some := step.Seed%2 == 0
	b.SetSays(func(r *http.Request) standin.Says {
		if some && len(r.Header.Get(headers.RequestID))%2 == 0 {
			return standin.Says{}
		}
		return standin.Leaves(r)
	})
	sleep(ctx, step.For)
	srv.kill()
	_ = f.cluster.startServer(srv)
	f.rec.countTrouble("said that it leaves")
}

// askedArrival returns an arrival as it is judged.
func (cl *cluster) newSelfReportArrival(b *standin.Backend, a standin.Asked) SelfReportArrival {
	out := SelfReportArrival{Server: b.ID, ID: a.ID, Path: a.Path, At: a.At.Sub(cl.rec.start), Leaving: len(a.Leaving) > 0}
	if len(a.RetryAfter) == 1 && strings.Trim(a.RetryAfter[0], "0123456789.") == "" {
		if seconds, err := strconv.ParseFloat(a.RetryAfter[0], 64); err == nil {
			out.Pause = time.Duration(seconds * float64(time.Second))
		}
	}
	return out
}

// wayKinds are the steps at a server that hold up, or lose, what passes between it and gateways.
var linkKinds = []Kind{SilenceLink, SilenceAnswers, ResetLink, DelayLink, KillServer, DuplicateAnswers}

// heldUp tells whether what passes between a server and gateways was held up or lost in a time.
func (h *History) linkDisturbed(server string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Process == server && slices.Contains(linkKinds, o.Kind) && o.From <= to && o.To >= from
	})
}

// checkPauses wants no gateway to send a server more than two requests in a pause that the server
// has asked that gateway for, unless the gateway was restarted or paused, or the way was cut.
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
			out = append(out, fmt.Sprintf("%s got %d requests from %s in the %v after %v, for which it had asked to be left alone", p.server, n, p.gateway, worst.Pause, worst.At))
		}
	}
	return out
}

// mostInPause returns the pause in which most came, and how many did.
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

// checkSaidLeaving wants no request that was sent later than drainBound after a gateway has passed on
// an answer of a server that says that it leaves to reach that server from that gateway, unless the
// gateway was restarted or paused since.
func checkReportedLeaving(h *History) []string {
	requests := map[string]Request{}
	for _, q := range h.Requests {
		requests[q.ID] = q
	}
	notifiedAt := map[string]time.Duration{} // when each gateway had passed on such an answer, by server
	var out []string
	for _, a := range h.Asked {
		q, known := requests[a.ID]
		if !known {
			continue
		}
		key := a.Server + " " + gatewayName(q.Gateway)
		if at, notified := notifiedAt[key]; notified && q.Sent > at+drainBound && !h.disturbed(gatewayName(q.Gateway), a.At, a.At-at) {
			out = append(out, fmt.Sprintf("%s reached %s, which had said to %s at %v that it leaves", a.ID, a.Server, gatewayName(q.Gateway), at))
		}
		passed := a.Leaving && q.Status != 0 && !q.Cut && q.LeftAt == 0
		if at, notified := notifiedAt[key]; passed && (!notified || q.Ended < at) {
			notifiedAt[key] = q.Ended
		}
	}
	return out
}
