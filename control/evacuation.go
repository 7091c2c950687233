package control

import (
	"context"
	"fmt"
	"slices"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Evacuate has the servers of an availability zone get no new work, or get it again if the
// evacuation is finished. An order that changes nothing is acknowledged too. An error of code
// change_outcome_unknown means that it may still take effect; it can be sent again.
func (c *Control) Evacuate(ctx context.Context, zone string, finished bool) error {
	if !c.knowsZone(zone) {
		return fault.New(fault.UnknownZone, fault.StepSettings, "operator", fmt.Sprintf("no availability zone %q", zone))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.raiseVersionTo(ctx, compat.Evacuations); err != nil {
		return err
	}
	id, w, err := c.proposeEvacuation(ctx, zone, finished)
	if err != nil {
		return err
	}
	return c.awaitCommit(ctx, id, w)
}

func (c *Control) proposeEvacuation(ctx context.Context, zone string, finished bool) (string, chan fleet.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.leads(now) {
		return "", nil, c.notLeader()
	}
	if err := ctx.Err(); err != nil { // who sent it may have sent the opposite elsewhere since
		return "", nil, fault.Wrap(err, fault.ChangeOutcomeUnknown, fault.StepSettings, "operator")
	}
	return c.proposeUnique(now, "evacuation of "+zone, fleet.Change{
		When: clock.Day().UnixNano(), Evacuation: &fleet.Evacuation{Zone: zone, Finished: finished},
	})
}

// raiseTo raises the fleet's version to the one that an order of an operator needs, unless a
// member of control does not read it.
func (c *Control) raiseVersionTo(ctx context.Context, version int) error {
	if c.fleetVersion() >= version {
		return nil
	}
	u, err := c.UpgradeStatus()
	if err != nil {
		return err
	}
	for _, m := range u.Members {
		if m.Versions == nil || !m.Versions.Contains(version) {
			return versionBlocked(version, m.ID, compat.CauseUnable)
		}
	}
	for c.fleetVersion() < version {
		if u, err = c.RaiseVersion(ctx, "operator"); err != nil {
			return err
		}
		if u.Version < version && len(u.Holds) > 0 {
			return versionBlocked(version, u.Holds[0].Member, u.Holds[0].Cause)
		}
	}
	return nil
}

func versionBlocked(version int, member string, cause compat.Cause) error {
	return fault.New(fault.NotReady, fault.StepSettings, member,
		fmt.Sprintf("the order needs version %d of the fleet, which is held back: %s", version, cause))
}

func (c *Control) fleetVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Version()
}

// EvacuatedZones returns the availability zones that are being evacuated. Only a replica that is
// sure of the newest answers.
func (c *Control) EvacuatedZones() ([]fleet.EvacuatedZone, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return nil, c.notLeader()
	}
	return c.state.Evacuated(), nil
}

// knowsZone tells whether the deployment has an availability zone: by the settings of the
// process, or else by who has told where it is.
func (c *Control) knowsZone(zone string) bool {
	if zone == "" {
		return false
	}
	if len(c.cfg.Zones) > 0 {
		_, ok := c.cfg.Zones[zone]
		return ok
	}
	return zone == c.cfg.Zone || c.hub.knowsZone(zone)
}

func (h *hub) knowsZone(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.gateways {
		if l.Peer.Zone == zone {
			return true
		}
	}
	return h.isEvacuated(zone) ||
		slices.ContainsFunc(h.servers.List(h.clock.Now()), func(s registry.Server) bool { return s.Zone == zone })
}

// setEvacuated takes which zones are being evacuated, and tells the gateways what is new.
func (h *hub) setEvacuated(number uint64, zones []fleet.EvacuatedZone) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number <= h.evacuated.Number {
		return
	}
	before := h.evacuated.Zones
	h.evacuated = wire.Evacuated{Number: number, Zones: zones}
	for _, z := range zones {
		if !hasZone(before, z.Zone) {
			event.ZoneEvacuated.Log(h.log, "zone", z.Zone)
		}
	}
	for _, z := range before {
		if !hasZone(zones, z.Zone) {
			event.ZoneEvacuated.Log(h.log, "zone", z.Zone, "finished", true)
			h.noteEvacuationEnd(z.Zone)
		}
	}
	for l := range h.gateways {
		h.sendEvacuated(l)
	}
	h.updateOlderGateways(h.clock.Now())
}

// giveBack notes that the servers of a zone get work again. Callers hold the lock.
func (h *hub) noteEvacuationEnd(zone string) {
	now := h.clock.Now()
	h.evacuationEndedAt[zone] = now
	for _, s := range h.servers.List(now) {
		if s.Zone == zone && s.State == registry.Ready {
			h.unconfirmed[s.ID] = true
		}
	}
}

// sure takes that a server has reported itself. The first report after its zone was given back
// is news to everybody, whatever it says: until then the server counts as cold. Callers hold the
// lock.
func (h *hub) confirmServer(s registry.Server) bool {
	if !h.unconfirmed[s.ID] {
		return false
	}
	delete(h.unconfirmed, s.ID)
	if s.State == registry.Ready {
		h.publishUpdate(s)
	}
	return true
}

func hasZone(list []fleet.EvacuatedZone, zone string) bool {
	return slices.ContainsFunc(list, func(z fleet.EvacuatedZone) bool { return z.Zone == zone })
}

// isEvacuated tells whether a zone gets no new work. Callers hold the lock.
func (h *hub) isEvacuated(zone string) bool { return hasZone(h.evacuated.Zones, zone) }

// tellEvacuated tells a gateway which zones are being evacuated. Callers hold the lock.
func (h *hub) sendEvacuated(l *wire.Link) {
	if h.evacuated.Number > 0 && l.Speaks() >= wire.KnowsEvacuations {
		_ = l.Send(&wire.Message{Evacuated: &h.evacuated})
	}
}
