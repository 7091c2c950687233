package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/warmup"
)

// strategy is how gateways of the simulated fleet decide whether they may send to a limited server.
type strategy int

const (
	// byTokens: replicas of control issue tokens to gateways that have requests.
	byTokens strategy = iota
	// byShares: each gateway has an equal share of the rate, and a burst of one request.
	byShares
	// byLease: each replica leases its share to one of its gateways.
	byLease
	// byWholeLimit: each gateway keeps to the whole limit by itself.
	byWholeLimit
)

func (s strategy) String() string { return [...]string{"tokens", "shares", "lease", "whole limit"}[s] }

// sim is a fleet in simulated time in front of one server, which reports a limit and is the only one
// of its service. Messages between gateways and replicas take some milliseconds, and one in twenty
// takes 200 ms.
type sim struct {
	rng      *rand.Rand
	now      time.Time
	strategy strategy
	rate     float64
	gateways []*simGateway
	replicas []*simReplica
	messages []simMessage
	// faults restarts processes and moves gateways; cuts partitions replicas from the others.
	faults, cuts              bool
	perSecond                 float64 // requests of one gateway
	uneven                    bool    // one gateway in five has all requests
	messagesSent              int
	sent                      []time.Time
	maxInWindow, total, asked int
}

type simGateway struct {
	name        string
	incarnation int
	hub         int
	allowance   ratelimit.Allowance
	lease       warmup.Lease
	meter       ratelimit.Meter
	waiting     []time.Time // when each waiting request times out
	upAt        time.Time
	reportedAt  time.Time
	received    int // tokens received since the gateway connected to its replica
}

func (g *simGateway) id() string { return fmt.Sprint(g.name, ".", g.incarnation) }

type simReplica struct {
	name     string
	broker   *ratelimit.Broker
	leases   *warmup.Broker
	cutUntil time.Time // when its links to other replicas work again
	cutAt    time.Time
}

type simMessage struct {
	at time.Time
	do func()
}

const (
	simStep         = 10 * time.Millisecond
	simInterval     = 50 * time.Millisecond
	simServer       = "server"
	simQueueTimeout = 200 * time.Millisecond
	// simCutDetection is the time after which both ends of a link have detected a partition.
	simCutDetection = 1500 * time.Millisecond
)

func newSim(seed uint64, strat strategy, rate float64, gateways, replicas int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: start, strategy: strat, rate: rate, perSecond: max(8*rate/float64(gateways), 0.1)}
	for i := range replicas {
		s.replicas = append(s.replicas, &simReplica{name: fmt.Sprint("replica-", seed, "-", i)})
		s.startReplica(s.replicas[i])
	}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i), hub: s.rng.IntN(replicas)})
	}
	return s
}

func (s *sim) startReplica(r *simReplica) {
	r.broker, r.leases = ratelimit.NewBroker(s.now, r.name), warmup.NewBroker(s.now)
}

// post delivers a message after a delay.
func (s *sim) post(do func()) {
	delay := time.Duration(1+s.rng.IntN(5)) * time.Millisecond
	if s.rng.IntN(20) == 0 {
		delay = 200 * time.Millisecond
	}
	s.messages = append(s.messages, simMessage{s.now.Add(delay), do})
	s.messagesSent++
}

func (s *sim) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if s.now.Before(m.at) {
			s.messages = append(s.messages, m)
			continue
		}
		m.do()
	}
}

func (s *sim) chance(each time.Duration) bool {
	return s.rng.Float64() < float64(simStep)/float64(each)
}

func (s *sim) injectFaults() {
	for _, r := range s.replicas {
		if s.chance(10 * time.Second) {
			s.startReplica(r)
		}
		if s.cuts && s.chance(15*time.Second) && s.now.After(r.cutUntil) {
			r.cutAt, r.cutUntil = s.now, s.now.Add(time.Duration(2+s.rng.IntN(8))*time.Second)
		}
	}
	for _, g := range s.gateways {
		if s.chance(10 * time.Second) {
			s.move(g)
		}
		if s.chance(20 * time.Second) {
			g.incarnation, g.allowance, g.lease, g.waiting = g.incarnation+1, ratelimit.Allowance{}, warmup.Lease{}, nil
			g.received = 0
			g.upAt = s.now.Add(300 * time.Millisecond)
		}
	}
}

func (s *sim) move(g *simGateway) {
	from, id := s.replicas[g.hub], g.id()
	s.post(func() { from.broker.Forget(ratelimit.Requester{Name: id}) })
	g.hub, g.incarnation, g.received = s.rng.IntN(len(s.replicas)), g.incarnation+1, 0 // over another link
}

// linked reports whether two replicas count each other as connected.
func (s *sim) linked(a, b *simReplica) bool {
	for _, r := range []*simReplica{a, b} {
		if s.now.Before(r.cutUntil) && s.now.Sub(r.cutAt) >= simCutDetection {
			return false
		}
	}
	return true
}

// reachable reports whether messages pass between two replicas.
func (s *sim) reachable(a, b *simReplica) bool {
	return s.now.After(a.cutUntil) && s.now.After(b.cutUntil)
}

func (s *sim) runReplica(i int, r *simReplica) {
	var members, linked []string
	for _, o := range s.replicas {
		members = append(members, o.name)
		if o != r && s.linked(r, o) {
			linked = append(linked, o.name)
		}
	}
	r.broker.SetReplicas(s.now, members, linked, (1+len(linked))*2 <= len(members))
	r.broker.SetLimit(s.now, simServer, "s", s.rate)
	s.issue(i)
	asks, from := r.broker.PeerDemand(s.now), ratelimit.Requester{Name: r.name, Replica: true}
	for _, o := range s.replicas {
		demand := asks[o.name]
		if demand == nil || !s.reachable(r, o) {
			continue
		}
		s.post(func() {
			o.broker.SetDemand(s.now, from, demand)
			s.issue(slices.Index(s.replicas, o))
		})
	}
	if s.strategy == byLease {
		s.issueLeases(i, r)
	}
}

func (s *sim) issue(i int) {
	if s.strategy != byTokens {
		return
	}
	grants, back := s.replicas[i].broker.Issue(s.now, func(string, string) bool { return true })
	for _, g := range grants {
		s.grant(i, g)
	}
	for _, b := range back {
		o := s.replicaIndex(b.Owner)
		if s.reachable(s.replicas[i], s.replicas[o]) {
			from := ratelimit.Requester{Name: s.replicas[i].name, Replica: true}
			s.post(func() {
				s.replicas[o].broker.Release(s.now, from, b)
				s.issue(o)
			})
		}
	}
}

func (s *sim) grant(hub int, g ratelimit.Grant) {
	if g.To.Replica {
		o := s.replicaIndex(g.To.Name)
		if s.reachable(s.replicas[hub], s.replicas[o]) {
			s.post(func() {
				s.replicas[o].broker.AddTokens(s.now, simServer, g.Token, g.Tokens, g.TTL)
				s.issue(o)
			})
		}
		return
	}
	for _, to := range s.gateways {
		if id := to.id(); id == g.To.Name {
			s.post(func() {
				if to.id() != id || s.now.Before(to.upAt) {
					return
				}
				to.received += g.Tokens
				to.allowance.Grant(s.now, g.Token, g.Tokens, g.TTL)
				s.serveWaiting(to)
				s.releaseSurplus(to)
			})
		}
	}
}

// releaseSurplus releases the tokens that a gateway doesn't need.
func (s *sim) releaseSurplus(g *simGateway) {
	hub, from := g.hub, ratelimit.Requester{Name: g.id()}
	for _, b := range g.allowance.ReleaseSurplus(s.now, g.meter.Rate(s.now)) {
		b.Server = simServer
		s.post(func() {
			s.replicas[hub].broker.Release(s.now, from, b)
			s.issue(hub)
		})
	}
}

func (s *sim) replicaIndex(name string) int {
	return slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.name == name })
}

func (s *sim) issueLeases(i int, r *simReplica) {
	var here []string
	to := map[string]*simGateway{}
	for _, g := range s.gateways {
		if g.hub == i && !s.now.Before(g.upAt) {
			here, to[g.id()] = append(here, g.id()), g
		}
	}
	share := warmup.Bounds{Overshoot: 1.5, Slack: 1.25}.Share(s.rate, len(s.replicas), i)
	for _, l := range r.leases.Lease(s.now, []warmup.ColdServer{{Server: simServer, Gateways: here}}) {
		g := to[l.Gateway]
		s.post(func() { g.lease.Renew(s.now, share, warmup.LeaseTTL) })
	}
}

func (s *sim) reportDemand(g *simGateway) {
	id, hub := g.id(), g.hub
	d := map[string]ratelimit.Demand{"s": {Rate: g.meter.Rate(s.now), Waiting: len(g.waiting), Received: g.received}}
	if d["s"].Rate > 0.01 {
		s.post(func() {
			s.replicas[hub].broker.SetDemand(s.now, ratelimit.Requester{Name: id}, d)
			s.issue(hub)
		})
	}
}

// take reports whether a gateway may send a request now, and counts it.
func (s *sim) take(g *simGateway) bool {
	switch s.strategy {
	case byShares:
		g.allowance.SetFallbackRate(s.now, s.rate/float64(len(s.gateways)))
		return g.allowance.Take(s.now)
	case byWholeLimit:
		g.allowance.SetFallbackRate(s.now, s.rate)
		return g.allowance.Take(s.now)
	case byLease:
		if !g.lease.Allows(s.now) {
			return false
		}
		g.lease.CountSent(s.now)
		return true
	}
	return g.allowance.Take(s.now)
}

// send sends a request; with faults, one in ten is followed by a call that frees what the request
// left on the server.
func (s *sim) send(g *simGateway) {
	s.total++
	s.sent = append(s.sent, s.now)
	if s.faults && s.rng.IntN(10) == 0 {
		s.post(func() {
			g.allowance.ForceTake(s.now)
			s.sent = append(s.sent, s.now)
		})
	}
}

func (s *sim) serveWaiting(g *simGateway) {
	g.waiting = slices.DeleteFunc(g.waiting, func(until time.Time) bool { return !s.now.Before(until) })
	for len(g.waiting) > 0 && s.take(g) {
		g.waiting = g.waiting[1:]
		s.send(g)
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if s.faults {
		s.injectFaults()
	}
	s.deliver()
	if s.now.Sub(start)%simInterval == 0 {
		for i, r := range s.replicas {
			s.runReplica(i, r)
		}
	}
	for i, g := range s.gateways {
		if s.now.Before(g.upAt) {
			continue
		}
		rate := s.perSecond
		if s.uneven {
			if i%5 != 0 {
				continue
			}
			rate *= 5
		}
		if s.rng.Float64() < rate*simStep.Seconds() {
			s.asked++
			g.meter.Count(s.now)
			if s.take(g) {
				s.send(g)
			} else {
				g.waiting = append(g.waiting, s.now.Add(simQueueTimeout))
			}
		}
		s.serveWaiting(g)
		if s.now.Sub(g.reportedAt) >= simInterval {
			g.reportedAt = s.now
			s.reportDemand(g)
		}
	}
	for len(s.sent) > 0 && s.now.Sub(s.sent[0]) >= 4*time.Second {
		s.sent = s.sent[1:]
	}
	s.maxInWindow = max(s.maxInWindow, len(s.sent))
}
