package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/retryslots"
	"github.com/ledgepin/ledgepin/route"
)

const (
	// step is the time between two steps of the simulation.
	step = 5 * time.Millisecond
	// loadExchangeInterval is the time between two updates from the replicas of control on the
	// reservations of other gateways.
	loadExchangeInterval = 50 * time.Millisecond
	// transferTime is the time from the end of a prefill to the first token at the decode engine:
	// some round trips and the copy of the KV cache.
	transferTime = 20 * time.Millisecond
	// reportInterval is the time between two reports of all engines.
	reportInterval = time.Second
	eventTokens    = 64
	// hintMargin is the factor by which gateways increase the callers' estimates.
	hintMargin = 1.12
	service    = "llm"
)

// request is one request of a caller with all of its tries.
type request struct {
	firstTryAt, arrived time.Time
	answer              int
	// organisation is the number of its organisation; the hot one is 0.
	organisation int
	// kind is the index of its kind in the pattern.
	kind int
	// class is the class that it counts for, which differs from the urgency of its work once it is
	// promoted.
	class  demand.Key
	work   dispatch.Work
	queued *dispatch.QueuedRequest
	// waitUntil is the end of its queue timeout, or the time of its retry after a refusal.
	waitUntil    time.Time
	tries        int
	gateway      *gateway
	pair         dispatch.Pair
	placedAt     time.Time
	firstTokenAt time.Time
	reserved     dispatch.Work
}

// gateway is a gateway: its view of the fleet, its queue and the queued requests.
type gateway struct {
	fleet    *dispatch.Fleet
	queue    dispatch.Queue
	times    dispatch.RunTimes
	requests []*request
	arrivals demand.Meter
	trend    retryslots.Trend
	promises retryslots.Promises
	// turns is the rank of the gateway among those with waiting requests, by class, and demand
	// what it had waiting at the last exchange.
	turns  map[demand.Key]int
	demand []demand.Class
}

// Options choose the variant that is simulated.
type Options struct {
	Seed uint64
	// Policy places requests; nil selects ledgepin's placement.
	Policy Policy
	// NoFailureSharing disables the exchange of failures between gateways.
	NoFailureSharing bool
	// NoLossEjection counts a lost answer like any other failure.
	NoLossEjection bool
	// NoHeadroom lets requests fill the engines whatever more urgent ones are expected.
	NoHeadroom bool
	// NoPromotion leaves requests that are hardly served at their urgency.
	NoPromotion bool
	// RandomRetries states random retry times, without regard to other callers.
	RandomRetries bool
	// NoFairShare serves queued requests in order of arrival, whichever organisation sends them.
	NoFairShare bool
	// FixedLevel lets runs fill the same share of each engine's memory, however fast they grow.
	FixedLevel bool
	// QueueTimeout returns how long a request waits for capacity; nil selects ledgepin's queue
	// timeout.
	QueueTimeout func(target time.Duration) time.Duration
}

// lossOutcome returns how gateways record a lost answer.
func (o Options) lossOutcome() dispatch.Outcome {
	if o.NoLossEjection {
		return dispatch.Failure
	}
	return dispatch.Lost
}

// Policy chooses engines without regard to memory, as simple balancers do. It receives the number
// of requests of each prefill and decode engine and returns the indices of the chosen ones.
type Policy func(rng *rand.Rand, prefill, decode []int) (p, d int)

// simulation is the state of a simulation.
type simulation struct {
	pattern *Pattern
	options Options
	rng     *rand.Rand
	// promotionRNG is separate, so that a variant without promotions has the same arrivals.
	promotionRNG *rand.Rand
	now          time.Time
	start        time.Time
	engineRoute  *route.Engine
	gateways     []*gateway
	prefill      []*engine
	decode       []*engine
	engines      map[string]*engine
	reports      []registry.Server
	// transfers are the requests that start a run later: after the transfer of their KV cache, or
	// after a prefill that a preemption made necessary.
	transfers []transfer
	// migrations are the runs that are being copied to another engine.
	migrations []migration
	// retries are the refused requests whose callers send them again.
	retries     []*request
	dueArrivals float64
	// shares is the usage of the organisations. Unlike real gateways, which receive it some tens
	// of milliseconds late, all gateways share it here.
	shares *quota.FairShares
	result Result
	// lastTurn is the last rank that a gateway got.
	lastTurn        int
	firstTokenTimes []time.Duration
}

// transfer is a request whose run starts at a time.
type transfer struct {
	req *request
	at  time.Time
}

// Play simulates a pattern and returns its result. The same pattern and options yield the same
// result.
func Play(p Pattern, o Options) Result {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		pattern: &p, options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), promotionRNG: rand.New(rand.NewPCG(o.Seed, 2)), now: start, start: start,
		engineRoute: p.engine(), engines: map[string]*engine{},
	}
	s.shares = quota.NewFairShares()
	limits := map[string]quota.Limit{}
	for n := range p.Organisations {
		limits[strconv.Itoa(n)] = quota.Limit{Rate: 1}
	}
	s.shares.SetLimits(limits)
	s.result.Kinds = make([]KindResult, len(p.Kinds))
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
			e := &engine{id: fmt.Sprintf("%s-%d", role, i), pattern: s.pattern, reserved: map[*request]float64{}}
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

// active reports whether requests are in progress or will be retried.
func (s *simulation) active() bool {
	if len(s.transfers)+len(s.retries) > 0 {
		return true
	}
	for _, e := range s.engines {
		if len(e.prompts)+len(e.runs)+len(e.reserved)+len(e.preempted) > 0 {
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

// step simulates one step: progress of prefills and runs, arrivals, placement, and queue timeouts.
func (s *simulation) step() {
	if s.elapsed()%reportInterval == 0 {
		s.report()
	}
	if s.elapsed()%loadExchangeInterval == 0 {
		s.exchangeLoads()
	}
	s.stepFaults()
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
		if !s.engines[r.ID].down {
			ids[i] = r.ID
		}
	}
	for _, g := range s.gateways {
		g.fleet.NoteHeartbeats(s.now, ids)
	}
}

// exchangeLoads updates each gateway's view of the reservations and evidence of the others.
func (s *simulation) exchangeLoads() {
	total := map[string]dispatch.Load{}
	seen := map[string]dispatch.Evidence{}
	queued := 0
	var sum []demand.Class
	for _, g := range s.gateways {
		for id, l := range g.fleet.Loads() {
			total[id] = total[id].Add(l)
		}
		for id, e := range g.fleet.Evidence(s.now) {
			seen[id] = seen[id].Add(e)
		}
		queued += g.queue.Len()
		s.setDemand(g)
		sum = demand.Add(sum, g.demand)
	}
	for _, g := range s.gateways {
		o := dispatch.OtherGateways{
			Gateways: len(s.gateways), Known: len(s.gateways), Queued: queued - g.queue.Len(), Demand: s.othersDemand(g, sum),
			Loads: map[string]dispatch.Load{}, Evidence: map[string]dispatch.Evidence{},
		}
		ownLoads, ownEvidence := g.fleet.Loads(), g.fleet.Evidence(s.now)
		for id, l := range total {
			o.Loads[id] = subtract(l, ownLoads[id])
		}
		for id, e := range seen {
			if !s.options.NoFailureSharing {
				o.Evidence[id] = dispatch.Evidence{Good: e.Good - ownEvidence[id].Good, Bad: e.Bad - ownEvidence[id].Bad, Gateways: e.Gateways - ownEvidence[id].Gateways, Lost: e.Lost - ownEvidence[id].Lost}
			}
		}
		g.fleet.SetOthers(s.now, o)
		if !s.options.NoHeadroom {
			g.fleet.UpdateHeadroom(s.now, service, s.engineRoute, g.demand, g.times)
		}
		g.fleet.UpdatePromotions(s.now, service, g.demand)
		g.trend.Add(s.now, sum)
		g.fleet.RejectLate(s.now, &g.queue, func(string) dispatch.RunTimes { return g.times }, func(w *dispatch.QueuedRequest) {
			i := slices.IndexFunc(g.requests, func(r *request) bool { return r.queued == w })
			s.result.totalRefusedWait += s.now.Sub(g.requests[i].arrived)
			s.refuse(g.requests[i])
			g.requests = slices.Delete(g.requests, i, i+1)
		})
	}
}

func subtract(a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill, Runs: a.Runs - b.Runs, Held: a.Held - b.Held}
}
