package gateway

import (
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/selfreport"
)

// mostReportLines bounds the servers and fields of which lines are written in a while.
const mostReportLines = 64

// answered takes what the head of an answer says of its server. The answer came to a request that
// was sent some time ago.
func (g *Gateway) answered(id string, ago time.Duration, status int, head http.Header) {
	if id == "" {
		return
	}
	r := g.cfg.Protocol.SelfReport(status, head)
	if r.Empty() && !g.fleet.limited.some.Load() {
		return
	}
	now := g.clock.Now()
	r.Sent, r.Heard = now.Add(-ago), now
	g.countReport(id, &r)
	if g.cfg.Protocol.ParseLimit == nil || hasUnread(&r, selfreport.Limit) {
		return
	}
	w := ratelimit.Word{Sent: r.Sent, Heard: r.Heard}
	if r.Limit != nil {
		w.Named, w.Rate = true, *r.Limit
	}
	if change, ok := g.fleet.noteLimit(id, w); ok {
		g.logLimit(change, byServer)
	}
}

func hasUnread(r *selfreport.Report, f selfreport.Field) bool {
	for _, u := range r.Unread {
		if u.Field == f {
			return true
		}
	}
	return false
}

// countReport counts what a server says of itself, and writes what can't be read.
func (g *Gateway) countReport(id string, r *selfreport.Report) {
	if r.Empty() {
		return
	}
	s, ok := g.fleet.server(id)
	if !ok {
		return
	}
	for _, f := range r.Says() {
		metric.ServerReports.WithLabelValues(s.Service, string(f)).Inc()
		if f != selfreport.Limit && g.reportLines.Allow(r.Heard, id+string(f)) {
			event.ServerReport.Log(g.log, "server", s.Called(), "service", s.Service, "field", string(f), "retry_after_ms", r.RetryAfter.Milliseconds(), "age_ms", r.Heard.Sub(r.Sent).Milliseconds())
		}
	}
	for _, u := range r.Unread {
		metric.ServerReportsUnread.WithLabelValues(s.Service, string(u.Field)).Inc()
		if g.unreadReports.Allow(r.Heard, id+string(u.Field)) {
			event.ServerReportUnread.Log(g.log, "server", s.Called(), "service", s.Service, "field", string(u.Field), "values", clipped(u.Values))
		}
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
