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
	limitRepeatEvery = 400 * time.Millisecond
	// limitKept is how long the end of a limit is remembered, so that an answer that was held
	// up does not begin it again, and the observation about a server that is not listed any more.
	limitRetention = 10 * time.Second
)

// limits is what a replica knows of the servers that name a limit of requests a second.
type limits struct {
	broker   *ratelimit.Broker
	servers  map[string]*serverLimit
	tickedAt time.Time
	// supply is what gateways were told of the limited servers of each service.
	supply map[string]ratelimit.Supply
}

// knownLimit is the limit of one start of a server.
type serverLimit struct {
	ratelimit.Limit
	// passedAt is when the other replicas were told, and passed the newest answer that they
	// were told of.
	forwardedAt, forwardedAnswer time.Time
	// listedAt is when the server was listed last.
	listedAt time.Time
}

func newLimits(now time.Time, self string) limits {
	return limits{broker: ratelimit.NewBroker(now, self), servers: map[string]*serverLimit{}, supply: map[string]ratelimit.Supply{}}
}

// takeLimits takes what a gateway tells of limits.
func (h *hub) handleLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil {
		return
	}
	h.handleLimitMessage(ratelimit.Requester{Name: g.id}, m)
}

// takePeerLimits takes what another replica tells of limits.
func (h *hub) handlePeerLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handleLimitMessage(ratelimit.Requester{Name: baseName(l.Peer.Name), Replica: true}, m)
}

// takeLimitMessage takes what a gateway or another replica tells, and issues at once what is due
// by that. Callers hold the lock.
func (h *hub) handleLimitMessage(from ratelimit.Requester, m *wire.Limits) {
	now := h.clock.Now()
	for _, w := range m.Observations {
		h.recordObservation(now, w)
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
		h.issueTokens(now)
	}
}

// noteLimit takes what a server said in an answer, and tells it on if it changes what is allowed.
// Callers hold the lock.
func (h *hub) recordObservation(now time.Time, w wire.LimitObservation) {
	k := h.limits.servers[w.Server]
	if k == nil {
		if !w.Named {
			return
		}
		k = &serverLimit{listedAt: now}
		h.limits.servers[w.Server] = k
	}
	observed := ratelimit.Observation{Limited: w.Named, Rate: w.Rate, Sent: now.Add(-w.Sent), Received: now.Add(-w.Heard)}
	if !k.Observe(now, observed) {
		return
	}
	h.setLimit(now, w.Server, k)
	m := &wire.Message{Limits: &wire.Limits{Observations: []wire.LimitObservation{limitObservation(now, w.Server, k)}}}
	for l, g := range h.gateways {
		if g.limitsSent {
			_ = l.Send(m)
		}
	}
	h.sendAllLimits(now)
	h.forwardLimits(now, m, k)
}

// passLimits tells the other replicas of limits. Callers hold the lock.
func (h *hub) forwardLimits(now time.Time, m *wire.Message, forwarded ...*serverLimit) {
	for l := range h.peers {
		if l.Speaks() >= wire.KnowsLimits {
			_ = l.Send(m)
		}
	}
	for _, k := range forwarded {
		k.forwardedAt, k.forwardedAnswer = now, k.Newest().Received
	}
}

func limitObservation(now time.Time, server string, k *serverLimit) wire.LimitObservation {
	w := k.Newest()
	return wire.LimitObservation{Server: server, Named: w.Limited, Rate: w.Rate, Sent: now.Sub(w.Sent), Heard: now.Sub(w.Received)}
}

// limitObservations returns all limits that are known. Callers hold the lock.
func (h *hub) limitObservations(now time.Time) []wire.LimitObservation {
	var out []wire.LimitObservation
	for id, k := range h.limits.servers {
		out = append(out, limitObservation(now, id, k))
	}
	return out
}

// setLimit tells the broker what a server takes now. Callers hold the lock.
func (h *hub) setLimit(now time.Time, id string, k *serverLimit) {
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
	k := h.limits.servers[id]
	if k == nil {
		return false
	}
	_, limited := k.Rate(now)
	return limited
}

// tellLimits does what is due by time for the servers that name a limit; nothing if there are
// none. Callers hold the lock.
func (h *hub) tickLimits(now time.Time) {
	if now.Sub(h.limits.tickedAt) < limitsEvery {
		return
	}
	h.limits.tickedAt = now
	h.limits.broker.SetReplicas(now, h.replicas, h.linkedReplicas(), h.partitioned)
	if len(h.limits.servers) == 0 {
		return
	}
	h.reviewLimits(now)
	h.sendAllLimits(now)
	for name, demand := range h.limits.broker.PeerDemand(now) {
		if l := h.limitPeer(name); l != nil {
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Asks: limitAsks(demand)}})
		}
	}
	h.issueTokens(now)
	h.sendSupply(now)
}

// reviewLimits puts the limits in force as they are now, forgets those that are over, and tells
// the other replicas of those that go on. Callers hold the lock.
func (h *hub) reviewLimits(now time.Time) {
	var repeated []wire.LimitObservation
	var forwarded []*serverLimit
	named := 0
	for id, k := range h.limits.servers {
		h.setLimit(now, id, k)
		w := k.Newest()
		if !w.Limited && now.Sub(w.Received) >= limitRetention || now.Sub(k.listedAt) >= limitRetention {
			delete(h.limits.servers, id)
			h.limits.broker.RemoveLimit(id)
			continue
		}
		if w.Limited {
			named++
		}
		if w.Limited && w.Received.After(k.forwardedAnswer) && now.Sub(k.forwardedAt) >= limitRepeatEvery {
			repeated, forwarded = append(repeated, limitObservation(now, id, k)), append(forwarded, k)
		}
	}
	if len(repeated) > 0 {
		h.forwardLimits(now, &wire.Message{Limits: &wire.Limits{Observations: repeated}}, forwarded...)
	}
	metric.LimitedServers.WithLabelValues(h.name).Set(float64(named))
}

// welcomeLimits tells the gateways that have begun to share with this replica of all limits.
// Callers hold the lock.
func (h *hub) sendAllLimits(now time.Time) {
	for l, g := range h.gateways {
		if g.reportsLoads && !g.limitsSent && l.Speaks() >= wire.KnowsLimits {
			g.limitsSent = true
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Observations: h.limitObservations(now), Supply: limitSupply(h.limits.supply)}})
		}
	}
}

// issueLimits sends the tokens that are due. Callers hold the lock.
func (h *hub) issueTokens(now time.Time) {
	grants, returned := h.limits.broker.Issue(now, h.worksWith)
	out := map[ratelimit.Requester]*wire.Limits{}
	messageTo := func(a ratelimit.Requester) *wire.Limits {
		if out[a] == nil {
			out[a] = &wire.Limits{}
		}
		return out[a]
	}
	for _, g := range grants {
		t := wire.LimitToken{Server: g.Server, Tokens: g.Tokens, For: g.TTL, Owner: g.Owner, Spare: g.Spare}
		m := messageTo(g.To)
		m.Tokens = append(m.Tokens, t)
	}
	for _, b := range returned {
		m := messageTo(ratelimit.Requester{Name: b.Owner, Replica: true})
		m.Back = append(m.Back, wire.LimitToken{Server: b.Server, Tokens: b.Tokens, For: b.TTL})
	}
	for a, m := range out {
		if l := h.requesterLink(a); l != nil {
			_ = l.Send(&wire.Message{Limits: m})
		}
	}
}

// askerLink returns the link on which somebody who wants tokens is told; nil if it has ended.
// Callers hold the lock.
func (h *hub) requesterLink(a ratelimit.Requester) *wire.Link {
	if a.Replica {
		return h.limitPeer(a.Name)
	}
	if g := h.gatewaysByID[a.Name]; g != nil {
		return g.link
	}
	return nil
}

// worksWith tells whether a gateway works with a server. Callers hold the lock.
func (h *hub) worksWith(gateway, server string) bool {
	g := h.gatewaysByID[gateway]
	if g == nil {
		return false
	}
	_, works := g.servers[server]
	return works
}

// peerNamed returns the link on which a replica that knows limits is told; nil if there is none.
// Callers hold the lock.
func (h *hub) limitPeer(name string) *wire.Link {
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
func (h *hub) sendSupply(now time.Time) {
	supply, changed := h.limits.broker.Supply(now), map[string]ratelimit.Supply{}
	for service, s := range supply {
		if s != h.limits.supply[service] {
			changed[service] = s
		}
	}
	for service := range h.limits.supply {
		if _, listed := supply[service]; !listed {
			changed[service] = ratelimit.Supply{}
		}
	}
	h.limits.supply = supply
	if len(changed) == 0 {
		return
	}
	for l, g := range h.gateways {
		if g.limitsSent {
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
