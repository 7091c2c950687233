package gateway

import (
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
)

// mostUnreadLimits bounds the servers of which a line a minute is written that their limit can't
// be read.
const mostUnreadLimits = 64

// answered takes what the head of an answer says of the server's limit. The answer came to a
// request that was sent some time ago.
func (g *Gateway) answered(id string, ago time.Duration, head http.Header) {
	p := &g.cfg.Protocol
	if p.ParseLimit == nil || id == "" {
		return
	}
	values := head.Values(p.Headers.Limit)
	if len(values) == 0 && !g.fleet.someLimited() {
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
	metric.LimitedServers.WithLabelValues(g.cfg.Name).Set(float64(g.fleet.limitedServers()))
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
	change, ok := f.view.NoteLimit(f.clock.Now(), id, w)
	if ok {
		f.limited.Store(f.view.Limited() > 0)
	}
	return change, ok
}

// sending counts a request that goes to a server, if that names a limit.
func (f *fleet) sending(id string) {
	if id == "" || !f.someLimited() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.view.Get(id); s != nil && f.view.CountLimited(f.clock.Now(), s) {
		metric.LimitedSends.WithLabelValues(s.Service).Inc()
	}
}

// someLimited tells whether some server names a limit. It takes no lock, since each answer asks.
func (f *fleet) someLimited() bool { return f.limited.Load() }

func (f *fleet) limitedServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Limited()
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
