package replay

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// Times of the model.
const (
	// step is the time of one step of the play.
	step = 5 * time.Millisecond
	// lag is the time between two tellings of what the other gateways have reserved,
	// as replicas tell it.
	lag = 50 * time.Millisecond
	// handover is the time from a prompt that was read to the first token elsewhere:
	// some round trips and the copy of the KV cache.
	handover = 20 * time.Millisecond
	// heardEvery is the time between two reports of all engines.
	heardEvery  = time.Second
	eventTokens = 64
	// hintMargin is what gateways add to the callers' guesses.
	hintMargin = 1.12
	service    = "llm"
)

// request is one request of a caller, through all of its tries.
type request struct {
	first, arrived time.Time
	answer         int
	// organisation is the number of whose it is; the first is the hot one.
	organisation int
	work         dispatch.Work
	waiting      *dispatch.QueuedRequest
	until        time.Time
	tries        int
	gateway      *gateway
	pair         dispatch.Pair
	placedAt     time.Time
	firstAt      time.Time
	booked       dispatch.Work
}

// gateway is one gateway: its decisions, and the requests that wait there.
type gateway struct {
	view    *dispatch.Fleet
	queue   dispatch.Queue
	times   dispatch.RunTimes
	waiting []*request
}

// Options choose what is played.
type Options struct {
	Seed uint64
	// Policy places requests; nil is that of ledgepin.
	Policy Policy
	// Alone leaves out what gateways tell each other of failures.
	NoFailureSharing bool
	// Unfair has all requests wait in the order in which they came, whoever sends them.
	NoFairShare bool
	// Patience returns how long a request waits for room; nil is that of ledgepin.
	QueueTimeout func(target time.Duration) time.Duration
}

// Policy chooses engines without looking at memory, as simple balancers do. It returns
// the prefill and the decode engine by number.
type Policy func(rng *rand.Rand, prefill, decode []int) (p, d int)

// play is the state of a play.
type play struct {
	p        *Pattern
	o        Options
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	route    *route.Engine
	gateways []*gateway
	prefill  []*engine
	decode   []*engine
	byID     map[string]*engine
	reports  []registry.Server
	// handovers are requests whose prompt has been read, with when their run begins.
	handovers []handed
	// returns are callers that come back, by when.
	returns []*request
	due     float64
	// shares is what organisations use: gateways know it some tens of milliseconds late.
	shares *quota.FairShares
	out    Result
	firsts []time.Duration
}

type handed struct {
	r  *request
	at time.Time
}

// Play plays a pattern.
func Play(p Pattern, o Options) Result {
	start := time.Unix(1_000_000, 0)
	x := &play{
		p: &p, o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), now: start, start: start,
		route: p.engine(), byID: map[string]*engine{},
	}
	x.shares = quota.NewFairShares()
	limits := map[string]quota.Limit{}
	for n := range p.Organisations {
		limits[strconv.Itoa(n)] = quota.Limit{Rate: 1}
	}
	x.shares.SetLimits(limits)
	x.build()
	end := start.Add(p.length() + p.Deadline)
	for ; x.now.Before(end) && (x.at() < p.length() || x.busy()); x.now = x.now.Add(step) {
		x.step()
	}
	x.out.finish(x.firsts)
	return x.out
}

func (x *play) build() {
	add := func(role string, n int) []*engine {
		var out []*engine
		for i := range n {
			e := &engine{id: fmt.Sprintf("%s-%d", role, i), p: x.p, held: map[*request]float64{}}
			x.byID[e.id] = e
			x.reports = append(x.reports, registry.Server{
				ID: e.id, Service: service, Address: e.id, Zone: "z", Slots: x.p.Slots, State: registry.Ready, Role: role, Sequence: 1,
			})
			out = append(out, e)
		}
		return out
	}
	x.prefill, x.decode = add(registry.Prefill, x.p.Prefill), add(registry.Decode, x.p.Decode)
	for i := range x.p.Gateways {
		g := &gateway{view: dispatch.NewFleet(fmt.Sprint("gateway-", i), "z")}
		g.view.Update(x.now, x.reports)
		g.view.SetGroupSize(service, registry.Prefill, x.p.Prefill)
		g.view.SetGroupSize(service, registry.Decode, x.p.Decode)
		x.gateways = append(x.gateways, g)
	}
}

// busy tells whether requests are still under way, or will come back.
func (x *play) busy() bool {
	if len(x.handovers)+len(x.returns) > 0 {
		return true
	}
	for _, e := range x.byID {
		if len(e.reads)+len(e.runs)+len(e.held) > 0 {
			return true
		}
	}
	for _, g := range x.gateways {
		if len(g.waiting) > 0 {
			return true
		}
	}
	return false
}

func (x *play) at() time.Duration { return x.now.Sub(x.start) }

// step plays one step: what ends, what begins, who comes, who has waited too long.
func (x *play) step() {
	if x.at()%heardEvery == 0 {
		x.report()
	}
	if x.at()%lag == 0 {
		x.share()
	}
	x.read()
	x.run()
	x.arrive()
	for _, g := range x.gateways {
		x.serve(g)
		x.giveUp(g)
	}
}

func (x *play) report() {
	ids := make([]string, len(x.reports))
	for i, r := range x.reports {
		ids[i] = r.ID
	}
	for _, g := range x.gateways {
		g.view.NoteHeartbeats(x.now, ids)
	}
}

// share tells each gateway what the others have reserved and seen.
func (x *play) share() {
	total := map[string]dispatch.Load{}
	seen := map[string]dispatch.Evidence{}
	queued := 0
	for _, g := range x.gateways {
		for id, l := range g.view.Loads() {
			total[id] = total[id].Add(l)
		}
		for id, e := range g.view.Evidence(x.now) {
			seen[id] = seen[id].Add(e)
		}
		queued += g.queue.Len()
	}
	for _, g := range x.gateways {
		o := dispatch.OtherGateways{
			Gateways: len(x.gateways), Known: len(x.gateways), Queued: queued - g.queue.Len(),
			Loads: map[string]dispatch.Load{}, Evidence: map[string]dispatch.Evidence{},
		}
		own, mine := g.view.Loads(), g.view.Evidence(x.now)
		for id, l := range total {
			o.Loads[id] = minus(l, own[id])
		}
		for id, e := range seen {
			if !x.o.NoFailureSharing {
				o.Evidence[id] = dispatch.Evidence{Good: e.Good - mine[id].Good, Bad: e.Bad - mine[id].Bad, Gateways: e.Gateways - mine[id].Gateways}
			}
		}
		g.view.SetOthers(x.now, o)
	}
}

func minus(a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill, Runs: a.Runs - b.Runs, Held: a.Held - b.Held}
}
