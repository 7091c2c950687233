package replay

import (
	"math"
	"slices"
	"strconv"

	"github.com/ledgepin/ledgepin/dispatch"
)

// arrive takes new callers, and those who come back.
func (x *play) arrive() {
	rate := x.p.rate(x.at())
	extra := x.p.hot(x.at()) * rate
	for x.due += (rate + extra) * step.Seconds(); x.due >= 1; x.due-- {
		x.out.Callers++
		r := &request{first: x.now, answer: x.draw(x.p.Answer, x.p.Spread)}
		r.organisation = x.organisation(extra / (rate + extra))
		x.out.ask(r)
		guess := float64(r.answer) * math.Exp(x.p.Hint*x.rng.NormFloat64())
		r.work = dispatch.Work{Service: service, Prompt: x.draw(x.p.Prompt, x.p.Spread/2), Expected: max(int(hintMargin*guess), 1)}
		x.take(r)
	}
	back := x.returns[:0]
	for _, r := range x.returns {
		if r.until.After(x.now) {
			back = append(back, r)
		} else {
			x.take(r)
		}
	}
	x.returns = back
}

// organisation draws whose request comes; extra is the share of those that the hot one sends
// beyond its usual.
func (x *play) organisation(extra float64) int {
	if x.p.Organisations == 0 || x.rng.Float64() < extra {
		return 0
	}
	return x.rng.IntN(x.p.Organisations)
}

// draw returns a number of tokens, spread evenly on a logarithmic scale around a mean.
func (x *play) draw(mean int, spread float64) int {
	return max(int(float64(mean)*math.Exp(spread*x.rng.NormFloat64()-spread*spread/2)), 1)
}

// take brings a request to a gateway.
func (x *play) take(r *request) {
	r.tries++
	r.arrived = x.now
	r.gateway = x.gateways[x.rng.IntN(len(x.gateways))]
	if x.o.Policy != nil {
		x.placeBy(r)
		return
	}
	g := r.gateway
	patience := g.view.QueueTimeout(x.now, r.work, x.p.Target, g.queue.Len(), g.times)
	if x.o.QueueTimeout != nil {
		patience = x.o.QueueTimeout(x.p.Target)
	}
	r.until = x.now.Add(patience)
	r.waiting = &dispatch.QueuedRequest{Work: r.work, Engine: x.route, Avoid: dispatch.Avoid{}}
	if x.p.Organisations > 0 {
		name := strconv.Itoa(r.organisation)
		x.shares.Add(x.now, name, float64(r.work.Prompt+r.work.Expected))
		r.waiting.Work.OverShare = !x.o.NoFairShare && x.shares.Exceeds(x.now, name)
	}
	g.queue.Add(r.waiting)
	g.waiting = append(g.waiting, r)
}

// serve places what waits at a gateway.
func (x *play) serve(g *gateway) {
	if len(g.waiting) == 0 {
		return
	}
	var again []*request
	g.view.ServeQueue(x.now, &g.queue, func(w *dispatch.QueuedRequest, pair dispatch.Pair) {
		i := slices.IndexFunc(g.waiting, func(r *request) bool { return r.waiting == w })
		r := g.waiting[i]
		g.waiting = slices.Delete(g.waiting, i, i+1)
		r.pair, r.placedAt, r.booked = pair, x.now, w.Work
		if !x.byID[pair.Decode.ID].hold(r) {
			g.view.Release(pair.Decode.ID, r.booked)
			g.view.EndPrefill(pair.PrefillServer().ID, r.booked)
			w.Avoid[pair.Decode.ID] = true
			again = append(again, r)
			return
		}
		x.byID[pair.PrefillServer().ID].read(r)
	})
	for _, r := range again {
		g.queue.Add(r.waiting)
		g.waiting = append(g.waiting, r)
	}
}

// placeBy places a request by a simple policy, which looks at no memory: an engine
// without room refuses it.
func (x *play) placeBy(r *request) {
	prefill, decode := make([]int, len(x.prefill)), make([]int, len(x.decode))
	for i, e := range x.prefill {
		prefill[i] = len(e.reads)
	}
	for i, e := range x.decode {
		decode[i] = len(e.runs) + len(e.held)
	}
	p, d := x.o.Policy(x.rng, prefill, decode)
	if !x.decode[d].hold(r) {
		x.refuse(r)
		return
	}
	view := r.gateway.view
	r.pair = dispatch.Pair{Prefill: view.Get(x.prefill[p].id), Decode: view.Get(x.decode[d].id)}
	r.placedAt, r.booked = x.now, r.work
	view.Reserve(r.pair.Decode.ID, r.booked)
	view.StartPrefill(r.pair.PrefillServer().ID, r.booked)
	x.prefill[p].read(r)
}

// giveUp refuses what has waited for as long as it may.
func (x *play) giveUp(g *gateway) {
	rest := g.waiting[:0]
	for _, r := range g.waiting {
		if x.now.Before(r.until) {
			rest = append(rest, r)
			continue
		}
		g.queue.Remove(r.waiting)
		x.out.held += x.now.Sub(r.arrived)
		x.refuse(r)
	}
	g.waiting = rest
}

// mostTries is the number of times that a caller asks.
const mostTries = 2

// refuse sends a caller away, who comes back once as told.
func (x *play) refuse(r *request) {
	x.out.Refused++
	r.until = x.now.Add(dispatch.RetryAfter(r.gateway.times.Total, 0, x.rng.Float64()))
	if r.tries >= mostTries || r.until.After(r.first.Add(x.p.Deadline)) {
		return
	}
	x.returns = append(x.returns, r)
}
