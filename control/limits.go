package control

import (
	"time"

	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of limits.
const (
	// limitsEvery is the time between two looks at what tokens are due.
	limitsEvery = 50 * time.Millisecond
	// limitAgain is the time after which the other replicas are told again that a server goes
	// on naming its limit, so that an answer which was asked for before does not end it.
	limitAgain = 400 * time.Millisecond
	// limitKept is how long the end of a limit is remembered, so that an answer that was held
	// up does not begin it again, and the observation about a server that is not listed any more.
	limitKept = 10 * time.Second
)

// limits is what a replica knows of the servers that name a limit of requests a second.
type limits struct {
	broker *ratelimit.Broker
	known  map[string]*knownLimit
	at     time.Time
	// supply is what gateways were told of the limited servers of each service.
	supply map[string]ratelimit.Supply
}

// knownLimit is the limit of one start of a server.
type knownLimit struct {
	ratelimit.Limit
	// passedAt is when the other replicas were told, and passed the newest answer that they
	// were told of.
	passedAt, passed time.Time
	// listedAt is when the server was listed last.
	listedAt time.Time
}

func newLimits(now time.Time, self string) limits {
	return limits{broker: ratelimit.NewBroker(now, self), known: map[string]*knownLimit{}, supply: map[string]ratelimit.Supply{}}
}

// takeLimits takes what a gateway tells of limits.
func (h *hub) takeLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil {
		return
	}
	h.takeLimitMessage(ratelimit.Requester{Name: g.id}, m)
}

// takePeerLimits takes what another replica tells of limits.
func (h *hub) takePeerLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeLimitMessage(ratelimit.Requester{Name: baseName(l.Peer.Name), Replica: true}, m)
}

// takeLimitMessage takes what a gateway or another replica tells, and issues at once what is due
// by that. Callers hold the lock.
func (h *hub) takeLimitMessage(from ratelimit.Requester, m *wire.Limits) {
	now := h.clock.Now()
	for _, w := range m.Observations {
		h.noteLimit(now, w)
	}
	if len(m.Asks) > 0 {
		demand := map[string]ratelimit.Demand{}
		for _, a := range m.Asks {
			demand[a.Service] = ratelimit.Demand{Rate: a.Rate, Waiting: a.Waiting, Priority: a.Priority, Received: a.Got}
		}
		h.limits.broker.SetDemand(now, from, demand)
	}
	for _, t := range m.Tokens {
		if from.Replica {
			h.limits.broker.AddTokens(now, t.Server, ratelimit.Token{Owner: from.Name, Spare: t.Spare}, t.Tokens, t.For)
		}
	}
	for _, t := range m.Back {
		owner := t.Owner
		if from.Replica {
			owner = h.name
		}
		h.limits.broker.Release(now, from, ratelimit.Release{Owner: owner, Server: t.Server, Tokens: t.Tokens, TTL: t.For})
	}
	if len(m.Asks)+len(m.Tokens)+len(m.Back) > 0 {
		h.issueLimits(now)
	}
}

// noteLimit takes what a server said in an answer, and tells it on if it changes what is allowed.
// Callers hold the lock.
func (h *hub) noteLimit(now time.Time, w wire.LimitObservation) {
	k := h.limits.known[w.Server]
	if k == nil {
		if !w.Named {
			return
		}
		k = &knownLimit{listedAt: now}
		h.limits.known[w.Server] = k
	}
	observed := ratelimit.Observation{Limited: w.Named, Rate: w.Rate, Sent: now.Add(-w.Sent), Received: now.Add(-w.Heard)}
	if !k.Observe(now, observed) {
		return
	}
	h.setLimit(now, w.Server, k)
	m := &wire.Message{Limits: &wire.Limits{Observations: []wire.LimitObservation{limitObservation(now, w.Server, k)}}}
	for l, g := range h.gateways {
		if g.limitsTold {
			_ = l.Send(m)
		}
	}
	h.welcomeLimits(now)
	h.passLimits(now, m, k)
}

// passLimits tells the other replicas of limits. Callers hold the lock.
func (h *hub) passLimits(now time.Time, m *wire.Message, passed ...*knownLimit) {
	for l := range h.peers {
		if l.Speaks() >= wire.KnowsLimits {
			_ = l.Send(m)
		}
	}
	for _, k := range passed {
		k.passedAt, k.passed = now, k.Newest().Received
	}
}

func limitObservation(now time.Time, server string, k *knownLimit) wire.LimitObservation {
	w := k.Newest()
	return wire.LimitObservation{Server: server, Named: w.Limited, Rate: w.Rate, Sent: now.Sub(w.Sent), Heard: now.Sub(w.Received)}
}

// limitObservations returns all limits that are known. Callers hold the lock.
func (h *hub) limitObservations(now time.Time) []wire.LimitObservation {
	var out []wire.LimitObservation
	for id, k := range h.limits.known {
		out = append(out, limitObservation(now, id, k))
	}
	return out
}

// setLimit tells the broker what a server takes now. Callers hold the lock.
func (h *hub) setLimit(now time.Time, id string, k *knownLimit) {
	s, listed := h.servers.Get(id)
	rate, limited := k.Rate(now)
	if listed && s.State == registry.Ready {
		k.listedAt = now
	}
	if !limited || !listed || s.State == registry.Gone {
		h.limits.broker.RemoveLimit(id)
		return
	}
	h.limits.broker.SetLimit(now, id, s.Service, rate)
}

// isLimited tells whether a server names a limit, so that it gets no orders and the others have to
// do its work. Callers hold the lock.
func (h *hub) isLimited(now time.Time, id string) bool {
	k := h.limits.known[id]
	if k == nil {
		return false
	}
	_, limited := k.Rate(now)
	return limited
}

// tellLimits does what is due by time for the servers that name a limit; nothing if there are
// none. Callers hold the lock.
func (h *hub) tellLimits(now time.Time) {
	if now.Sub(h.limits.at) < limitsEvery {
		return
	}
	h.limits.at = now
	h.limits.broker.SetReplicas(now, h.replicas, h.linkedReplicas(), h.cut)
	if len(h.limits.known) == 0 {
		return
	}
	h.reviewLimits(now)
	h.welcomeLimits(now)
	for name, demand := range h.limits.broker.PeerDemand(now) {
		if l := h.peerNamed(name); l != nil {
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Asks: limitAsks(demand)}})
		}
	}
	h.issueLimits(now)
	h.tellSupply(now)
}

// reviewLimits puts the limits in force as they are now, forgets those that are over, and tells
// the other replicas of those that go on. Callers hold the lock.
func (h *hub) reviewLimits(now time.Time) {
	var again []wire.LimitObservation
	var passed []*knownLimit
	named := 0
	for id, k := range h.limits.known {
		h.setLimit(now, id, k)
		w := k.Newest()
		if !w.Limited && now.Sub(w.Received) >= limitKept || now.Sub(k.listedAt) >= limitKept {
			delete(h.limits.known, id)
			h.limits.broker.RemoveLimit(id)
			continue
		}
		if w.Limited {
			named++
		}
		if w.Limited && w.Received.After(k.passed) && now.Sub(k.passedAt) >= limitAgain {
			again, passed = append(again, limitObservation(now, id, k)), append(passed, k)
		}
	}
	if len(again) > 0 {
		h.passLimits(now, &wire.Message{Limits: &wire.Limits{Observations: again}}, passed...)
	}
	metric.LimitedServers.WithLabelValues(h.name).Set(float64(named))
}

// welcomeLimits tells the gateways that have begun to share with this replica of all limits.
// Callers hold the lock.
func (h *hub) welcomeLimits(now time.Time) {
	for l, g := range h.gateways {
		if g.sharing && !g.limitsTold && l.Speaks() >= wire.KnowsLimits {
			g.limitsTold = true
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Observations: h.limitObservations(now), Supply: limitSupply(h.limits.supply)}})
		}
	}
}

// issueLimits sends the tokens that are due. Callers hold the lock.
func (h *hub) issueLimits(now time.Time) {
	grants, back := h.limits.broker.Issue(now, h.worksWith)
	out := map[ratelimit.Requester]*wire.Limits{}
	to := func(a ratelimit.Requester) *wire.Limits {
		if out[a] == nil {
			out[a] = &wire.Limits{}
		}
		return out[a]
	}
	for _, g := range grants {
		t := wire.LimitToken{Server: g.Server, Tokens: g.Tokens, For: g.TTL, Owner: g.Owner, Spare: g.Spare}
		m := to(g.To)
		m.Tokens = append(m.Tokens, t)
	}
	for _, b := range back {
		m := to(ratelimit.Requester{Name: b.Owner, Replica: true})
		m.Back = append(m.Back, wire.LimitToken{Server: b.Server, Tokens: b.Tokens, For: b.TTL})
	}
	for a, m := range out {
		if l := h.askerLink(a); l != nil {
			_ = l.Send(&wire.Message{Limits: m})
		}
	}
}

// askerLink returns the link on which somebody who wants tokens is told; nil if it has ended.
// Callers hold the lock.
func (h *hub) askerLink(a ratelimit.Requester) *wire.Link {
	if a.Replica {
		return h.peerNamed(a.Name)
	}
	if g := h.named[a.Name]; g != nil {
		return g.link
	}
	return nil
}

// worksWith tells whether a gateway works with a server. Callers hold the lock.
func (h *hub) worksWith(gateway, server string) bool {
	g := h.named[gateway]
	if g == nil {
		return false
	}
	_, works := g.servers[server]
	return works
}

// peerNamed returns the link on which a replica that knows limits is told; nil if there is none.
// Callers hold the lock.
func (h *hub) peerNamed(name string) *wire.Link {
	for l := range h.peers {
		if baseName(l.Peer.Name) == name && l.Speaks() >= wire.KnowsLimits {
			return l
		}
	}
	return nil
}

// linkedReplicas returns the replicas with a link that know limits. Callers hold the lock.
func (h *hub) linkedReplicas() []string {
	var out []string
	for l := range h.peers {
		if l.Speaks() >= wire.KnowsLimits {
			out = append(out, baseName(l.Peer.Name))
		}
	}
	return out
}

func limitAsks(demand map[string]ratelimit.Demand) []wire.LimitAsk {
	var out []wire.LimitAsk
	for service, d := range demand {
		out = append(out, wire.LimitAsk{Service: service, Rate: d.Rate, Waiting: d.Waiting, Priority: d.Priority, Got: d.Received})
	}
	return out
}

// tellSupply tells the gateways that share with this replica what the limited servers of each
// service take, and what waits for that, where it has changed. Callers hold the lock.
func (h *hub) tellSupply(now time.Time) {
	supply, changed := h.limits.broker.Supply(now), map[string]ratelimit.Supply{}
	for service, s := range supply {
		if s != h.limits.supply[service] {
			changed[service] = s
		}
	}
	for service := range h.limits.supply {
		if _, still := supply[service]; !still {
			changed[service] = ratelimit.Supply{}
		}
	}
	h.limits.supply = supply
	if len(changed) == 0 {
		return
	}
	for l, g := range h.gateways {
		if g.limitsTold {
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Supply: limitSupply(changed)}})
		}
	}
}

func limitSupply(supply map[string]ratelimit.Supply) []wire.LimitSupply {
	var out []wire.LimitSupply
	for service, s := range supply {
		out = append(out, wire.LimitSupply{Service: service, Rate: s.Rate, Waiting: s.Waiting})
	}
	return out
}
