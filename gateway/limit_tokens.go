package gateway

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// Times and bounds of asks for tokens.
const (
	// askInterval is the time after which an unchanged ask for tokens is repeated to control, and
	// minAskChange the fraction by which the request rate must have changed for an ask before that.
	askInterval  = 400 * time.Millisecond
	minAskChange = 0.25
	// minAskRate is the request rate, per second, below which no tokens are asked for.
	minAskRate = 0.01
	// standaloneAfter is how long a gateway must have been disconnected from control before it uses
	// its own share of each limit.
	standaloneAfter = time.Second
)

// updateLimits applies a replica's report on limits; tokens and supply come only from the hub.
func (l *links) updateLimits(address string, m *wire.Limits) {
	l.mu.Lock()
	hub := address == l.hub
	l.mu.Unlock()
	f := l.g.fleet
	f.mu.Lock()
	now := f.clock.Now()
	var changes []dispatch.LimitChange
	for _, w := range m.Observations {
		observed := ratelimit.Observation{Limited: w.Named, Rate: w.Rate, Sent: now.Add(-w.Sent), Received: now.Add(-w.Heard)}
		if change, ok := f.view.ApplyLimit(now, w.Server, observed); ok {
			changes = append(changes, change)
		}
	}
	f.limited.present.Store(f.view.CountLimited(now) > 0)
	var returned []wire.LimitToken
	if hub {
		f.limited.setSupply(m.Supply)
		returned = f.grantTokens(now, m.Tokens)
	}
	f.mu.Unlock()
	for _, c := range changes {
		l.g.logLimit(c, sourceControl)
	}
	if len(returned) > 0 {
		l.send(address, &wire.Message{Limits: &wire.Limits{Back: returned}})
	}
}

// send sends a message to a replica if its link is open.
func (l *links) send(address string, m *wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil && p.link != nil {
		_ = p.link.Send(m)
	}
}

func (s *limitedServers) setSupply(list []wire.LimitSupply) {
	if s.supply == nil {
		s.supply = map[string]ratelimit.Supply{}
	}
	for _, one := range list {
		s.supply[one.Service] = ratelimit.Supply{Rate: one.Rate, Waiting: one.Waiting}
	}
}

// grantTokens assigns tokens to the requests that wait for them, and returns the tokens for which
// this gateway has no use. The caller holds f.mu.
func (f *fleet) grantTokens(now time.Time, tokens []wire.LimitToken) []wire.LimitToken {
	if len(tokens) == 0 {
		return nil
	}
	if f.limited.received == nil {
		f.limited.received = map[string]int{}
	}
	for _, t := range tokens {
		if service := f.view.GrantTokens(now, t.Server, ratelimit.Token{Owner: t.Owner, Spare: t.Spare}, t.Tokens, t.For); service != "" {
			f.limited.received[service] += t.Tokens
		}
	}
	f.serveQueue()
	var out []wire.LimitToken
	for _, t := range tokens {
		for _, b := range f.view.ReleaseSurplus(now, t.Server) {
			out = append(out, wire.LimitToken{Server: b.Server, Tokens: b.Tokens, For: b.TTL, Owner: b.Owner})
		}
	}
	return out
}

// sendLimits sends the hub what servers report about their limits, and asks it for tokens. hub is
// nil if there is none.
func (l *links) sendLimits(now time.Time, hub *wire.Link) {
	f := l.g.fleet
	supported := hub != nil && hub.Version() >= wire.LimitsVersion && l.connected()
	f.mu.Lock()
	if supported || f.limited.connectedAt.IsZero() {
		f.limited.connectedAt = now
	}
	f.view.Standalone = now.Sub(f.limited.connectedAt) >= standaloneAfter // also for the next limit that is reported
	if !f.limited.present.Load() {
		f.mu.Unlock()
		return
	}
	f.view.SetStandaloneRates(now)
	var m *wire.Limits
	if supported {
		m = f.unsentLimits(now)
	}
	f.servePlainQueue()
	f.mu.Unlock()
	if m != nil {
		_ = hub.Send(&wire.Message{Limits: m})
	}
}

// unsentLimits returns what has to be sent to control about limits; nil if nothing. The caller
// holds f.mu.
func (f *fleet) unsentLimits(now time.Time) *wire.Limits {
	out := &wire.Limits{}
	for _, w := range f.view.UnsentLimits(now) {
		out.Observations = append(out.Observations, wire.LimitObservation{
			Server: w.Server, Named: w.Observation.Limited, Rate: w.Observation.Rate, Sent: now.Sub(w.Observation.Sent), Heard: now.Sub(w.Observation.Received),
		})
	}
	asks := f.limitAsks(now)
	if now.Sub(f.limited.askedAt) >= askInterval || f.limited.asksChanged(asks) {
		f.limited.lastAsks, f.limited.askedAt = asks, now
		for _, a := range asks {
			out.Asks = append(out.Asks, a)
		}
	}
	if len(out.Observations)+len(out.Asks) == 0 {
		return nil
	}
	return out
}

// limitAsks returns the asks for the services that have limited servers: the request rate and the
// number of waiting requests. The caller holds f.mu.
func (f *fleet) limitAsks(now time.Time) map[string]wire.LimitAsk {
	out := map[string]wire.LimitAsk{}
	for service, rate := range f.view.LimitedServiceRates(now) {
		a := wire.LimitAsk{Service: service, Rate: rate, Got: f.limited.received[service]}
		a.Waiting, a.Priority = f.queue.CountWaiting(service) // nonzero for the services of engines
		for _, w := range f.limited.waiting {
			if w.work.Service != service {
				continue
			}
			if a.Waiting == 0 {
				a.Priority = w.priority
			}
			a.Waiting++
		}
		if a.Rate >= minAskRate || a.Waiting > 0 {
			out[service] = a
		}
	}
	return out
}

// asksChanged reports whether asks differ enough from those that were sent last.
func (s *limitedServers) asksChanged(asks map[string]wire.LimitAsk) bool {
	if len(asks) != len(s.lastAsks) {
		return true
	}
	for service, a := range asks {
		last, ok := s.lastAsks[service]
		if !ok || a.Waiting != last.Waiting || a.Priority != last.Priority || math.Abs(a.Rate-last.Rate) > minAskChange*last.Rate {
			return true
		}
	}
	return false
}
