package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Requests of different urgency are sent in pairs, one of each kind to the same gateway at the same
// time, so that faults affect both kinds alike.
const (
	// pairsPerSecond is the usual rate of pairs, burstPairsPerSecond the rate in a burst. The
	// engines of DefaultShape serve about 24 runs per second, and other kinds need most of them.
	pairsPerSecond      = 2
	burstPairsPerSecond = 25
	// urgencyTarget is the time to the first event in the table.
	urgencyTarget = 900 * time.Millisecond
	// urgencyDeviations is the number of standard deviations by which the least urgent kind may
	// be served better, minPairs the number of pairs from which on it must be served at all.
	urgencyDeviations = 3
	minPairs          = 50
	// minServedRatio is the fraction of the served share of all requests to engines that the
	// least urgent kind must have.
	minServedRatio = 0.25
)

// urgencySteps draws bursts of requests of different urgency, with a random source of its own.
func urgencySteps(seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 15))
	var out []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(8*time.Second) * r.Float64()) {
		out = append(out, Step{At: at, Kind: UrgencyBurst, For: time.Duration((0.5 + 2*r.Float64()) * float64(time.Second))})
	}
	return out
}

// sendPairs sends pairs of an urgent and a background request until the context ends.
func (l *load) sendPairs(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 16))
	for n := 0; ; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(time.Second)/float64(l.pairRate.Load())))
		gateway := r.IntN(l.cluster.shape.Gateways)
		kinds := []RequestKind{Urgent, Background}
		r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		if ctx.Err() != nil {
			return
		}
		if l.excluded[gateway].Load() {
			continue
		}
		for _, k := range kinds {
			id := fmt.Sprintf("%s-%d", k, n)
			// The organisation has no priority and no limit, so that the route's priority decides.
			q := Request{ID: id, Kind: k, Gateway: gateway, Organisation: "one", Content: id + " " + l.textMarker}
			l.wg.Go(func() {
				l.send(&q, false, 0)
				l.rec.update(func(h *History) { h.Requests = append(h.Requests, q) })
			})
		}
	}
}

// firstByteReader records when the first byte of an answer is read.
type firstByteReader struct {
	io.Reader
	now   func() time.Duration
	first time.Duration
}

// Read implements io.Reader.
func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if n > 0 && f.first == 0 {
		f.first = f.now()
	}
	return n, err
}

// inTime reports whether the request got a whole answer with the first event within its objective.
func (r *Request) inTime() bool {
	return r.Status == http.StatusOK && !r.Cut && r.FirstByte-r.Sent <= urgencyTarget
}

// checkUrgency checks that urgent requests are answered in time at least as often as background
// requests, within the tolerance for chance, and that background requests are served at all, and a
// quarter as often as all requests to engines within the same tolerance. Only the pairs of which one
// request was answered in time tell the kinds apart.
func checkUrgency(h *History) []string {
	inTime := map[RequestKind]map[string]bool{Urgent: {}, Background: {}}
	pairs, served := 0, 0
	for _, q := range h.Requests {
		if inTime[q.Kind] == nil {
			continue
		}
		if q.inTime() {
			inTime[q.Kind][strings.TrimPrefix(q.ID, string(q.Kind)+"-")] = true
		}
		if q.Kind == Background {
			pairs++
			if q.Status == http.StatusOK && !q.Cut {
				served++
			}
		}
	}
	urgentOnly := countMissing(inTime[Urgent], inTime[Background])
	backgroundOnly := countMissing(inTime[Background], inTime[Urgent])
	var out []string
	if float64(backgroundOnly-urgentOnly) > urgencyDeviations*math.Sqrt(float64(backgroundOnly+urgentOnly)) {
		out = append(out, fmt.Sprintf("of %d pairs, %d had only the background request answered in time, %d only the urgent one", pairs, backgroundOnly, urgentOnly))
	}
	if pairs >= minPairs && served == 0 {
		out = append(out, fmt.Sprintf("none of %d background requests was served", pairs))
	}
	expected := minServedRatio * servedShare(h) * float64(pairs)
	if float64(served) < expected-urgencyDeviations*math.Sqrt(expected) {
		out = append(out, fmt.Sprintf("%d of %d background requests were served, at least %.1f are expected", served, pairs, expected))
	}
	return out
}

// servedShare returns the share of the requests to engines whose answers were complete.
func servedShare(h *History) float64 {
	all, served := 0, 0
	for _, q := range h.Requests {
		if !q.Kind.isStream() {
			continue
		}
		all++
		if q.Status == http.StatusOK && !q.Cut {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// countMissing returns how many elements of a are not in b.
func countMissing(a, b map[string]bool) int {
	n := 0
	for k := range a {
		if !b[k] {
			n++
		}
	}
	return n
}
