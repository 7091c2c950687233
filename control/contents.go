package control

import (
	"time"

	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/wire"
)

// A content is the digest of a request's content. Gateways report the contents that were
// running when servers ended to the replica that they report their load to; replicas report
// them to each other and to their gateways. A link gets all of them when it opens and only
// changes after that. Replicas keep them on disk beside the log, since a request that ends
// servers may be sent again after an outage.

// suspectEndings is the number of endings from which on gateways are notified of a content.
// A single ending proves nothing, since it counts for every content that ran on the server
// at that time.
const suspectEndings = 2

// contentsState holds the contents under which servers have ended.
type contentsState struct {
	table *poison.Table
	// sentUpTo is the last change that was sent to each gateway and replica.
	sentUpTo map[*wire.Link]uint64
	// savedUpTo is the last change that is on disk.
	savedUpTo uint64
}

func newContents() contentsState {
	return contentsState{table: poison.NewTable(), sentUpTo: map[*wire.Link]uint64{}}
}

// mergeSurvivals merges the survivals that a gateway or another replica reports.
func (h *hub) mergeSurvivals(list []poison.Survival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.table.MergeSurvivals(h.clock.Now(), list)
}

// mergeContents merges the contents that a gateway or another replica reports.
func (h *hub) mergeContents(list []poison.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.table.Merge(h.clock.Now(), list)
}

// sendContents sends what has changed to the other replicas and to the gateways that are
// subscribed to this one. Callers hold h.mu.
func (h *hub) sendContents(now time.Time) {
	for l, g := range h.gateways {
		if g.subscribed() {
			h.contents.sendToGateway(now, l)
		}
	}
	for l := range h.peers {
		h.contents.send(now, l, 1, false)
	}
}

// sendToGateway sends a gateway the changes that it has not received and that may lead to a block.
func (c *contentsState) sendToGateway(now time.Time, l *wire.Link) {
	c.send(now, l, suspectEndings, true)
}

// send sends one peer the changes that it has not received: for contents with at least minEndings
// endings or a part with several, and the survivals of all parts or only of relevant ones. The
// survivals come first, so that no part is blocked that is already cleared.
func (c *contentsState) send(now time.Time, l *wire.Link, minEndings int, relevantOnly bool) {
	before := c.sentUpTo[l]
	list, change := c.table.Since(now, before, minEndings)
	c.sentUpTo[l] = change
	if l.Version() >= wire.PartsVersion {
		if survivals := c.table.SurvivalsSince(now, before, relevantOnly); len(survivals) > 0 {
			_ = l.Send(&wire.Message{Survivals: survivals})
		}
	} else {
		list = poison.WithoutParts(list)
	}
	if len(list) > 0 {
		_ = l.Send(&wire.Message{Contents: list})
	}
}

// restoreContents restores the contents that were saved before the process started.
func (h *hub) restoreContents(_ time.Time, m *wire.Message) (int, bool) {
	h.mergeSurvivals(m.Survivals)
	h.mergeContents(m.Contents)
	return len(m.Contents), m.Contents != nil
}

// takeUnsavedContents returns all contents if they have changed since they were last saved,
// and marks them saved.
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
	return &wire.Message{Contents: list, Survivals: c.table.SurvivalsSince(now, 0, false)}
}

// markContentsUnsaved makes the next attempt save the contents again.
func (h *hub) markContentsUnsaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents.savedUpTo = 0
}
