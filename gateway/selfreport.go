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

// maxReportLines bounds the servers and fields that are logged in a minute.
const maxReportLines = 64

// pausedServers is the state that a gateway keeps about pauses in addition to that of the
// dispatch.Fleet. It is guarded by fleet.mu.
type pausedServers struct {
	// present is set while some server has asked for a pause, or did until just before. It is read
	// without the lock, for each request.
	present atomic.Bool
	// logged are the servers whose pause was logged and has not ended.
	logged map[string]bool
}

// noteAnswer evaluates what the header of an answer reports about its server. The request was sent
// the given time ago.
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

// countReport counts what a server reports about itself, and logs what is unreadable.
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
		metric.UnreadableServerReports.WithLabelValues(s.Service, string(u.Field)).Inc()
		if g.unreadReports.Allow(r.Received, id+string(u.Field)) {
			event.ServerReportUnreadable.Log(g.log, "server", s.StableName(), "service", s.Service, "field", string(u.Field), "values", truncated(u.Values))
		}
	}
}

// truncated shortens values that a server controls for a log line.
func truncated(values []string) []string {
	const maxValues, maxBytes = 3, 40
	out := make([]string, 0, maxValues)
	for _, v := range values[:min(len(values), maxValues)] {
		out = append(out, v[:min(len(v), maxBytes)])
	}
	return out
}

// logChange logs what a report of a server has changed.
func (g *Gateway) logChange(c dispatch.Change, r *selfreport.Report) {
	if c.Field == selfreport.Limit {
		g.logLimit(c.Limit, sourceServer)
		return
	}
	event.ServerReport.Log(g.log, "server", c.Server.StableName(), "service", c.Server.Service, "field", string(c.Field),
		"pause_ms", c.Pause.Milliseconds(), "age_ms", r.Received.Sub(r.Sent).Milliseconds())
}

// observe applies what an answer reports about its server, and returns the changes.
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

// serveAfterPause serves the requests that wait for the end of a server's pause.
func (f *fleet) serveAfterPause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue()
}

// expiredPauses returns the servers whose pauses have ended since the last call. The caller holds
// f.mu.
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

// pausesMs returns the remaining time for which this gateway avoids each paused server, in
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

// admit returns why a server accepts no request or call now, or else counts it. Requests with
// Admitted set were counted against the server's limit when they were placed there.
func (f *fleet) admit(r *backend.Request) error {
	paused, limited := f.paused.present.Load(), f.limited.present.Load() && !r.Admitted
	if r.Server == "" || !paused && !limited {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	switch {
	case !f.view.AdmitCall(now, r.Server, r.Cleanup):
		return backend.ErrPaused
	case !limited:
	case r.Cleanup: // nothing may stay reserved for a request that has ended
		f.view.OweToken(now, r.Server)
	case !f.view.TakeToken(now, r.Server):
		return backend.ErrLimited
	}
	return nil
}

// minPauseRemaining returns how long it takes until the first server in a role ends its pause;
// false if some server has none, or if there is no server.
func (f *fleet) minPauseRemaining(w dispatch.Work, role string) (time.Duration, bool) {
	if !f.paused.present.Load() {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.MinPauseRemaining(f.clock.Now(), w, role)
}

// sendLeaving notifies the hub of the servers that have reported that they are leaving.
func (l *links) sendLeaving(hub *wire.Link) {
	if hub.Version() < wire.LeavingVersion {
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
