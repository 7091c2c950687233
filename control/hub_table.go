package control

import (
	"slices"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// setTable takes a committed table.
func (h *hub) setTable(t *route.Table, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t == nil || h.table != nil && t.Version <= h.table.Version {
		return
	}
	lean := h.whole(t)
	lean.Source = nil
	lean.Index()
	h.table = &lean
	h.ledger.SetLimits(h.clock.Now(), lean.Quotas())
	h.bounded = slices.ContainsFunc(lean.Services, func(s route.Service) bool { return s.ColdRate > 0 })
	whole, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Table: h.table, Version: lean.Version, Confirmed: fresh}})
	if err != nil {
		return
	}
	version, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Version: lean.Version, Confirmed: fresh}})
	if err != nil {
		return
	}
	for l, g := range h.gateways {
		frame := version
		if g.follows() {
			frame = whole
			g.has = lean.Version
		}
		_ = l.SendFrame(frame)
		g.told, g.confirmed = lean.Version, fresh
	}
}

// whole returns a table as the document has it that it was made from: the log keeps only what
// builds of the base version read.
func (h *hub) whole(t *route.Table) route.Table {
	if h.read == nil || len(t.Source) == 0 {
		return *t
	}
	read, err := h.read(t.Source)
	if err != nil || read.Validate() != nil || read.Version != t.Version {
		event.TableReadAnew.Log(h.log, "version", t.Version, "error", err)
		return *t
	}
	return *read
}

// wantTable takes that a gateway has a table of a version and asks for a newer one.
func (h *hub) wantTable(l *wire.Link, have uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[l]
	if g == nil || h.table == nil || h.table.Version <= have || g.has == h.table.Version {
		return
	}
	g.has = h.table.Version
	_ = l.Send(&wire.Message{Routes: &wire.Routes{Table: h.table, Version: h.table.Version, Confirmed: g.confirmed}})
}

// tellTable sends the table to a gateway that lacks it, or that has not heard
// yet that it is the newest. Callers hold the lock.
func (h *hub) tellTable(l *wire.Link, g *gatewayState, fresh bool) {
	if h.table == nil || g.told == h.table.Version && (g.confirmed || !fresh) {
		return
	}
	m := &wire.Routes{Version: h.table.Version, Confirmed: fresh}
	if g.has < h.table.Version && g.follows() {
		m.Table, g.has = h.table, h.table.Version
	}
	g.told, g.confirmed = h.table.Version, fresh
	_ = l.Send(&wire.Message{Routes: m})
}
