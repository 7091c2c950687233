package gateway

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of limits that servers name.
const (
	// askAgain is the time after which control is asked again for tokens where nothing has
	// changed, and askChange the part by which the rate of requests must have changed.
	askAgain  = 400 * time.Millisecond
	askChange = 0.25
	// leastAsk is the rate of requests below which none is asked for.
	leastAsk = 0.01
	// aloneAfter is how long a gateway must have been out of touch before it sends its own part
	// of each limit.
	aloneAfter = time.Second
)

// mostUnreadLimits bounds the servers of which a line a minute is written that their limit can't
// be read.
const mostUnreadLimits = 64

// limitState is what a gateway knows of limits beside the servers. The fleet's lock guards it.
type limitState struct {
	// some tells that some server names a limit. It is read without the lock, by each answer.
	some atomic.Bool
	// waiting are the requests that wait for a token, the first to be served first.
	waiting []*tokenWaiter
	// supply is what control tells of the limited servers of each service.
	supply map[string]ratelimit.Supply
	// got counts the tokens that came, by service, since this gateway shares with its replica.
	got map[string]int
	// asked is what that replica was told last, at askedAt.
	asked   map[string]wire.LimitAsk
	askedAt time.Time
	// touchAt is when this gateway was in touch last.
	touchAt time.Time
}

// retell has another replica told of everything.
func (s *limitState) retell(view *dispatch.Fleet) {
	s.got, s.asked = nil, nil
	view.RetellLimits()
}

// answered takes what the head of an answer says of the server's limit. The answer came to a
// request that was sent some time ago.
func (g *Gateway) answered(id string, ago time.Duration, head http.Header) {
	p := &g.cfg.Protocol
	if p.ParseLimit == nil || id == "" {
		return
	}
	values := head.Values(p.Headers.Limit)
	if len(values) == 0 && !g.fleet.limits.some.Load() {
		return
	}
	now := g.clock.Now()
	w := ratelimit.Word{Named: len(values) > 0, Sent: now.Add(-ago), Heard: now}
	if w.Named {
		rate, ok := p.ParseLimit(values)
		if !ok {
			g.unreadLimit(now, id, values)
			return
		}
		w.Rate = rate
	}
	if change, ok := g.fleet.noteLimit(id, w); ok {
		g.logLimit(change, byServer)
	}
}

// By whom a gateway is told of a limit, for the log.
const (
	byServer  = "server"
	byControl = "control"
)

func (g *Gateway) logLimit(c dispatch.LimitChange, by string) {
	event.ServerLimit.Log(g.log, "server", c.Server.Called(), "service", c.Server.Service, "rate", c.Word.Rate, "ended", !c.Word.Named, "by", by, "sent", c.Sent)
}

func (g *Gateway) unreadLimit(now time.Time, id string, values []string) {
	s, ok := g.fleet.server(id)
	if !ok {
		return
	}
	metric.LimitsUnread.WithLabelValues(s.Service).Inc()
	if g.unreadLimits.Allow(now, id) {
		event.ServerLimitUnread.Log(g.log, "server", s.Called(), "service", s.Service, "values", clipped(values))
	}
}

// clipped returns values that a server decides on, short enough for a log line.
func clipped(values []string) []string {
	const mostValues, mostBytes = 3, 40
	out := make([]string, 0, mostValues)
	for _, v := range values[:min(len(values), mostValues)] {
		out = append(out, v[:min(len(v), mostBytes)])
	}
	return out
}

// noteLimit takes what a server says of its limit; false if that changes nothing.
func (f *fleet) noteLimit(id string, w ratelimit.Word) (dispatch.LimitChange, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	change, ok := f.view.NoteLimit(now, id, w)
	if ok {
		f.limits.some.Store(f.view.Limited(now) > 0)
	}
	return change, ok
}

// server returns a server as it is known.
func (f *fleet) server(id string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.Get(id)
	if s == nil {
		return dispatch.Server{}, false
	}
	return *s, true
}

// admit tells whether a server takes a request that was not placed there before, and counts it.
func (f *fleet) admit(id string) bool {
	if id == "" || !f.limits.some.Load() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Admit(f.clock.Now(), id)
}

// onlyTokensLack tells whether a request could go to some server if that took more.
func (f *fleet) onlyTokensLack(q *request) bool {
	if !f.limits.some.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.OnlyTokensLack(f.clock.Now(), q.work, q.tried)
}

// tokenWaiter is a request to a plain service that waits for a token.
type tokenWaiter struct {
	work     dispatch.Work
	avoid    dispatch.Avoid
	priority int
	// due is when its answer is late.
	due time.Time
	got chan dispatch.Server
}

// awaitToken has a request wait for a token, if one is likely to come in time: the most urgent
// are served first, and of these those that are due first.
func (g *Gateway) awaitToken(ctx context.Context, q *request) (dispatch.Server, bool) {
	f := g.fleet
	limit := q.route.Target/2 - g.clock.Since(q.arrived)
	f.mu.Lock()
	if f.limits.wait(q.service.Name) > limit {
		f.mu.Unlock()
		return dispatch.Server{}, false
	}
	w := &tokenWaiter{work: q.work, avoid: q.tried, priority: q.organisation.Rank(q.route), due: q.arrived.Add(q.route.Target), got: make(chan dispatch.Server, 1)}
	f.limits.add(w)
	f.serveLimited()
	f.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case s := <-w.got:
		return s, true
	case <-t.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.remove(w)
	select {
	case s := <-w.got: // at the last moment
		return s, true
	default:
		return dispatch.Server{}, false
	}
}

// wait returns how long a request that comes now is likely to wait for a token.
func (s *limitState) wait(service string) time.Duration {
	supply := s.supply[service]
	if supply.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(supply.Waiting+1) / supply.Rate * float64(time.Second))
}

func (s *limitState) add(w *tokenWaiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *tokenWaiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), -1)
	})
	s.waiting = slices.Insert(s.waiting, at, w)
}

func (s *limitState) remove(w *tokenWaiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *tokenWaiter) bool { return o == w })
}

// serveLimited places the requests that wait for a token. Callers hold the lock.
func (f *fleet) serveLimited() {
	now := f.clock.Now()
	f.limits.waiting = slices.DeleteFunc(f.limits.waiting, func(w *tokenWaiter) bool {
		s := f.view.Plain(now, w.work, w.avoid)
		if s == nil {
			return false
		}
		w.got <- f.begin(now, s)
		return true
	})
}

// begin counts a request at a plain server that was chosen. Callers hold the lock.
func (f *fleet) begin(now time.Time, s *dispatch.Server) dispatch.Server {
	s.Open++
	f.view.Sent(now, s.ID)
	if f.view.IsLimited(now, s) {
		metric.LimitedSends.WithLabelValues(s.Service).Inc()
	}
	return *s
}

// Bounds of the time after which a caller comes back that found no token.
const (
	leastLimitedRetry = 100 * time.Millisecond
	mostLimitedRetry  = 2 * time.Second
)

// refuseLimited refuses a request whose servers take no more.
func (g *Gateway) refuseLimited(w http.ResponseWriter, q *request) {
	g.fleet.mu.Lock()
	wait := g.fleet.limits.wait(q.service.Name)
	g.fleet.mu.Unlock()
	most := mostLimitedRetry
	if q.route.Target > 0 {
		most = max(q.route.Target/2, leastLimitedRetry)
	}
	g.refuse(w, q.id, refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the servers take no more requests now",
		retryAfter: spread(min(max(wait, leastLimitedRetry), most)),
	})
}

// limits takes what a replica tells of limits; only the one that this gateway shares with tells
// of tokens and supply.
func (l *links) limits(address string, m *wire.Limits) {
	l.mu.Lock()
	hub := address == l.hub
	l.mu.Unlock()
	f := l.g.fleet
	f.mu.Lock()
	now := f.clock.Now()
	var changes []dispatch.LimitChange
	for _, w := range m.Words {
		word := ratelimit.Word{Named: w.Named, Rate: w.Rate, Sent: now.Add(-w.Sent), Heard: now.Add(-w.Heard)}
		if change, ok := f.view.TellLimit(now, w.Server, word); ok {
			changes = append(changes, change)
		}
	}
	f.limits.some.Store(f.view.Limited(now) > 0)
	var back []wire.LimitToken
	if hub {
		f.limits.setSupply(m.Supply)
		back = f.takeTokens(now, m.Tokens)
	}
	f.mu.Unlock()
	for _, c := range changes {
		l.g.logLimit(c, byControl)
	}
	if len(back) > 0 {
		l.send(address, &wire.Message{Limits: &wire.Limits{Back: back}})
	}
}

// send sends to a replica, if its link is open.
func (l *links) send(address string, m *wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil && p.link != nil {
		_ = p.link.Send(m)
	}
}

func (s *limitState) setSupply(list []wire.LimitSupply) {
	if s.supply == nil {
		s.supply = map[string]ratelimit.Supply{}
	}
	for _, one := range list {
		s.supply[one.Service] = ratelimit.Supply{Rate: one.Rate, Waiting: one.Waiting}
	}
}

// takeTokens places the requests that wait for tokens, and returns those that nobody here has use
// for. Callers hold the lock.
func (f *fleet) takeTokens(now time.Time, tokens []wire.LimitToken) []wire.LimitToken {
	if len(tokens) == 0 {
		return nil
	}
	if f.limits.got == nil {
		f.limits.got = map[string]int{}
	}
	for _, t := range tokens {
		if service := f.view.Grant(now, t.Server, ratelimit.Token{Owner: t.Owner, Spare: t.Spare}, t.Tokens, t.For); service != "" {
			f.limits.got[service] += t.Tokens
		}
	}
	f.serve()
	var out []wire.LimitToken
	for _, t := range tokens {
		for _, b := range f.view.Surplus(now, t.Server) {
			out = append(out, wire.LimitToken{Server: b.Server, Tokens: b.Tokens, For: b.For, Owner: b.Owner})
		}
	}
	return out
}

// tellLimits tells the replica that this gateway shares with what servers say of their limits, and
// asks it for tokens; hub is nil if there is none.
func (l *links) tellLimits(now time.Time, hub *wire.Link) {
	f := l.g.fleet
	knows := hub != nil && hub.Speaks() >= wire.KnowsLimits && l.inTouch()
	f.mu.Lock()
	if knows || f.limits.touchAt.IsZero() {
		f.limits.touchAt = now
	}
	if !f.limits.some.Load() {
		f.mu.Unlock()
		return
	}
	f.view.SetAlone(now, now.Sub(f.limits.touchAt) >= aloneAfter, f.view.Others.Gateways)
	var m *wire.Limits
	if knows {
		m = f.untoldLimits(now)
	}
	f.serveLimited()
	f.mu.Unlock()
	if m != nil {
		_ = hub.Send(&wire.Message{Limits: m})
	}
}

// untoldLimits returns what control has to hear of limits; nil if nothing. Callers hold the lock.
func (f *fleet) untoldLimits(now time.Time) *wire.Limits {
	out := &wire.Limits{}
	for _, w := range f.view.UntoldLimits(now) {
		out.Words = append(out.Words, wire.LimitWord{
			Server: w.Server, Named: w.Word.Named, Rate: w.Word.Rate, Sent: now.Sub(w.Word.Sent), Heard: now.Sub(w.Word.Heard),
		})
	}
	asks := f.limitAsks(now)
	if now.Sub(f.limits.askedAt) >= askAgain || f.limits.asksChanged(asks) {
		f.limits.asked, f.limits.askedAt = asks, now
		for _, a := range asks {
			out.Asks = append(out.Asks, a)
		}
	}
	if len(out.Words)+len(out.Asks) == 0 {
		return nil
	}
	return out
}

// limitAsks returns what this gateway would send to the services that have limited servers.
// Callers hold the lock.
func (f *fleet) limitAsks(now time.Time) map[string]wire.LimitAsk {
	out := map[string]wire.LimitAsk{}
	for service, rate := range f.view.LimitedRates(now) {
		a := wire.LimitAsk{Service: service, Rate: rate, Got: f.limits.got[service]}
		for _, w := range f.limits.waiting {
			if w.work.Service != service {
				continue
			}
			if a.Waiting == 0 {
				a.Priority = w.priority
			}
			a.Waiting++
		}
		if a.Rate >= leastAsk || a.Waiting > 0 {
			out[service] = a
		}
	}
	return out
}

// asksChanged tells whether what is wanted differs from what was told.
func (s *limitState) asksChanged(asks map[string]wire.LimitAsk) bool {
	if len(asks) != len(s.asked) {
		return true
	}
	for service, a := range asks {
		told, ok := s.asked[service]
		if !ok || a.Waiting != told.Waiting || a.Priority != told.Priority || math.Abs(a.Rate-told.Rate) > askChange*told.Rate {
			return true
		}
	}
	return false
}
