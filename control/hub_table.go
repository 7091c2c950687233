package control

import (
	"slices"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// setTable takes a committed table.
func (h *hub) setTable(t *route.Table, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t == nil || h.table != nil && t.Version <= h.table.Version {
		return
	}
	full := h.fullTable(t)
	full.Source = nil
	full.Index()
	h.table = &full
	h.ledger.SetLimits(h.clock.Now(), full.Quotas())
	h.hasColdLimits = slices.ContainsFunc(full.Services, func(s route.Service) bool { return s.ColdRate > 0 })
	tableFrame, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Table: h.table, Version: full.Version, Confirmed: current}})
	if err != nil {
		return
	}
	versionFrame, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Version: full.Version, Confirmed: current}})
	if err != nil {
		return
	}
	for l, g := range h.gateways {
		frame := versionFrame
		if g.subscribed() {
			frame = tableFrame
			g.tableVersion = full.Version
		}
		_ = l.SendFrame(frame)
		g.announcedVersion, g.confirmed = full.Version, current
	}
}

// whole returns a table as the document has it that it was made from: the log keeps only what
// builds of the base version read.
func (h *hub) fullTable(kept *route.Table) route.Table {
	if h.parseTable == nil || len(kept.Source) == 0 {
		return *kept
	}
	parsed, err := h.parseTable(kept.Source)
	if err != nil || parsed.Validate() != nil || parsed.Version != kept.Version {
		event.TableReadAnew.Log(h.log, "version", kept.Version, "error", err)
		return *kept
	}
	return *parsed
}

// wantTable takes that a gateway has a table of a version and asks for a newer one.
func (h *hub) sendNewerTable(l *wire.Link, have uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil || h.table == nil || h.table.Version <= have || g.tableVersion == h.table.Version {
		return
	}
	g.tableVersion = h.table.Version
	_ = l.Send(&wire.Message{Routes: &wire.Routes{Table: h.table, Version: h.table.Version, Confirmed: g.confirmed}})
}

// tellTable sends the table to a gateway that lacks it, or that has not heard
// yet that it is the newest. Callers hold the lock.
func (h *hub) sendTable(l *wire.Link, g *gatewayState, current bool) {
	if h.table == nil || g.announcedVersion == h.table.Version && (g.confirmed || !current) {
		return
	}
	m := &wire.Routes{Version: h.table.Version, Confirmed: current}
	if g.tableVersion < h.table.Version && g.subscribed() {
		m.Table, g.tableVersion = h.table, h.table.Version
	}
	g.announcedVersion, g.confirmed = h.table.Version, current
	_ = l.Send(&wire.Message{Routes: m})
}
