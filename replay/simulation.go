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
	loadExchangeInterval = 50 * time.Millisecond
	// handover is the time from a prompt that was read to the first token elsewhere:
	// some round trips and the copy of the KV cache.
	transferTime = 20 * time.Millisecond
	// heardEvery is the time between two reports of all engines.
	reportInterval = time.Second
	eventTokens    = 64
	// hintMargin is what gateways add to the callers' guesses.
	hintMargin = 1.12
	service    = "llm"
)

// request is one request of a caller, through all of its tries.
type request struct {
	firstTryAt, arrived time.Time
	answer              int
	// organisation is the number of whose it is; the first is the hot one.
	organisation int
	work         dispatch.Work
	queued       *dispatch.QueuedRequest
	deadline     time.Time
	tries        int
	gateway      *gateway
	pair         dispatch.Pair
	placedAt     time.Time
	firstTokenAt time.Time
	reserved     dispatch.Work
}

// gateway is one gateway: its decisions, and the requests that wait there.
type gateway struct {
	fleet    *dispatch.Fleet
	queue    dispatch.Queue
	times    dispatch.RunTimes
	requests []*request
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
type simulation struct {
	pattern     *Pattern
	options     Options
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	engineRoute *route.Engine
	gateways    []*gateway
	prefill     []*engine
	decode      []*engine
	engines     map[string]*engine
	reports     []registry.Server
	// handovers are requests whose prompt has been read, with when their run begins.
	transfers []transfer
	// returns are callers that come back, by when.
	retries     []*request
	dueArrivals float64
	// shares is what organisations use: gateways know it some tens of milliseconds late.
	shares          *quota.FairShares
	result          Result
	firstTokenTimes []time.Duration
}

type transfer struct {
	req *request
	at  time.Time
}

// Play plays a pattern.
func Play(p Pattern, o Options) Result {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		pattern: &p, options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), now: start, start: start,
		engineRoute: p.engine(), engines: map[string]*engine{},
	}
	s.shares = quota.NewFairShares()
	limits := map[string]quota.Limit{}
	for n := range p.Organisations {
		limits[strconv.Itoa(n)] = quota.Limit{Rate: 1}
	}
	s.shares.SetLimits(limits)
	s.build()
	end := start.Add(p.length() + p.Deadline)
	for ; s.now.Before(end) && (s.elapsed() < p.length() || s.active()); s.now = s.now.Add(step) {
		s.step()
	}
	s.result.finish(s.firstTokenTimes)
	return s.result
}

func (s *simulation) build() {
	add := func(role string, n int) []*engine {
		var out []*engine
		for i := range n {
			e := &engine{id: fmt.Sprintf("%s-%d", role, i), p: s.pattern, reserved: map[*request]float64{}}
			s.engines[e.id] = e
			s.reports = append(s.reports, registry.Server{
				ID: e.id, Service: service, Address: e.id, Zone: "z", Slots: s.pattern.Slots, State: registry.Ready, Role: role, Sequence: 1,
			})
			out = append(out, e)
		}
		return out
	}
	s.prefill, s.decode = add(registry.Prefill, s.pattern.Prefill), add(registry.Decode, s.pattern.Decode)
	for i := range s.pattern.Gateways {
		g := &gateway{fleet: dispatch.NewFleet(fmt.Sprint("gateway-", i), "z")}
		g.fleet.Update(s.now, s.reports)
		g.fleet.SetGroupSize(service, registry.Prefill, s.pattern.Prefill)
		g.fleet.SetGroupSize(service, registry.Decode, s.pattern.Decode)
		s.gateways = append(s.gateways, g)
	}
}

// busy tells whether requests are still under way, or will come back.
func (s *simulation) active() bool {
	if len(s.transfers)+len(s.retries) > 0 {
		return true
	}
	for _, e := range s.engines {
		if len(e.prompts)+len(e.runs)+len(e.reserved) > 0 {
			return true
		}
	}
	for _, g := range s.gateways {
		if len(g.requests) > 0 {
			return true
		}
	}
	return false
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// step plays one step: what ends, what begins, who comes, who has waited too long.
func (s *simulation) step() {
	if s.elapsed()%reportInterval == 0 {
		s.report()
	}
	if s.elapsed()%loadExchangeInterval == 0 {
		s.exchangeLoads()
	}
	s.stepPrefills()
	s.stepDecodes()
	s.arrive()
	for _, g := range s.gateways {
		s.serveQueue(g)
		s.expireQueued(g)
	}
}

func (s *simulation) report() {
	ids := make([]string, len(s.reports))
	for i, r := range s.reports {
		ids[i] = r.ID
	}
	for _, g := range s.gateways {
		g.fleet.NoteHeartbeats(s.now, ids)
	}
}

// share tells each gateway what the others have reserved and seen.
func (s *simulation) exchangeLoads() {
	total := map[string]dispatch.Load{}
	seen := map[string]dispatch.Evidence{}
	queued := 0
	for _, g := range s.gateways {
		for id, l := range g.fleet.Loads() {
			total[id] = total[id].Add(l)
		}
		for id, e := range g.fleet.Evidence(s.now) {
			seen[id] = seen[id].Add(e)
		}
		queued += g.queue.Len()
	}
	for _, g := range s.gateways {
		o := dispatch.OtherGateways{
			Gateways: len(s.gateways), Known: len(s.gateways), Queued: queued - g.queue.Len(),
			Loads: map[string]dispatch.Load{}, Evidence: map[string]dispatch.Evidence{},
		}
		ownLoads, ownEvidence := g.fleet.Loads(), g.fleet.Evidence(s.now)
		for id, l := range total {
			o.Loads[id] = subtract(l, ownLoads[id])
		}
		for id, e := range seen {
			if !s.options.NoFailureSharing {
				o.Evidence[id] = dispatch.Evidence{Good: e.Good - ownEvidence[id].Good, Bad: e.Bad - ownEvidence[id].Bad, Gateways: e.Gateways - ownEvidence[id].Gateways}
			}
		}
		g.fleet.SetOthers(s.now, o)
	}
}

func subtract(a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill, Runs: a.Runs - b.Runs, Held: a.Held - b.Held}
}
