package control

import (
	"time"

	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Intervals and timeouts of limits.
const (
	// limitsEvery is the interval at which due tokens are issued.
	limitsEvery = 50 * time.Millisecond
	// limitRepeatEvery is the interval at which the other replicas are notified that a
	// server still reports its limit, so that an answer to a request sent earlier does
	// not end the limit.
	limitRepeatEvery = 400 * time.Millisecond
	// limitRetention is how long the end of a limit is remembered, so that a delayed
	// answer does not start the limit again. It is also how long the limit of a server is
	// kept that is no longer listed.
	limitRetention = 10 * time.Second
)

// limits is the state of the servers that report a limit of requests per second.
type limits struct {
	broker   *ratelimit.Broker
	servers  map[string]*serverLimit
	tickedAt time.Time
	// supply is what gateways have received about the limited servers of each service.
	supply map[string]ratelimit.Supply
}

// serverLimit is the limit of one incarnation of a server.
type serverLimit struct {
	ratelimit.Limit
	// forwardedAt is when the other replicas were last notified, and forwardedAnswer the
	// time of the newest answer that they were notified of.
	forwardedAt, forwardedAnswer time.Time
	// listedAt is when the server was last listed.
	listedAt time.Time
}

func newLimits(now time.Time, self string) limits {
	return limits{broker: ratelimit.NewBroker(now, self), servers: map[string]*serverLimit{}, supply: map[string]ratelimit.Supply{}}
}

// handleLimits handles a limits message of a gateway.
func (h *hub) handleLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil {
		return
	}
	h.handleLimitMessage(ratelimit.Requester{Name: g.id}, m)
}

// handlePeerLimits handles a limits message of another replica.
func (h *hub) handlePeerLimits(l *wire.Link, m *wire.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handleLimitMessage(ratelimit.Requester{Name: baseName(l.Peer.Name), Replica: true}, m)
}

// handleLimitMessage handles a limits message and issues at once the tokens that are due
// because of it. Callers hold h.mu.
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

// recordObservation records what a server reported about its limit in an answer, and
// forwards it if it changes what the server accepts. Callers hold h.mu.
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

// forwardLimits sends limits to the other replicas. Callers hold h.mu.
func (h *hub) forwardLimits(now time.Time, m *wire.Message, forwarded ...*serverLimit) {
	for l := range h.peers {
		if l.Version() >= wire.LimitsVersion {
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

// limitObservations returns the newest observation of every server with a limit. Callers
// hold h.mu.
func (h *hub) limitObservations(now time.Time) []wire.LimitObservation {
	var out []wire.LimitObservation
	for id, k := range h.limits.servers {
		out = append(out, limitObservation(now, id, k))
	}
	return out
}

// sendLimitObservations sends the newest observations of all limits over a link. Callers hold h.mu.
func (h *hub) sendLimitObservations(l *wire.Link) {
	if list := h.limitObservations(h.clock.Now()); len(list) > 0 && l.Version() >= wire.LimitsVersion {
		_ = l.Send(&wire.Message{Limits: &wire.Limits{Observations: list}})
	}
}

// setLimit sets the rate that a server accepts now in the broker. Callers hold h.mu.
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

// isLimited reports whether a server has a limit. Such a server gets no role orders, and
// other servers have to do its work. Callers hold h.mu.
func (h *hub) isLimited(now time.Time, id string) bool {
	k := h.limits.servers[id]
	if k == nil {
		return false
	}
	_, limited := k.Rate(now)
	return limited
}

// tickLimits does the periodic work for servers that report a limit; nothing if there are
// none. Callers hold h.mu.
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

// reviewLimits updates the limits in the broker, forgets those that have ended, and
// notifies the other replicas of those that continue. Callers hold h.mu.
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

// sendAllLimits sends all limits to the gateways that have started to report their load to
// this replica. Callers hold h.mu.
func (h *hub) sendAllLimits(now time.Time) {
	for l, g := range h.gateways {
		if g.reportsLoads && !g.limitsSent && l.Version() >= wire.LimitsVersion {
			g.limitsSent = true
			_ = l.Send(&wire.Message{Limits: &wire.Limits{Observations: h.limitObservations(now), Supply: limitSupply(h.limits.supply)}})
		}
	}
}

// issueTokens sends the tokens that are due. Callers hold h.mu.
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

// requesterLink returns the link of a gateway or replica that requests tokens; nil if it
// has ended. Callers hold h.mu.
func (h *hub) requesterLink(a ratelimit.Requester) *wire.Link {
	if a.Replica {
		return h.limitPeer(a.Name)
	}
	if g := h.gatewaysByID[a.Name]; g != nil {
		return g.link
	}
	return nil
}

// worksWith reports whether a gateway works with a server. Callers hold h.mu.
func (h *hub) worksWith(gateway, server string) bool {
	g := h.gatewaysByID[gateway]
	if g == nil {
		return false
	}
	_, works := g.servers[server]
	return works
}

// limitPeer returns the link of the named replica if its build supports limits; nil if
// there is none. Callers hold h.mu.
func (h *hub) limitPeer(name string) *wire.Link {
	for l := range h.peers {
		if baseName(l.Peer.Name) == name && l.Version() >= wire.LimitsVersion {
			return l
		}
	}
	return nil
}

// linkedReplicas returns the connected replicas whose builds support limits. Callers hold
// h.mu.
func (h *hub) linkedReplicas() []string {
	var out []string
	for l := range h.peers {
		if l.Version() >= wire.LimitsVersion {
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

// sendSupply sends the gateways that report their load here what the limited servers of
// each service accept, and how many requests wait for that, where it has changed. Callers
// hold h.mu.
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
