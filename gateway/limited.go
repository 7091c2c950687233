package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// mostUnreadLimits bounds the servers of which a line a minute is written that their limit can't
// be read.
const mostUnreadLimits = 64

// limitedServers is what a gateway knows of limits beside the servers. The fleet's lock guards it.
type limitedServers struct {
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
func (s *limitedServers) retell(view *dispatch.Fleet) {
	s.got, s.asked, s.supply = nil, nil, nil
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
	if len(values) == 0 && !g.fleet.limited.some.Load() {
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
		if s, ok := g.fleet.server(id); ok {
			metric.LimitedAnswers.WithLabelValues(s.Service).Inc()
		}
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
		f.limited.some.Store(f.view.Limited(now) > 0)
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

// admit tells whether a server takes a request that was not placed there before, and counts it. One
// that frees something always goes: nothing may stay held for a request that has ended.
func (f *fleet) admit(id string, frees bool) bool {
	if id == "" || !f.limited.some.Load() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if frees {
		f.view.Owe(f.clock.Now(), id)
		return true
	}
	return f.view.Admit(f.clock.Now(), id)
}

// onlyTokensLack tells whether a request could go to some server if that took more.
func (f *fleet) onlyTokensLack(q *request) bool {
	if !f.limited.some.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.OnlyTokensLack(f.clock.Now(), q.work, q.tried)
}
