package control

import (
	"slices"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// setTable puts a committed table in force and sends it to the gateways.
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

// fullTable returns the table that the document of a logged table describes, since the log
// keeps only what builds of the base version read. It returns the logged table if the
// document can't be read.
func (h *hub) fullTable(kept *route.Table) route.Table {
	if h.parseTable == nil || len(kept.Source) == 0 {
		return *kept
	}
	parsed, err := h.parseTable(kept.Source)
	if err != nil || parsed.Validate() != nil || parsed.Version != kept.Version {
		event.TableDocumentUnreadable.Log(h.log, "version", kept.Version, "error", err)
		return *kept
	}
	return *parsed
}

// sendNewerTable sends the table to a gateway that has asked for one newer than the version
// that it has.
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

// sendTable sends the table to a gateway that lacks it, or that has not received the
// confirmation that it is the newest. Callers hold h.mu.
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
