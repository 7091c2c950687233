package control

import (
	"time"

	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// A gateway reports where its streams began to the replica that it reports its load to, for
// services whose servers differ in software version. Replicas forward what their own gateways
// report to each other. A gateway asks all of them if a caller returns for a stream that began
// elsewhere. The versions themselves go to all gateways, before the servers that have them, so
// that no gateway takes the version that it knows for the only one.

const (
	// maxOrigins bounds the streams that a replica keeps; they take 30 MB.
	maxOrigins = 1 << 18
	// originsPerMessage bounds the streams in one message.
	originsPerMessage = 1 << 14
	// versionsEvery is the interval at which the versions are sent again while they differ. It
	// is a fraction of origin.Retention.
	versionsEvery = 20 * time.Second
	// maxVersionServers bounds the servers that a gateway gets in addition to its subset in
	// order to continue a stream.
	maxVersionServers = 8
)

// originsState is what a replica knows about the origins of streams.
type originsState struct {
	table    *origin.Table
	versions origin.Versions
	// pending is what the own gateways have reported and the other replicas have not received.
	pending origin.Records
	// versionsChanged is set if the gateways have not received the versions, versionsSentAt is
	// when they last have. unsaved is set if the versions have changed since they were saved.
	versionsChanged, unsaved bool
	versionsSentAt           time.Time
}

func newOrigins() originsState { return originsState{table: origin.NewTable(maxOrigins)} }

// noteVersion records the version of a server. Callers hold h.mu.
func (h *hub) noteVersion(now time.Time, s registry.Server) {
	o := &h.origins
	if s.State == registry.Gone || !o.versions.Note(now, s.Service, s.Version) {
		return
	}
	o.unsaved = true
	o.versionsChanged = o.versionsChanged || o.versions.Mixed(s.Service)
}

// sweepOrigins records the versions of the present servers and forgets old entries. Callers hold
// h.mu.
func (h *hub) sweepOrigins(now time.Time, present []registry.Server) {
	o := &h.origins
	for _, s := range present {
		h.noteVersion(now, s)
	}
	if len(o.versions.Sweep(now)) > 0 {
		o.unsaved = true
	}
	o.table.Sweep(now)
	h.settleOrigins(now)
}

// settleOrigins decides on the streams in doubt by the reports of their servers. Callers hold h.mu.
func (h *hub) settleOrigins(now time.Time) {
	t := h.origins.table
	for _, id := range t.DoubtfulServers() {
		s, reportedAt, ok := h.servers.Reported(id)
		if !ok {
			continue // it has gone without a successor, or has not reported to this replica yet
		}
		t.Settle(now, id, func(d origin.Doubt) bool { return d.SettledBy(reportedAt) })
		if s.Next != 0 {
			t.MarkDoubtfulAmbiguous(now, id)
		}
	}
}

// sendVersions sends the versions to all gateways and replicas if they have changed, and from
// time to time while they differ. Callers hold h.mu.
func (h *hub) sendVersions(now time.Time) {
	o := &h.origins
	if !o.versionsChanged && now.Sub(o.versionsSentAt) < versionsEvery {
		return
	}
	o.versionsChanged, o.versionsSentAt = false, now
	list := o.versions.List(now)
	if len(list) == 0 {
		return
	}
	o.unsaved = true // the ages
	m := &wire.Message{Origins: &wire.Origins{Versions: list}}
	for l := range h.gateways {
		sendOrigins(l, m)
	}
	for l := range h.peers {
		sendOrigins(l, m)
	}
}

// sendOrigins sends a message to a peer whose build reads it.
func sendOrigins(l *wire.Link, m *wire.Message) {
	if l.Version() >= wire.OriginsVersion {
		_ = l.Send(m)
	}
}

// sendVersionsTo sends the versions over a new link. Callers hold h.mu.
func (h *hub) sendVersionsTo(l *wire.Link) {
	if list := h.origins.versions.List(h.clock.Now()); len(list) > 0 {
		sendOrigins(l, &wire.Message{Origins: &wire.Origins{Versions: list}})
	}
}

// sendAllOrigins sends everything to a replica that has opened a link. Callers hold h.mu.
func (h *hub) sendAllOrigins(l *wire.Link) {
	h.sendVersionsTo(l)
	t := h.origins.table
	for number := uint64(0); number < t.Changes(); {
		var list origin.Records
		if list, number = t.Since(h.clock.Now(), number, originsPerMessage); !list.Empty() {
			sendOrigins(l, &wire.Message{Origins: wire.OriginsOf(list)})
		}
	}
}

// sendOriginsToPeers sends the other replicas what the gateways of this one have reported.
// Callers hold h.mu.
func (h *hub) sendOriginsToPeers() {
	if h.origins.pending.Empty() {
		return
	}
	m := &wire.Message{Origins: wire.OriginsOf(h.origins.pending)}
	h.origins.pending = origin.Records{}
	for l := range h.peers {
		sendOrigins(l, m)
	}
}

// handleOrigins handles a gateway's report, and answers its question.
func (h *hub) handleOrigins(l *wire.Link, m *wire.Origins) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, o := h.clock.Now(), &h.origins
	h.mergeVersions(now, m.Versions)
	if added := o.table.Merge(now, m.Records()); len(added) > 0 {
		list, _ := o.table.Batch(now, added)
		o.pending.Append(list)
	}
	if len(m.Ask) == 0 {
		return
	}
	h.settleOrigins(now)
	found, unknown := o.table.Batch(now, origin.SplitKeys(m.Ask))
	answer := wire.OriginsOf(found)
	answer.Unknown = unknown
	for i := range found.Certain {
		if b := &found.Certain[i]; !b.Ambiguous {
			h.sendVersionServers(now, l, b.Service, b.Version)
		}
	}
	for i := range found.Doubtful {
		b := &found.Doubtful[i]
		answer.Unknown = append(answer.Unknown, b.Keys...)
		h.sendDoubtfulServer(l, b.Server)
		h.sendVersionServers(now, l, b.Service, b.Version)
	}
	sendOrigins(l, &wire.Message{Origins: answer})
}

// sendDoubtfulServer sends a gateway the server that it has to ask about a stream, if that is not in
// its subset. Callers hold h.mu.
func (h *hub) sendDoubtfulServer(l *wire.Link, id string) {
	g := h.gateways[l]
	if s, ok := h.servers.Get(id); ok && g != nil && g.servers[id].ID == "" {
		h.assign(g, s)
		sendServers(l, &wire.Servers{List: []registry.Server{s.Published()}})
	}
}

// sendVersionServers sends a gateway servers at which a stream can continue, if there are none in
// its subset. Callers hold h.mu.
func (h *hub) sendVersionServers(now time.Time, l *wire.Link, service, version string) {
	g := h.gateways[l]
	continues := func(s *registry.Server) bool {
		return s.Service == service && s.Version == version && s.State == registry.Ready && s.Role != registry.Prefill
	}
	if g == nil {
		return
	}
	for _, s := range g.servers {
		if continues(&s) {
			return
		}
	}
	var list []registry.Server
	for _, s := range h.servers.List(now) {
		if continues(&s) && len(list) < maxVersionServers {
			h.assign(g, s)
			list = append(list, s)
		}
	}
	if len(list) > 0 {
		_ = l.Send(&wire.Message{Servers: &wire.Servers{List: list}})
	}
}

// mergePeerOrigins merges what another replica reports.
func (h *hub) mergePeerOrigins(m *wire.Origins) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.mergeVersions(now, m.Versions)
	h.origins.table.Merge(now, m.Records())
}

// mergeVersions merges versions that another process has seen. Callers hold h.mu.
func (h *hub) mergeVersions(now time.Time, list []origin.SeenVersion) {
	if h.origins.versions.Merge(now, list) {
		h.origins.versionsChanged, h.origins.unsaved = true, true
	}
}

// restoreVersions restores the versions that were saved before the process started. Streams of
// versions that have left since may still be resumed.
func (h *hub) restoreVersions(now time.Time, m *wire.Message) (int, bool) {
	if m.Origins == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mergeVersions(now, m.Origins.Versions)
	return len(m.Origins.Versions), true
}

// takeUnsavedVersions returns the versions to save if they have changed, and marks them saved.
func (h *hub) takeUnsavedVersions(now time.Time) *wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.origins.unsaved {
		return nil
	}
	h.origins.unsaved = false
	return &wire.Message{Origins: &wire.Origins{Versions: h.origins.versions.List(now)}}
}

// markVersionsUnsaved makes the next attempt save the versions again.
func (h *hub) markVersionsUnsaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.origins.unsaved = true
}
