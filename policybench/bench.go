package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

// Case is the configuration of one run.
type Case struct {
	Mix    Mix
	Load   float64
	Policy string
	// Faults are the names of the faults to inject; see Faults.
	Faults []string
	Seed   uint64
	// Length is how long requests arrive, in virtual time.
	Length time.Duration
}

// entries is the number of entries that share the servers.
const entries = 3

// bench is a run in progress.
type bench struct {
	clock
	mix            Mix
	rng            *rand.Rand
	servers        map[string]*server
	serverList     []*server
	entries        []*entry
	requestByID    map[string]*request
	requests       []*request
	jobs           []*prefillJob
	links          *links
	violations     []string
	reportsStopped bool
	prefillSeq     int
	// lostCapacity is the time for which faults took each server out of service.
	lostCapacity map[string]time.Duration
	arrivalsEnd  time.Time
}

func (b *bench) nextPrefillSeq() int {
	b.prefillSeq++
	return b.prefillSeq
}

func (b *bench) reportViolation(format string, args ...any) {
	if len(b.violations) < 20 {
		b.violations = append(b.violations, fmt.Sprintf(format, args...))
	}
}

func (b *bench) toServer(name string, do func(*server)) {
	s := b.servers[name]
	b.after(linkLatency, func() { do(s) })
}

func (b *bench) toEntry(e *entry, do func()) {
	b.after(linkLatency, func() {
		if e.alive {
			do()
		}
	})
}

// Run runs a case to its end.
func Run(c Case) Result {
	policy, unbounded := newPolicyByName(c.Policy)
	b := &bench{mix: c.Mix, rng: rand.New(rand.NewPCG(c.Seed, 1)), servers: map[string]*server{}, requestByID: map[string]*request{}, lostCapacity: map[string]time.Duration{}}
	b.now = start
	b.links = &links{b: b, updatedAt: start}
	b.arrivalsEnd = start.Add(c.Length)
	b.setup(policy, unbounded, c.Seed)
	for _, a := range c.Mix.arrivals(b.rng, c.Load, c.Length) {
		r := &request{arrival: a}
		b.requestByID[a.req.ID] = r
		b.requests = append(b.requests, r)
		b.at(start.Add(a.at), func() { b.arrive(r) })
	}
	for _, f := range c.Faults {
		b.inject(f, c.Length)
	}
	b.run(b.arrivalsEnd.Add(drainTime))
	b.checkEmpty()
	return b.result(c)
}

// drainTime is how long a run continues after the last arrival.
const drainTime = 100 * time.Second

func (b *bench) setup(policy func() router.Policy, unbounded bool, seed uint64) {
	prefillSlots := 8
	if unbounded {
		prefillSlots = 100000 // the engine queues all requests
	}
	for i := range b.mix.Prefill {
		b.addServer(newServer(b, fmt.Sprintf("p%d", i), "prefill", speedFactor(i), prefillSlots))
	}
	for i := range b.mix.Decode {
		b.addServer(newServer(b, fmt.Sprintf("d%d", i), "decode", speedFactor(i), b.mix.Slots))
	}
	for i := range entries {
		e := newEntry(b, fmt.Sprintf("e%d", i), policy(), seed+uint64(i))
		b.entries = append(b.entries, e)
		for _, s := range b.serverList {
			e.router.View().Set(placement.ServerConfig{
				Name: s.name, Zone: "z", Role: s.role, Models: []string{"m"}, Slots: s.leases.Slots(), LinkRate: linkRate,
			})
			e.router.View().SetConnected(s.name, true)
		}
	}
}

func (b *bench) addServer(s *server) {
	b.servers[s.name] = s
	b.serverList = append(b.serverList, s)
}

// arrive submits a request to a random live entry, as the platform's load balancer does.
func (b *bench) arrive(r *request) {
	first := b.rng.IntN(entries)
	for i := range entries {
		if e := b.entries[(first+i)%entries]; e.alive {
			r.entry = e
			break
		}
	}
	b.after(time.Duration(disconnectTargets)*r.class.TTFT, func() {
		if r.firstTokenAt.IsZero() {
			b.disconnectCaller(r)
		}
	})
	r.entry.apply(r.entry.router.Submit(b.now, r.req, 0))
}

// disconnectCaller ends a request whose caller has disconnected.
func (b *bench) disconnectCaller(r *request) {
	if r.outcome != "" || r.entry == nil {
		return
	}
	b.setOutcome(r, "gone")
	r.disconnectedAt = b.now
	if r.entry.alive {
		r.entry.apply(r.entry.router.Cancel(b.now, r.req.ID))
	}
	b.watchMemoryRelease(r)
}

// watchMemoryRelease records when no engine holds memory for a disconnected caller any more.
func (b *bench) watchMemoryRelease(r *request) {
	for _, s := range b.serverList {
		if s.holdsMemory(r.req.ID) {
			b.after(20*time.Millisecond, func() { b.watchMemoryRelease(r) })
			return
		}
	}
	r.memoryFreedAt = b.now
}

func (b *bench) setOutcome(r *request, outcome string) {
	if r.outcome != "" {
		b.reportViolation("%s: outcome %s after outcome %s", r.req.ID, outcome, r.outcome)
		return
	}
	r.outcome = outcome
}

// refuse ends a refused request. It checks that a request refused as not run has not run.
func (b *bench) refuse(r *request, x router.Refuse) {
	if x.Code.NotRun && r.ran {
		b.reportViolation("%s was refused as not run, but an engine ran it", r.req.ID)
	}
	b.setOutcome(r, "refused")
}

// checkEmpty reports leases, requests and slots that are still in use at the end of the run.
func (b *bench) checkEmpty() {
	for _, s := range b.serverList {
		if s.alive && s.agentUp && (s.leases.Used() > 0 || len(s.running) > 0) {
			b.reportViolation("%s has %d leases and %d requests at the end", s.name, s.leases.Used(), len(s.running))
		}
	}
	for _, r := range b.requests {
		if r.outcome == "" {
			b.reportViolation("%s has no outcome", r.req.ID)
		}
	}
	for _, e := range b.entries {
		if e.alive && e.router.Open() > 0 {
			b.reportViolation("%s has %d open requests at the end", e.name, e.router.Open())
		}
		for _, s := range b.serverList {
			if n := e.router.View().Server(s.name).OwnSlots(); e.alive && n != 0 {
				b.reportViolation("%s counts %d own slots in use at %s at the end", e.name, n, s.name)
			}
		}
	}
}
