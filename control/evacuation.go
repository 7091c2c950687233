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

// Evacuate stops new work for the servers of an availability zone, or resumes it if
// finished is true. An order that changes nothing is acknowledged as well. An error of code
// change_outcome_unknown means that the order may still take effect; it can be sent again.
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
	if err := ctx.Err(); err != nil { // the caller may have sent the opposite order to another replica since
		return "", nil, fault.Wrap(err, fault.ChangeOutcomeUnknown, fault.StepSettings, "operator")
	}
	return c.proposeUnique(now, "evacuation of "+zone, fleet.Change{
		When: clock.WallTime().UnixNano(), Evacuation: &fleet.Evacuation{Zone: zone, Finished: finished},
	})
}

// raiseVersionTo raises the fleet's version to the one that an operator's order needs,
// unless a member of control does not read that version.
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
		if u.Version < version && len(u.Blockers) > 0 {
			return versionBlocked(version, u.Blockers[0].Member, u.Blockers[0].Cause)
		}
	}
	return nil
}

func versionBlocked(version int, member string, cause compat.Cause) error {
	return fault.New(fault.NotReady, fault.StepSettings, member,
		fmt.Sprintf("the order needs fleet version %d, but the upgrade is blocked: %s", version, cause))
}

func (c *Control) fleetVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Version()
}

// EvacuatedZones returns the availability zones that are being evacuated. It fails if the
// replica is not sure to have the newest state.
func (c *Control) EvacuatedZones() ([]fleet.EvacuatedZone, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCurrent(c.clock.Now()) {
		return nil, c.notLeader()
	}
	return c.state.EvacuatedZones(), nil
}

// knowsZone reports whether the deployment has an availability zone: according to the
// settings of the process if they list the zones, or else to the zones that gateways and
// servers have reported.
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

// setEvacuated sets the zones that are being evacuated, and notifies the gateways of a
// change.
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

// noteEvacuationEnd records that the servers of a zone get work again. Callers hold h.mu.
func (h *hub) noteEvacuationEnd(zone string) {
	now := h.clock.Now()
	h.evacuationEndedAt[zone] = now
	for _, s := range h.servers.List(now) {
		if s.Zone == zone && s.State == registry.Ready {
			h.unconfirmed[s.ID] = true
		}
	}
}

// confirmServer records that a server has reported itself, and returns whether it was
// unconfirmed. The first report after the evacuation of its zone is published whatever it
// holds, since the server counts as cold until then. Callers hold h.mu.
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

// isEvacuated reports whether a zone gets no new work. Callers hold h.mu.
func (h *hub) isEvacuated(zone string) bool { return hasZone(h.evacuated.Zones, zone) }

// sendEvacuated sends a gateway the zones that are being evacuated. Callers hold h.mu.
func (h *hub) sendEvacuated(l *wire.Link) {
	if h.evacuated.Number > 0 && l.Version() >= wire.EvacuationsVersion {
		_ = l.Send(&wire.Message{Evacuated: &h.evacuated})
	}
}
