package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// Parts of prompts that crash each engine which begins to generate on them, in requests that have
// nothing else in common.
const (
	// poisonPartShare is the share of runs with such parts.
	poisonPartShare = 0.5
	// maxPoisonParts is the maximum number of them in a run.
	maxPoisonParts = 2
	// poisonPartPrefix begins their IDs.
	poisonPartPrefix = "poison-"
	// partCrashDelay is how long an engine runs before it crashes.
	partCrashDelay = 60 * time.Millisecond
	// middleParts is the number of parts that come in the middle of prompts.
	middleParts = 4
	// firstPart is the first part of all sound prompts.
	firstPart = "first"
)

// Bounds for each such part.
const (
	// maxPartCrashes is the number of engines that a part may crash before it must be recognised, and
	// maxPartLater how often it may reach an engine later than undisturbedTime after that.
	maxPartCrashes = 5
	maxPartLater   = 3
	// minUnrefusedShare is the share of sound streams that must not be refused for their parts.
	minUnrefusedShare = 0.9
)

// poisonPart is a part that crashes engines.
type poisonPart struct {
	id       string
	from     time.Duration
	interval time.Duration
	// ownFirst is set if its first part comes with it only, alone if it has no other part.
	ownFirst, alone bool
}

// drawPoisonParts draws the parts of a run, with a random source of its own.
func drawPoisonParts(seed uint64, length time.Duration) []poisonPart {
	r := rand.New(rand.NewPCG(seed, 23))
	if r.Float64() >= poisonPartShare {
		return nil
	}
	var out []poisonPart
	for n := range 1 + r.IntN(maxPoisonParts) {
		out = append(out, poisonPart{
			id: fmt.Sprint(poisonPartPrefix, n), from: faultFreeStart + time.Duration(r.Float64()*float64(length)/4),
			interval: time.Duration(200+r.IntN(500)) * time.Millisecond, ownFirst: r.IntN(3) == 0, alone: r.IntN(4) == 0,
		})
	}
	return out
}

// promptOf returns the parts of a sound request to an engine, without the last one.
func promptOf(q *Request) []string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, q.Content)
	return []string{firstPart, fmt.Sprint("middle-", h.Sum32()%middleParts)}
}

// partsField returns the header field for the parts of a prompt, of which the last is the caller's own.
func partsField(parts []string, own string) string {
	var out strings.Builder
	for _, id := range parts {
		fmt.Fprintf(&out, "%s:100,", id)
	}
	return out.String() + "own-" + own + ":100"
}

// sendPoisonParts sends requests with a part that crashes engines, no two alike, through any gateway
// until the context ends.
func (l *load) sendPoisonParts(ctx context.Context, p poisonPart, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 24))
	sleep(ctx, p.from)
	for n := 0; ctx.Err() == nil; n++ {
		middle := fmt.Sprint("middle-", r.IntN(middleParts))
		parts := []string{firstPart, middle, p.id}
		switch {
		case p.alone:
			parts = []string{p.id}
		case p.ownFirst:
			parts = []string{"first of " + p.id, p.id, middle}
		}
		id := fmt.Sprintf("%s-request-%d", p.id, n)
		q := Request{ID: id, Kind: Review, Gateway: r.IntN(l.cluster.shape.Gateways), Organisation: "one", Content: "review " + id + " " + l.textMarker, Parts: parts}
		if !l.excluded[q.Gateway].Load() {
			l.wg.Go(func() {
				l.send(&q, false, 0)
				l.rec.update(func(h *History) { h.Requests = append(h.Requests, q) })
			})
		}
		sleep(ctx, p.interval)
	}
}

// crashOnPoisonParts makes an engine crash under poisonous parts.
func (cl *cluster) crashOnPoisonParts(srv *server, b *standin.Backend) {
	poisonous := func(id string) bool { return strings.HasPrefix(id, poisonPartPrefix) }
	b.SetPoisonParts(poisonous, partCrashDelay, func() {
		cl.rec.update(func(h *History) {
			at := cl.rec.now()
			h.Outages = append(h.Outages, Outage{Step: Step{At: at, Kind: KillServer}, Process: b.ID, From: at, To: at + crashRestartDelay})
		})
		cl.restartCrashed(srv, b)
	})
}

// checkPoisonParts checks that a part which crashes engines is no longer sent to them once it has
// crashed some, by gateways that were not disturbed, and that sound requests with its other parts are
// not refused for them.
func checkPoisonParts(h *History) []string {
	gateways := map[string]int{}
	for _, q := range h.Requests {
		gateways[q.ID] = q.Gateway
	}
	ran := map[string][]Arrival{}
	for _, a := range h.Arrivals {
		if !a.Ran {
			continue
		}
		for _, id := range standin.PartsOf(a.Header.Get(headers.PromptParts)) {
			if strings.HasPrefix(id, poisonPartPrefix) {
				ran[id] = append(ran[id], a)
			}
		}
	}
	var out []string
	for id, list := range ran {
		slices.SortFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
		if len(list) <= maxPartCrashes {
			continue
		}
		later := 0
		for _, a := range list[maxPartCrashes:] {
			if a.At > list[maxPartCrashes-1].At+undisturbedTime && !h.disturbed(gatewayName(gateways[a.ID]), a.At, undisturbedTime) {
				later++
			}
		}
		if later > maxPartLater {
			out = append(out, fmt.Sprintf("%s crashed %d engines, %d of them later than %v after the fifth", id, len(list), later, undisturbedTime))
		}
	}
	sound, refused := 0, 0
	for _, q := range h.Requests {
		if !q.Kind.isStream() || strings.HasPrefix(q.ID, poisonPartPrefix) {
			continue
		}
		sound++
		if q.Status == http.StatusServiceUnavailable && strings.Contains(q.Body, "a part of its prompt") {
			refused++
		}
	}
	if float64(refused) > (1-minUnrefusedShare)*float64(sound) {
		out = append(out, fmt.Sprintf("%d of %d sound streams were refused for their parts", refused, sound))
	}
	return out
}
