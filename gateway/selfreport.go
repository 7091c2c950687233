package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/selfreport"
	"github.com/ledgepin/ledgepin/wire"
)

// mostReportLines bounds the servers and fields of which lines are written in a while.
const maxReportLines = 64

// pausedServers is what a gateway keeps of pauses beside the servers. The fleet's lock guards it.
type pausedServers struct {
	// some tells that some server wants a pause, or did until just before. It is read without
	// the lock, by each request.
	present atomic.Bool
	// told are the servers whose pause was logged and is not over.
	logged map[string]bool
}

// answered takes what the head of an answer says of its server. The answer came to a request that
// was sent some time ago.
func (g *Gateway) noteAnswer(id string, ago time.Duration, status int, head http.Header) {
	if id == "" {
		return
	}
	r := g.cfg.Protocol.SelfReport(status, head)
	if r.Empty() && !g.fleet.limited.present.Load() {
		return
	}
	now := g.clock.Now()
	r.Sent, r.Received = now.Add(-ago), now
	g.countReport(id, &r)
	for _, c := range g.fleet.observe(id, r) {
		g.logChange(c, &r)
	}
}

// countReport counts what a server says of itself, and writes what can't be read.
func (g *Gateway) countReport(id string, r *selfreport.Report) {
	if r.Empty() {
		return
	}
	s, ok := g.fleet.lookup(id)
	if !ok {
		return
	}
	for _, f := range r.Fields() {
		metric.ServerReports.WithLabelValues(s.Service, string(f)).Inc()
	}
	for _, u := range r.UnreadableFields {
		metric.ServerReportsUnread.WithLabelValues(s.Service, string(u.Field)).Inc()
		if g.unreadReports.Allow(r.Received, id+string(u.Field)) {
			event.ServerReportUnread.Log(g.log, "server", s.StableName(), "service", s.Service, "field", string(u.Field), "values", truncated(u.Values))
		}
	}
}

// clipped returns values that a server decides on, short enough for a log line.
func truncated(values []string) []string {
	const maxValues, maxBytes = 3, 40
	out := make([]string, 0, maxValues)
	for _, v := range values[:min(len(values), maxValues)] {
		out = append(out, v[:min(len(v), maxBytes)])
	}
	return out
}

// logChange writes what a report of a server has changed.
func (g *Gateway) logChange(c dispatch.Change, r *selfreport.Report) {
	if c.Field == selfreport.Limit {
		g.logLimit(c.Limit, sourceServer)
		return
	}
	event.ServerReport.Log(g.log, "server", c.Server.StableName(), "service", c.Server.Service, "field", string(c.Field),
		"pause_ms", c.Pause.Milliseconds(), "age_ms", r.Received.Sub(r.Sent).Milliseconds())
}

// observe takes what an answer of a server says of the server, and returns what has changed.
func (f *fleet) observe(id string, r selfreport.Report) []dispatch.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	changes := f.view.Observe(now, id, r)
	for _, c := range changes {
		switch c.Field {
		case selfreport.Limit:
			f.limited.present.Store(f.view.CountLimited(now) > 0)
		case selfreport.RetryAfter:
			f.paused.present.Store(true)
			f.paused.logged[id] = true
			time.AfterFunc(f.view.PauseRemaining(now, id), f.serveAfterPause)
		}
	}
	return changes
}

// wake serves the requests that wait for a server to be back.
func (f *fleet) serveAfterPause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue()
}

// endPauses returns the servers whose pauses are over since the last call. Callers hold the lock.
func (f *fleet) expiredPauses(now time.Time) []dispatch.Server {
	var out []dispatch.Server
	for id := range f.paused.logged {
		if f.view.PauseRemaining(now, id) > 0 {
			continue
		}
		delete(f.paused.logged, id)
		if s := f.view.Get(id); s != nil {
			out = append(out, *s)
		}
	}
	f.paused.present.Store(f.view.CountPaused(now) > 0)
	return out
}

// pauses returns how long this gateway still stays away from each server that wants that, in
// milliseconds.
func (f *fleet) pausesMs() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{}
	for _, s := range f.view.List() {
		if remaining := s.PauseRemaining(f.clock.Now()); remaining > 0 {
			out[s.StableName()] = remaining.Milliseconds()
		}
	}
	return out
}

// admit tells why a server takes no request or call now, or counts it. Those that were placed at
// the server were counted against its limit then.
func (f *fleet) admit(r *backend.Request) error {
	paused, limited := f.paused.present.Load(), f.limited.present.Load() && !r.Admitted
	if r.Server == "" || !paused && !limited {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	switch {
	case !f.view.AdmitCall(now, r.Server, r.Frees):
		return backend.ErrPaused
	case !limited:
	case r.Frees: // nothing may stay held for a request that has ended
		f.view.OweToken(now, r.Server)
	case !f.view.TakeToken(now, r.Server):
		return backend.ErrLimited
	}
	return nil
}

// awaitsPause returns how long it takes until the first server in a role is back from a pause;
// false if some server wants none, or there is none at all.
func (f *fleet) minPauseRemaining(w dispatch.Work, role string) (time.Duration, bool) {
	if !f.paused.present.Load() {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.MinPauseRemaining(f.clock.Now(), w, role)
}

// tellLeaving tells a replica of control which servers have said that they leave.
func (l *links) sendLeaving(hub *wire.Link) {
	if hub.Speaks() < wire.KnowsLeaving {
		return
	}
	f := l.g.fleet
	f.mu.Lock()
	list := f.view.UnsentLeaving()
	f.mu.Unlock()
	if len(list) > 0 {
		_ = hub.Send(&wire.Message{Servers: &wire.Servers{List: list}})
	}
}
