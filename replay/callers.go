package replay

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// arrive submits the new requests of this step and the retries that are due.
func (s *simulation) arrive() {
	rate := s.pattern.rate(s.elapsed())
	extra := s.pattern.extraShare(s.elapsed()) * rate
	for s.dueArrivals += (rate + extra) * step.Seconds(); s.dueArrivals >= 1; s.dueArrivals-- {
		s.result.Callers++
		r := &request{firstTryAt: s.now, answer: s.drawTokens(s.pattern.Answer, s.pattern.Spread)}
		r.organisation = s.drawOrganisation(extra / (rate + extra))
		if len(s.pattern.Kinds) > 1 { // a single kind draws no number, so that older results stay
			r.kind = s.drawKind()
		}
		s.result.addCaller(r)
		estimate := float64(r.answer) * math.Exp(s.pattern.Hint*s.rng.NormFloat64())
		r.work = dispatch.Work{Service: service, Prompt: s.drawTokens(s.pattern.Prompt, s.pattern.Spread/2), Expected: max(int(hintMargin*estimate), 1)}
		r.work.Urgency = (*route.Organisation)(nil).UrgencyFor(&route.Route{Priority: s.kind(r).Priority})
		r.class = demand.Key{Service: service, Urgency: r.work.Urgency}
		s.submit(r)
	}
	pending := s.retries[:0]
	for _, r := range s.retries {
		if r.waitUntil.After(s.now) {
			pending = append(pending, r)
		} else {
			s.submit(r)
		}
	}
	s.retries = pending
}

// drawOrganisation draws the organisation of a request. extra is the share of requests that the
// hot organisation sends beyond its usual load.
func (s *simulation) drawOrganisation(extra float64) int {
	if s.pattern.Organisations == 0 || s.rng.Float64() < extra {
		return 0
	}
	return s.rng.IntN(s.pattern.Organisations)
}

// drawKind draws the kind of a request.
func (s *simulation) drawKind() int {
	draw := s.rng.Float64()
	for i, k := range s.pattern.Kinds {
		if draw < k.Share {
			return i
		}
		draw -= k.Share
	}
	return len(s.pattern.Kinds) - 1
}

// kind returns the kind of a request.
func (s *simulation) kind(r *request) Kind { return s.pattern.Kinds[r.kind] }

// drawTokens draws a number of tokens from a log-normal distribution with a mean and a standard
// deviation of the logarithm.
func (s *simulation) drawTokens(mean int, spread float64) int {
	return max(int(float64(mean)*math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)), 1)
}

// submit sends a request to a random gateway, which queues it, or places it by the policy of the
// options.
func (s *simulation) submit(r *request) {
	r.tries++
	r.arrived = s.now
	r.gateway = s.gateways[s.rng.IntN(len(s.gateways))]
	if s.options.Policy != nil {
		s.placeByPolicy(r)
		return
	}
	g := r.gateway
	g.arrivals.Add(s.now, r.class, r.work.Prompt, r.work.FinalTokens())
	if r.work.Urgency = r.class.Urgency; len(s.pattern.Kinds) > 1 && !s.options.NoPromotion {
		r.work, _ = g.fleet.Promote(r.work, s.promotionRNG.Float64())
	}
	timeout := g.fleet.QueueTimeout(s.now, r.work, s.kind(r).Target, g.queue.CountAhead(r.work), g.times)
	if s.options.QueueTimeout != nil {
		timeout = s.options.QueueTimeout(s.kind(r).Target)
	}
	r.waitUntil = s.now.Add(timeout)
	r.queued = &dispatch.QueuedRequest{Work: r.work, Engine: s.engineRoute, Avoid: dispatch.Avoid{}, Until: r.waitUntil}
	if s.pattern.Organisations > 0 {
		name := strconv.Itoa(r.organisation)
		s.shares.Add(s.now, name, float64(r.work.Prompt+r.work.Expected))
		r.queued.Work.OverShare = !s.options.NoFairShare && s.shares.Exceeds(s.now, name)
	}
	g.queue.Add(r.queued)
	g.requests = append(g.requests, r)
}

// serveQueue places queued requests of a gateway. A request that its decode engine has no memory
// for is queued again and avoids that engine.
func (s *simulation) serveQueue(g *gateway) {
	if len(g.requests) == 0 {
		return
	}
	var requeued []*request
	g.fleet.ServeQueue(s.now, &g.queue, func(w *dispatch.QueuedRequest, pair dispatch.Pair) {
		i := slices.IndexFunc(g.requests, func(r *request) bool { return r.queued == w })
		r := g.requests[i]
		g.requests = slices.Delete(g.requests, i, i+1)
		r.pair, r.placedAt, r.reserved = pair, s.now, w.Work
		e := s.engines[pair.Decode.ID]
		if e.down || e.id != pair.Decode.ID {
			g.fleet.NoteOutcome(s.now, pair.Decode.ID, dispatch.Unreachable, 0)
		}
		if !e.reserve(r) {
			g.fleet.Release(pair.Decode.ID, r.reserved)
			g.fleet.EndPrefill(pair.PrefillServer().ID, r.reserved)
			w.Avoid[pair.Decode.ID] = true
			requeued = append(requeued, r)
			return
		}
		s.engines[pair.PrefillServer().ID].addPrompt(r)
	})
	for _, r := range requeued {
		g.queue.Add(r.queued)
		g.requests = append(g.requests, r)
	}
}

// placeByPolicy places a request by the policy of the options. Such a policy ignores memory, so an
// engine without free memory refuses the request.
func (s *simulation) placeByPolicy(r *request) {
	prefill, decode := make([]int, len(s.prefill)), make([]int, len(s.decode))
	for i, e := range s.prefill {
		prefill[i] = len(e.prompts)
	}
	for i, e := range s.decode {
		decode[i] = len(e.runs) + len(e.reserved)
	}
	p, d := s.options.Policy(s.rng, prefill, decode)
	if !s.decode[d].reserve(r) {
		s.refuse(r)
		return
	}
	fleet := r.gateway.fleet
	r.pair = dispatch.Pair{Prefill: fleet.Get(s.prefill[p].id), Decode: fleet.Get(s.decode[d].id)}
	r.placedAt, r.reserved = s.now, r.work
	fleet.Reserve(r.pair.Decode.ID, r.reserved)
	fleet.StartPrefill(r.pair.PrefillServer().ID, r.reserved)
	s.prefill[p].addPrompt(r)
}

// expireQueued refuses the requests whose queue timeout has passed.
func (s *simulation) expireQueued(g *gateway) {
	kept := g.requests[:0]
	for _, r := range g.requests {
		if s.now.Before(r.waitUntil) {
			kept = append(kept, r)
			continue
		}
		g.queue.Remove(r.queued)
		s.result.totalRefusedWait += s.now.Sub(r.arrived)
		s.refuse(r)
	}
	g.requests = kept
}

// maxTries is the number of times that a caller sends a request.
const maxTries = 2

// refuse refuses a request. Its caller retries once after the stated time, unless its deadline
// passes before.
func (s *simulation) refuse(r *request) {
	s.result.Refused++
	r.waitUntil = s.now.Add(s.retryAfter(r))
	if r.tries >= maxTries || r.waitUntil.After(r.firstTryAt.Add(s.pattern.Deadline)) {
		return
	}
	s.retries = append(s.retries, r)
}

// retryAfter returns the time after which a refused caller is told to retry.
func (s *simulation) retryAfter(r *request) time.Duration {
	g, draw := r.gateway, s.rng.Float64()
	if s.options.RandomRetries || len(s.pattern.Kinds) == 1 {
		return dispatch.RetryAfter(g.times.Total, 0, draw)
	}
	work := r.work
	work.Urgency = r.class.Urgency
	rejected := dispatch.Rejected{Work: work, Within: s.kind(r).Target - s.now.Sub(r.firstTryAt)}
	after, _ := g.fleet.RetryTime(s.now, rejected, g.times, s.ownDemand(g), &g.trend, draw)
	g.promises.Add(s.now, r.class, after)
	return after
}
