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
	pauseHeed  = 500 * time.Millisecond
	mostPaused = 2
)

// pauseSeconds are drawn from.
var pauseSeconds = []float64{0.2, 1, 1, 2, 3, 3, 5}

// pauseManner is how a server asks for pauses.
type pauseManner int

const (
	// pausesAlways turns all requests away, for one time.
	pausesAlways pauseManner = iota
	// pausesChanging asks for another time in each refusal.
	pausesChanging
	// pausesSome turns one request in three away.
	pausesSome
	// pausesBadly names times between that can't be read.
	pausesBadly
)

var pauseManners = []pauseManner{pausesAlways, pausesAlways, pausesChanging, pausesSome, pausesBadly}

// pauseSteps draws when servers ask for pauses and say that they leave, by a draw of its own: some
// of them together.
func pauseSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 13))
	var out []Step
	engines := shape.Prefills + shape.Decodes
	free := map[int]time.Duration{}
	for at := time.Duration(float64(calmStart) * (0.5 + r.Float64())); at < length-calmEnd; at += time.Duration(float64(4*time.Second) * r.Float64()) {
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
			if at < free[target] {
				continue
			}
			free[target] = at + d + time.Second
			out = append(out, Step{At: at, For: min(d, length-at), Kind: kind, Target: target, Seed: r.Uint64()})
		}
	}
	return out
}

// askPause has a server ask for pauses for a time.
func (f *faults) askPause(ctx context.Context, step Step) {
	b, _ := f.site.servers[step.Target].now()
	b.SetSays(pauseSays(step.Seed))
	sleep(ctx, step.For)
	b.SetSays(nil)
	f.rec.count("asked for pauses")
}

// pauseSays returns what the answers of a server say.
func pauseSays(draw uint64) func(*http.Request) standin.Says {
	r := rand.New(rand.NewPCG(draw, 14))
	manner := pauseManners[r.IntN(len(pauseManners))]
	seconds := pauseSeconds[r.IntN(len(pauseSeconds))]
	bad := [][]string{{""}, {"soon"}, {"-3"}, {"1e9"}, {"3", "4"}, {"NaN"}}
	n := make(chan int, 1)
	n <- int(r.Uint32N(1000))
	return func(*http.Request) standin.Says {
		count := <-n
		n <- count + 1
		d := seconds
		switch {
		case manner == pausesSome && count%3 != 0:
			return standin.Says{}
		case manner == pausesBadly && count%2 == 0:
			return standin.Says{RetryAfter: bad[count/2%len(bad)]}
		case manner == pausesChanging:
			d = pauseSeconds[count%len(pauseSeconds)]
		}
		return standin.Says{RetryAfter: []string{strconv.FormatFloat(d, 'f', -1, 64)}}
	}
}

// sayLeaving has a server say in its answers that it leaves, all of them or some, while its
// heartbeats say that it is ready; then it is replaced.
func (f *faults) sayLeaving(ctx context.Context, step Step) {
	v := f.site.servers[step.Target]
	v.life.Lock()
	defer v.life.Unlock()
	b, _ := v.now()
	some := step.Seed%2 == 0
	b.SetSays(func(r *http.Request) standin.Says {
		if some && len(r.Header.Get(headers.RequestID))%2 == 0 {
			return standin.Says{}
		}
		return standin.Leaves(r)
	})
	sleep(ctx, step.For)
	v.end()
	_ = f.site.raise(v)
	f.rec.count("said that it leaves")
}

// askedArrival returns an arrival as it is judged.
func (s *site) askedArrival(b *standin.Backend, a standin.Asked) SelfReportArrival {
	out := SelfReportArrival{Server: b.ID, ID: a.ID, Path: a.Path, At: a.At.Sub(s.rec.start), Leaving: len(a.Leaving) > 0}
	if len(a.RetryAfter) == 1 && strings.Trim(a.RetryAfter[0], "0123456789.") == "" {
		if seconds, err := strconv.ParseFloat(a.RetryAfter[0], 64); err == nil {
			out.Pause = time.Duration(seconds * float64(time.Second))
		}
	}
	return out
}

// wayKinds are the steps at a server that hold up, or lose, what passes between it and gateways.
var wayKinds = []Kind{SilenceLink, SilenceAnswers, ResetLink, DelayLink, KillServer, DuplicateAnswers}

// heldUp tells whether what passes between a server and gateways was held up or lost in a time.
func (h *History) heldUp(server string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Process == server && slices.Contains(wayKinds, o.Kind) && o.From <= to && o.To >= from
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
	came := map[pair][]SelfReportArrival{}
	for _, a := range h.Asked {
		if g := gateways[a.ID]; g != "" {
			came[pair{a.Server, g}] = append(came[pair{a.Server, g}], a)
		}
	}
	var out []string
	for p, list := range came {
		if worst, n := mostInPause(h, p.server, p.gateway, list); n > mostPaused {
			out = append(out, fmt.Sprintf("%s got %d requests from %s in the %v after %v, for which it had asked to be left alone", p.server, n, p.gateway, worst.Pause, worst.At))
		}
	}
	return out
}

// mostInPause returns the pause in which most came, and how many did.
func mostInPause(h *History, server, gateway string, list []SelfReportArrival) (worst SelfReportArrival, most int) {
	for i, a := range list {
		end := a.At + a.Pause
		if a.Pause <= pauseHeed || h.disturbed(gateway, end, end-a.At) || h.heldUp(server, a.At-pauseHeed, end) {
			continue
		}
		n := 0
		for _, later := range list[i+1:] {
			if later.At > a.At+pauseHeed && later.At < end {
				n++
			}
		}
		if n > most {
			worst, most = a, n
		}
	}
	return worst, most
}

// checkSaidLeaving wants no request that was sent later than drainBound after a gateway has passed on
// an answer of a server that says that it leaves to reach that server from that gateway, unless the
// gateway was restarted or paused since.
func checkSaidLeaving(h *History) []string {
	requests := map[string]Request{}
	for _, q := range h.Requests {
		requests[q.ID] = q
	}
	told := map[string]time.Duration{} // when each gateway had passed on such an answer, by server
	var out []string
	for _, a := range h.Asked {
		q, known := requests[a.ID]
		if !known {
			continue
		}
		key := a.Server + " " + gatewayName(q.Gateway)
		if at, heard := told[key]; heard && q.Sent > at+drainBound && !h.disturbed(gatewayName(q.Gateway), a.At, a.At-at) {
			out = append(out, fmt.Sprintf("%s reached %s, which had said to %s at %v that it leaves", a.ID, a.Server, gatewayName(q.Gateway), at))
		}
		passed := a.Leaving && q.Status != 0 && !q.Cut && q.LeftAt == 0
		if at, heard := told[key]; passed && (!heard || q.Ended < at) {
			told[key] = q.Ended
		}
	}
	return out
}
