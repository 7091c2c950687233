package control

import (
	"time"

	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/wire"
)

// Gateways tell the replica that they share with under which contents servers have ended,
// replicas tell each other, and each its gateways. All tell what is new to the other side
// only, and all of it when a link opens. Replicas keep it beside the log, since a request
// that ends servers comes again after an outage too.

// suspectAt is the number of endings from which on gateways are told of a content: what
// has ended one server is what ran there when it ended.
const suspectEndings = 2

// contents is what a replica knows of contents under which servers have ended.
type contentsState struct {
	table *poison.Table
	// told is the change up to which each gateway and each replica has been told.
	sentUpTo map[*wire.Link]uint64
	// kept is the change up to which the disk has them.
	savedUpTo uint64
}

func newContents() contentsState {
	return contentsState{table: poison.NewTable(), sentUpTo: map[*wire.Link]uint64{}}
}

// takeContents takes what a gateway or another replica tells.
func (h *hub) mergeContents(list []poison.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.table.Merge(h.clock.Now(), list)
}

// tellContents tells the gateways that follow this replica, and the other replicas, what
// is new to them. Callers hold the lock.
func (h *hub) sendContents(now time.Time) {
	for l, g := range h.gateways {
		if g.subscribed() {
			h.contents.send(now, l, suspectEndings)
		}
	}
	for l := range h.peers {
		h.contents.send(now, l, 1)
	}
}

// tell tells one side what is new to it, of contents with at least some endings.
func (c *contentsState) send(now time.Time, l *wire.Link, minEndings int) {
	list, change := c.table.Since(now, c.sentUpTo[l], minEndings)
	c.sentUpTo[l] = change
	if len(list) > 0 {
		_ = l.Send(&wire.Message{Contents: list})
	}
}

// restoreContents takes what was kept before the start.
func (h *hub) restoreContents(_ time.Time, m *wire.Message) (int, bool) {
	h.mergeContents(m.Contents)
	return len(m.Contents), m.Contents != nil
}

// unsavedContents returns all contents if they have changed since they were kept.
func (h *hub) takeUnsavedContents(now time.Time) *wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &h.contents
	c.table.Sweep(now)
	if c.savedUpTo == c.table.Changes() {
		return nil
	}
	c.savedUpTo = c.table.Changes()
	list, _ := c.table.Since(now, 0, 1)
	return &wire.Message{Contents: list}
}

// contentsNotSaved has the contents kept at the next try.
func (h *hub) markContentsUnsaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.savedUpTo = 0
}
