package agent

import (
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/metric"
)

// Dump is the state of an agent for operators.
type Dump struct {
	Name     string        `json:"name"`
	Revision uint64        `json:"settings_revision"`
	Leaving  bool          `json:"leaving"`
	EngineOK bool          `json:"engine_ok"`
	Models   []string      `json:"models"`
	Slots    int           `json:"slots"`
	Work     []lease.Lease `json:"work"`
	KV       []lease.Lease `json:"kv"`
	Links    []string      `json:"links"`
	Keys     int           `json:"claim_keys"`
	Voting   bool          `json:"claim_votes"`
	Fence    any           `json:"fence"`
}

// Dump returns the state of the agent.
func (a *Agent) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	fence, _ := a.gate.Highest()
	d := Dump{
		Name: a.cfg.Name, Revision: a.store.Revision(), Leaving: a.leaving(), EngineOK: a.engineOK,
		Models: a.models, Slots: a.work.Slots(), Work: a.work.Dump(), KV: a.kv.Dump(), Fence: fence,
	}
	for _, l := range a.links {
		d.Links = append(d.Links, l.Peer.Name)
	}
	if a.voter != nil {
		d.Keys, d.Voting = a.voter.Keys(), a.voter.Ready()
	}
	return d
}

// Ready reports whether the agent can serve, and if not, why.
func (a *Agent) Ready() (bool, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving():
		return false, "leaving"
	case a.store.Tree() == nil:
		return false, "no settings yet"
	case a.engine != nil && !a.engineOK:
		return false, "the engine does not respond"
	}
	return true, ""
}

// Revision returns the revision of the agent's settings, or zero if it has none.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.store.Revision()
}

// Collect updates the gauges of the agent.
func (a *Agent) Collect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, state := range []lease.State{lease.Held, lease.Running, lease.Cancelling} {
		metric.Leases.WithLabelValues(a.cfg.Name, state.String()).Set(float64(a.work.Count(state)))
	}
	metric.SettingsRevision.WithLabelValues(a.cfg.Name).Set(float64(a.store.Revision()))
	metric.SettingsAge.WithLabelValues(a.cfg.Name).Set(clock.VM.Since(a.store.Since()).Seconds())
}
