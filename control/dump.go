package control

import (
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/settings"
)

// Tree returns the newest settings of this replica, or nil if it has none.
func (c *Control) Tree() *settings.Tree {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Tree()
}

// Status returns the state of the replica's log.
func (c *Control) Status() consensus.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node == nil {
		return consensus.Status{}
	}
	return c.node.Status(c.clock.Now())
}

// Ready reports whether the replica has the newest settings, and if not, why.
func (c *Control) Ready() (bool, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopReason != "" {
		return false, c.stopReason
	}
	if !c.isCurrent(c.clock.Now()) {
		return false, "no leader with a valid lease is reachable"
	}
	return true, ""
}

// Dump is the state of a control replica for diagnosis.
type Dump struct {
	Name     string           `json:"name"`
	ID       string           `json:"id"`
	Log      consensus.Status `json:"log"`
	Revision uint64           `json:"settings_revision"`
	Version  int              `json:"fleet_version"`
	// Evacuated are the availability zones that get no new work.
	Evacuated []fleet.EvacuatedZone `json:"evacuated,omitempty"`
	Journal   int64                 `json:"journal_bytes"`
	Peers     []string              `json:"peers"`
	Seen      []string              `json:"seen"`
	Relays    []string              `json:"relays"`
}

// Dump returns the state of the replica as a Dump.
func (c *Control) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Dump{Name: c.cfg.Name, ID: c.id, Revision: c.state.Revision(), Version: c.state.Version(), Evacuated: c.state.EvacuatedZones()}
	if c.node != nil {
		d.Log = c.node.Status(c.clock.Now())
	}
	if c.disk != nil {
		d.Journal = c.disk.Size()
	}
	for name, p := range c.peerLinks {
		if p.link != nil {
			d.Peers = append(d.Peers, name)
		}
	}
	for id := range c.connected {
		d.Seen = append(d.Seen, id)
	}
	for l := range c.downstream {
		d.Relays = append(d.Relays, l.Peer.Name)
	}
	return d
}

// Collect updates the gauges of the replica.
func (c *Control) Collect() {
	st := c.Status()
	leader := 0.0
	if st.Lease {
		leader = 1
	}
	metric.ControlLeader.WithLabelValues(c.cfg.Name).Set(leader)
	metric.ControlTerm.WithLabelValues(c.cfg.Name).Set(float64(st.Term))
	c.mu.Lock()
	defer c.mu.Unlock()
	metric.FleetVersion.WithLabelValues(c.cfg.Name).Set(float64(c.state.Version()))
	metric.SettingsRevision.WithLabelValues(c.cfg.Name).Set(float64(c.state.Revision()))
	metric.EvacuatedZones.WithLabelValues(c.cfg.Name).Set(float64(len(c.state.EvacuatedZones())))
}
