package control

import (
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
	"github.com/ledgepin/ledgepin/wire"
)

// handleLeaving handles servers that have reported in answers to a gateway that they are
// leaving. They are treated like servers whose heartbeats report it.
func (h *hub) handleLeaving(list []registry.Server) {
	for _, s := range list {
		if s.State == registry.Draining {
			h.markDraining(s.ID)
		}
	}
}

// markDraining marks a server as draining, and notifies gateways and replicas. It returns
// false if that is known, or if the incarnation is not the server's newest.
func (h *hub) markDraining(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.servers.Get(id)
	if !known || s.State != registry.Ready {
		return false
	}
	s.State = registry.Draining
	if changed, err := h.recordReport(h.clock.Now(), s); err != nil || !changed {
		return false
	}
	delete(h.localReports, id)
	m := &wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}}
	for l := range h.peers {
		_ = l.Send(m)
	}
	return true
}

// pausedEngines are the engines that have asked this replica to pause calls.
type pausedEngines struct {
	mu     sync.Mutex
	pauses map[string]*selfreport.Pause
}

// admit returns an error if an engine accepts no calls now.
func (p *pausedEngines) admit(now time.Time, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause := p.pauses[id]; pause != nil && !pause.AdmitCall(now, false) {
		return backend.ErrPaused
	}
	return nil
}

// pause records that an engine asks for a pause, and forgets pauses that have ended. It
// returns whether the pause is new.
func (p *pausedEngines) pause(now time.Time, id string, d time.Duration) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, pause := range p.pauses {
		if !pause.Active(now) {
			delete(p.pauses, other)
		}
	}
	if p.pauses[id] == nil {
		p.pauses[id] = &selfreport.Pause{}
	}
	return p.pauses[id].Extend(now, d, 0)
}

// newEnginePool returns the pool of connections for reports and role orders. What engines
// report in their answers applies to this replica too.
func (c *Control) newEnginePool() *backend.Pool {
	pool := backend.NewPool()
	paused := &pausedEngines{pauses: map[string]*selfreport.Pause{}}
	pool.Admit = func(r *backend.Request) error { return paused.admit(c.clock.Now(), r.Server) }
	pool.OnAnswer = func(id string, ago time.Duration, status int, head http.Header) {
		r := c.cfg.Roles.Protocol.SelfReport(status, head)
		if r.RetryAfter > 0 && paused.pause(c.clock.Now(), id, r.RetryAfter) {
			c.logReport(id, selfreport.RetryAfter, r.RetryAfter, ago)
		}
		if r.Leaving && c.hub.markDraining(id) {
			c.logReport(id, selfreport.Leaving, 0, ago)
		}
	}
	return pool
}

func (c *Control) logReport(id string, f selfreport.Field, pause, ago time.Duration) {
	s, _ := c.hub.server(id)
	event.ServerReport.Log(c.log, "server", s.StableName(), "service", s.Service, "field", string(f), "pause_ms", pause.Milliseconds(), "age_ms", ago.Milliseconds())
}
