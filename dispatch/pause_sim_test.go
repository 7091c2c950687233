package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
)

// pauseStrategy is how gateways that were not refused themselves learn of a pause.
type pauseStrategy int

const (
	// ownRefusals: each gateway learns of it by a refusal of its own.
	ownRefusals pauseStrategy = iota
	// sharedEvidence: refusals count as failures, which gateways exchange.
	sharedEvidence
	// sharedPauses: all gateways keep to each pause.
	sharedPauses
)

// pauseSim simulates gateways before the plain servers of one service, of which the first one
// rejects requests for a while.
type pauseSim struct {
	gateways, servers int
	// rate is the rate of all requests, in requests a second.
	rate float64
	// refusedShare is the share of the requests that the server rejects, pause what it asks
	// for.
	refusedShare float64
	pause        time.Duration
	strategy     pauseStrategy
}

// Times of a simulation.
const (
	refuseFrom     = 5 * time.Second
	refuseTo       = 14 * time.Second
	simLength      = 20 * time.Second
	simStep        = 10 * time.Millisecond
	simExchange    = 50 * time.Millisecond
	simServiceTime = 60 * time.Millisecond
)

// pauseResult is the result of a simulation.
type pauseResult struct {
	// refused counts the sends that were rejected, inPause those that the server received in
	// a pause that it had asked the gateway for.
	refused, inPause int
	// unserved counts the requests for which no server was found.
	unserved int
	// servedShare is what the server served while it rejected others, relative to an even
	// share of all requests.
	servedShare float64
	// busiestOther is the largest rate of another server in a quarter of a second meanwhile,
	// relative to an even share among the remaining servers.
	busiestOther float64
	// recovered is the time from the end until the server got 0.8 of its even share again.
	recovered time.Duration
}

// ending is the end of a request.
type ending struct {
	at      time.Duration
	gateway int
	server  string
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// pauseRun is the state of a running simulation.
type pauseRun struct {
	pauseSim
	rng    *rand.Rand
	at     time.Duration
	fleets []*Fleet
	ids    []string
	open   endings
	// until is the end of the pause that each gateway was asked for.
	until []time.Duration
	// quarter counts the requests to each server in this quarter of a second. served counts
	// the requests that the server has served while it rejected others, all the requests that
	// arrived meanwhile.
	quarter     map[string]int
	served, all int
	out         pauseResult
}

func (s pauseSim) run() pauseResult {
	p := &pauseRun{pauseSim: s, rng: rand.New(rand.NewPCG(7, uint64(s.gateways))), until: make([]time.Duration, s.gateways), quarter: map[string]int{}}
	p.out.recovered = simLength - refuseTo
	for i := range s.servers {
		p.ids = append(p.ids, fmt.Sprint("s", i))
	}
	for g := range s.gateways {
		f := NewFleet(fmt.Sprint("gateway-", g), "z")
		f.SetGroupSize("plain", "", s.servers)
		f.Others.Gateways, f.Others.Known = s.gateways, s.gateways
		p.fleets = append(p.fleets, f)
	}
	for ; p.at < simLength; p.at += simStep {
		p.step()
	}
	p.out.servedShare = float64(p.served) / (float64(p.all) / float64(s.servers))
	return p.out
}

func (p *pauseRun) now() time.Time { return time.Unix(1000, 0).Add(p.at) }

// refusing reports whether the first server rejects requests.
func (p *pauseRun) refusing() bool { return p.at >= refuseFrom && p.at < refuseTo }

func (p *pauseRun) step() {
	if p.at%time.Second == 0 {
		p.report()
	}
	if p.at%(250*time.Millisecond) == 0 {
		p.tally()
	}
	if p.at%simExchange == 0 {
		p.exchangeEvidence(p.now(), p.fleets)
	}
	for len(p.open) > 0 && p.open[0].at <= p.at {
		e := heap.Pop(&p.open).(ending)
		f := p.fleets[e.gateway]
		f.Get(e.server).Open--
		f.NoteOutcome(p.now(), e.server, Success, simServiceTime)
	}
	for range poisson(p.rng, p.rate*simStep.Seconds()) {
		if p.refusing() {
			p.all++
		}
		p.request(p.rng.IntN(p.gateways))
	}
}

// report has all servers report themselves.
func (p *pauseRun) report() {
	for n, id := range p.ids {
		s := registry.Server{ID: id, Service: "plain", Zone: "z", Address: fmt.Sprint("10.0.0.1:", n+1), State: registry.Ready, Sequence: uint64(p.at/time.Second) + 1}
		for _, f := range p.fleets {
			f.Update(p.now(), []registry.Server{s})
		}
	}
}

// tally evaluates the requests to the servers in the last quarter of a second.
func (p *pauseRun) tally() {
	const quarters = 4
	for id, n := range p.quarter {
		if id != p.ids[0] && p.at > refuseFrom+time.Second && p.at <= refuseTo {
			p.out.busiestOther = max(p.out.busiestOther, float64(n)*quarters/(p.rate/float64(p.servers-1)))
		}
	}
	even := p.rate / float64(p.servers) / quarters
	if p.at > refuseTo && float64(p.quarter[p.ids[0]]) >= 0.8*even {
		p.out.recovered = min(p.out.recovered, p.at-refuseTo)
	}
	p.quarter = map[string]int{}
}

// request has a gateway serve a request, at the next server if one rejects it.
func (p *pauseRun) request(gateway int) {
	f, avoid := p.fleets[gateway], Avoid{}
	for {
		to := f.ChoosePlain(p.now(), plainWork, avoid)
		if to == nil {
			p.out.unserved++
			return
		}
		p.quarter[to.ID]++
		first := to.ID == p.ids[0]
		if first && p.at < p.until[gateway] {
			p.out.inPause++
		}
		if !first || !p.refusing() || p.rng.Float64() >= p.refusedShare {
			p.serve(gateway, to, first)
			return
		}
		p.refuse(gateway, to.ID)
		avoid[to.ID] = true
	}
}

// serve begins a request at a server.
func (p *pauseRun) serve(gateway int, to *Server, first bool) {
	to.Open++
	p.fleets[gateway].NoteSent(p.now(), to.ID)
	heap.Push(&p.open, ending{p.at + time.Duration((0.5+p.rng.Float64())*float64(simServiceTime)), gateway, to.ID})
	if first && p.refusing() {
		p.served++
	}
}

// refuse has a server reject a request and ask for a pause.
func (p *pauseRun) refuse(gateway int, id string) {
	p.out.refused++
	p.until[gateway] = max(p.until[gateway], p.at+p.pause)
	notified := []*Fleet{p.fleets[gateway]}
	if p.strategy == sharedPauses {
		notified = p.fleets
	}
	for _, f := range notified {
		f.Observe(p.now(), id, selfreport.Report{Sent: p.now(), Received: p.now(), RetryAfter: p.pause})
	}
	if p.strategy != ownRefusals {
		p.fleets[gateway].NoteOutcome(p.now(), id, Busy, 0)
	}
}

// exchangeEvidence gives all gateways the outcomes at the others.
func (s pauseSim) exchangeEvidence(now time.Time, fleets []*Fleet) {
	sum := map[string]Evidence{}
	own := make([]map[string]Evidence, len(fleets))
	for i, f := range fleets {
		own[i] = f.Evidence(now)
		for id, e := range own[i] {
			sum[id] = sum[id].Add(e)
		}
	}
	for i, f := range fleets {
		others := map[string]Evidence{}
		for id, e := range sum {
			o := own[i][id]
			others[id] = Evidence{Good: e.Good - o.Good, Bad: e.Bad - o.Bad, Gateways: e.Gateways - o.Gateways}
		}
		f.SetOthers(now, OtherGateways{Gateways: len(fleets), Known: len(fleets), Evidence: others})
	}
}

// poisson draws the number of requests that arrive where mean are expected.
func poisson(rng *rand.Rand, mean float64) int {
	n, remaining := 0, rng.ExpFloat64()
	for remaining < mean {
		remaining += rng.ExpFloat64()
		n++
	}
	return n
}

// pauseSizes holds fleets from the smallest to the largest.
var pauseSizes = []pauseSim{
	{gateways: 5, servers: 3, rate: 50},
	{gateways: 21, servers: 5, rate: 200},
	{gateways: 103, servers: 10, rate: 400},
	{gateways: 608, servers: 10, rate: 700},
}

// TestPausedServerGetsNoRequestsAndRecovers has a server reject all requests, or some, and
// ask for pauses. No gateway sends in a pause that it was asked for, the other servers serve
// all requests, and the server gets its share again after the end.
func TestPausedServerGetsNoRequestsAndRecovers(t *testing.T) {
	names := map[pauseStrategy]string{ownRefusals: "own refusals", sharedEvidence: "shared evidence", sharedPauses: "shared pauses"}
	for _, kind := range []struct {
		name  string
		share float64
		pause time.Duration
	}{{"rejects all", 1, 3 * time.Second}, {"rejects 3 in 10", 0.3, time.Second}} {
		for _, size := range pauseSizes {
			for _, strategy := range []pauseStrategy{ownRefusals, sharedEvidence, sharedPauses} {
				sim := size
				sim.refusedShare, sim.pause, sim.strategy = kind.share, kind.pause, strategy
				t.Run(fmt.Sprint(kind.name, "/", sim.gateways, "/", names[strategy]), func(t *testing.T) {
					t.Parallel()
					r := sim.run()
					t.Logf("%s, %d gateways, %s: refused %d, in a pause %d, unserved %d, share %.2f, busiest other %.2f, recovered after %v",
						kind.name, sim.gateways, names[strategy], r.refused, r.inPause, r.unserved, r.servedShare, r.busiestOther, r.recovered)
					assert.Check(t, r.inPause == 0 && r.unserved == 0)
					assert.Check(t, strategy != sharedEvidence || r.recovered <= 4*time.Second, "%v", r.recovered)
				})
			}
		}
	}
}
