package entry

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/wire"
)

// Dump is the state of an entry for operators.
type Dump struct {
	Name     string                `json:"name"`
	Zone     string                `json:"zone"`
	Revision uint64                `json:"settings_revision"`
	Since    time.Time             `json:"settings_since"`
	Degraded bool                  `json:"degraded"`
	Draining bool                  `json:"draining"`
	Waiting  int                   `json:"waiting"`
	Open     []router.RequestState `json:"open"`
	Calls    int                   `json:"calls"`
	Stats    router.Stats          `json:"stats"`
	Upstream string                `json:"upstream"`
	Servers  []ServerDump          `json:"servers"`
	Leaving  []string              `json:"leaving"`
}

// ServerDump is the state of one server as seen by the entry.
type ServerDump struct {
	Name      string   `json:"name"`
	Role      string   `json:"role"`
	Up        bool     `json:"up"`
	Leaving   bool     `json:"leaving"`
	Free      int      `json:"free"`
	Rate      float64  `json:"prefill_tokens_per_second,omitempty"`
	TokenTime string   `json:"token_time,omitempty"`
	Models    []string `json:"models,omitempty"`
}

// Dump returns the state of the entry.
func (e *Entry) Dump() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Dump{
		Name: e.cfg.Name, Zone: e.cfg.Zone, Revision: e.revisionInForce(), Since: e.store.Since(), Degraded: e.degraded,
		Draining: e.draining, Waiting: e.core.Waiting(), Open: e.core.Dump(clock.VM.Now()), Calls: len(e.pendingCalls), Stats: e.core.Stats(),
		Leaving: e.leavingMessage().Leaving.Servers,
	}
	if e.upstream != nil {
		d.Upstream = e.upstream.Peer.Name
	}
	for name, a := range e.agents {
		s := ServerDump{Name: name, Role: a.placed.Role, Up: a.link != nil, Leaving: a.leaving || e.leaving[name]}
		if v := e.core.View().Server(name); v != nil {
			s.Free, s.Rate, s.TokenTime, s.Models = v.Free(), v.Rate(), v.TokenTime().String(), v.LoadedModels()
		}
		d.Servers = append(d.Servers, s)
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].Name < d.Servers[j].Name })
	return d
}

// Collect updates the gauges of the entry.
func (e *Entry) Collect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := e.cfg.Name
	st := e.core.Stats()
	metric.PrefillTokens.WithLabelValues(name).Set(float64(st.PrefillTokens))
	for cause, n := range st.WastedTokens {
		metric.WastedPrefillTokens.WithLabelValues(name, string(cause)).Set(float64(n))
	}
	metric.QueuedRequests.WithLabelValues(name).Set(float64(e.core.Waiting()))
	metric.OpenRequests.WithLabelValues(name).Set(float64(len(e.flows)))
	spent, denied := e.core.RetryCounts()
	metric.Retries.WithLabelValues(name, "allowed").Set(float64(spent))
	metric.Retries.WithLabelValues(name, "denied").Set(float64(denied))
	metric.SettingsRevision.WithLabelValues(name).Set(float64(e.revisionInForce()))
	metric.SettingsAge.WithLabelValues(name).Set(clock.VM.Since(e.store.Since()).Seconds())
	degraded := 0.0
	if e.degraded {
		degraded = 1
	}
	metric.SettingsDegraded.WithLabelValues(name).Set(degraded)
	t := e.traffic()
	metric.LinkBytes.WithLabelValues(name, "sent").Set(float64(t.Sent))
	metric.LinkBytes.WithLabelValues(name, "received").Set(float64(t.Received))
}

// traffic returns the sum of the traffic of all open links. Callers hold the lock.
func (e *Entry) traffic() wire.Traffic {
	var sum wire.Traffic
	add := func(l *wire.Link) {
		if l != nil {
			sum.Add(l.Traffic())
		}
	}
	for _, a := range e.agents {
		add(a.link)
	}
	for l := range e.downstream {
		add(l)
	}
	add(e.upstream)
	return sum
}

// Traffic returns the sum of the traffic of all open links.
func (e *Entry) Traffic() wire.Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.traffic()
}

// Revision returns the revision of the settings in force, or zero if there is none.
func (e *Entry) Revision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revisionInForce()
}

// OpenLinks returns the number of open links to agents.
func (e *Entry) OpenLinks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.agents {
		if a.link != nil {
			n++
		}
	}
	return n
}
