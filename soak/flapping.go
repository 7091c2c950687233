package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Engines that go down and up: two at a time by turns, each down for a short time.
const (
	flapDown = 300 * time.Millisecond
	flapUp   = 500 * time.Millisecond
)

// flapSteps draws when decode engines go down and up, with a random source of its own.
func flapSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 17))
	var out []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(16*time.Second) * r.Float64()) {
		at += time.Duration(float64(4*time.Second) * r.Float64())
		s := Step{At: at, Kind: FlapEngines, Target: shape.Prefills + r.IntN(shape.Decodes), For: time.Duration((2 + 3*r.Float64()) * float64(time.Second))}
		if s.At < length-faultFreeEnd {
			out = append(out, s)
		}
	}
	return out
}

// flapEngines kills two decode engines by turns and starts them again, so that each has answered
// before it loses all its runs again.
func (f *faultInjector) flapEngines(ctx context.Context, step Step) {
	shape := f.cluster.shape
	targets := []int{step.Target, shape.Prefills + (step.Target-shape.Prefills+1)%shape.Decodes}
	end := f.rec.now() + step.For
	for turn := 0; ctx.Err() == nil && f.rec.now() < end; turn++ {
		f.runStep(ctx, Step{At: f.rec.now(), For: flapDown, Kind: KillServer, Target: targets[turn%len(targets)]})
		sleep(ctx, flapUp)
	}
	f.rec.countDisturbance("flapped")
}

// minLostStreams is the number of lost resumable streams from which on some must complete, and
// minResumedShare their share. In an overload most callers that come back find no capacity.
const (
	minLostStreams  = 10
	minResumedShare = 0.1
)

// checkResumed checks that resumable streams that lose their engine complete: at the gateway, which
// resumes them at another engine, or in a later attempt of their callers. Callers that had
// disconnected and gateways that were disturbed don't count.
func checkResumed(h *History) []string {
	attempts, complete := map[string]Request{}, map[string]bool{}
	for _, q := range h.Requests {
		if q.Kind != Desk {
			continue
		}
		attempts[q.ID] = q
		if n := len(q.Events); n > 0 && eventNumber(q.Events[n-1].ID) == streamEvents && !q.Cut {
			complete[q.Caller] = true
		}
	}
	lost, resumed := 0, 0
	for _, a := range h.Arrivals {
		q, known := attempts[a.ID]
		if !known || !a.Ran || q.Status != http.StatusOK || !h.lostRun(a, q) {
			continue
		}
		lost++
		if complete[q.Caller] {
			resumed++
		}
	}
	if lost < minLostStreams || float64(resumed) >= minResumedShare*float64(lost) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d resumable streams that lost their engine were completed", resumed, lost)}
}

// lostRun reports whether an engine was killed while it ran a request whose caller was still
// connected, to a gateway that was not disturbed.
func (h *History) lostRun(a Arrival, q Request) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		killed := o.Kind == KillServer && o.Process == a.Server && a.At < o.From && (a.Ended == 0 || a.Ended >= o.From)
		return killed && q.Ended >= o.From && q.LeftAt == 0 && !h.disturbed(gatewayName(q.Gateway), o.From, undisturbedTime)
	})
}
