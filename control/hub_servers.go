package control

import (
	"maps"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/subset"
	"github.com/ledgepin/ledgepin/wire"
)

// group is the servers of a service that do the same work. A gateway works with
// a part of a large group.
type serverGroup struct{ service, role string }

func groupOf(s registry.Server) serverGroup { return serverGroup{s.Service, s.Role} }

// report takes a server's own report, and passes it on at once if it is new. The
// other replicas get every report, so that each of them can tell a gateway that
// starts; those with nothing new go together. It returns whether anybody is there to be
// told, and an error if the report is not that of the server's newest start.
func (h *hub) report(s registry.Server) (reachable bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	reachable = len(h.peers)+len(h.gateways) > 0
	s = h.servers.Resolve(s)
	changed, err := h.recordReport(now, s)
	if err != nil {
		return reachable, err
	}
	changed = h.confirmServer(s) || changed
	_, known := h.localReports[s.ID]
	if s.State == registry.Ready {
		h.localReports[s.ID] = now
	} else {
		delete(h.localReports, s.ID)
	}
	switch {
	case changed:
		m := &wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}}
		for l := range h.peers {
			_ = l.Send(m)
		}
	case !known:
		h.pendingReports = append(h.pendingReports, s)
	}
	return reachable, nil
}

// take takes what another replica tells of servers.
func (h *hub) mergePeerServers(l *wire.Link, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, s := range m.List {
		if _, err := h.recordReport(now, s); err == nil { // the replica that the server told has told of a refusal
			h.confirmServer(s)
		}
	}
	roster := h.rosters[l]
	if roster == nil {
		roster = &registry.Roster{}
		h.rosters[l] = roster
	}
	roster.Update(m.List, m.Dropped)
	if m.Alive {
		h.servers.Refresh(now.Add(-m.For), roster.Except(m.Silent))
	}
}

// note puts a report into the registry and tells gateways what is new by it. It returns
// whether anything is, and why the report is not taken if it is not. Callers hold the lock.
func (h *hub) recordReport(now time.Time, s registry.Server) (changed bool, err error) {
	updates, err := h.servers.Report(now, s)
	for _, n := range updates {
		h.serversChanged = true
		if n.Previous != nil && n.Previous.State == registry.Ready {
			h.groupSizes[groupOf(*n.Previous)]--
		}
		if n.Server.State == registry.Ready {
			h.groupSizes[groupOf(n.Server)]++
		}
		if n.Server.State == registry.Gone {
			delete(h.localReports, n.Server.ID)
			delete(h.away, n.Server.ID)
			delete(h.unconfirmed, n.Server.ID)
		}
		h.publishUpdate(n.Server)
	}
	return len(updates) > 0, err
}

// homeWithin is how long after its last report a server counts as one that reports to
// this replica: servers repeat their reports about each 1.2 s.
const localReportTTL = 1600 * time.Millisecond

// passOn tells the other replicas which servers have come to this one, and that all
// that it has told of have reported themselves within homeWithin. It tells no more of
// those that have not; one that reports again is told of as a new one.
func (h *hub) forwardReports(now time.Time) {
	m := &wire.Servers{List: h.pendingReports, Alive: true, For: localReportTTL}
	for id, last := range h.localReports {
		if now.Sub(last) > localReportTTL {
			delete(h.localReports, id)
			m.Dropped = append(m.Dropped, id)
		}
	}
	h.pendingReports = nil
	if frame, err := wire.Marshal(&wire.Message{Servers: m}); err == nil {
		for l := range h.peers {
			_ = l.SendFrame(frame)
		}
	}
}

// allServers is what a replica is told that has opened a link: all servers, and that
// this one goes on to tell of those that report to it.
func (h *hub) allServers(now time.Time) *wire.Servers {
	m := &wire.Servers{List: h.servers.List(now)}
	for _, s := range m.List {
		if _, local := h.localReports[s.ID]; !local {
			m.Dropped = append(m.Dropped, s.ID)
		}
	}
	return m
}

// tellNews tells the gateways what is new of a server. That it leaves is told to all of
// them at once: one may know it from another replica. So is that a later start has come, by
// the time of that start alone: most of them will not work with it. All else is told at the
// next tick, together: after an outage servers come by thousands.
func (h *hub) publishUpdate(s registry.Server) {
	if s.State == registry.Ready {
		h.updated[s.ID] = true
		return
	}
	delete(h.updated, s.ID)
	frame, err := wire.Marshal(&wire.Message{Servers: &wire.Servers{List: []registry.Server{s.Published()}}})
	if err != nil {
		return
	}
	for l, g := range h.gateways {
		delete(g.servers, s.ID)
		_ = l.SendFrame(frame)
	}
}

// spreadNews tells each gateway what is new of the servers that it works with.
func (h *hub) sendUpdates(now time.Time) {
	if len(h.updated) == 0 {
		return
	}
	var list []candidate
	for _, c := range h.candidates(now) {
		if h.updated[c.server.ID] {
			list = append(list, c)
		}
	}
	clear(h.updated)
	for l, g := range h.gateways {
		if !g.subscribed() {
			continue
		}
		m := &wire.Servers{}
		for _, c := range list {
			_, works := g.servers[c.server.ID]
			if works || subset.Includes(g.key, c.key, c.size, len(h.gateways)) {
				h.assign(g, c.server)
				m.List = append(m.List, c.server)
			}
		}
		if len(m.List) > 0 {
			_ = l.Send(&wire.Message{Servers: m})
		}
	}
}

// assign notes that a gateway works with a server.
func (h *hub) assign(g *gatewayState, s registry.Server) {
	g.servers[s.ID] = s
	if _, reserved := h.totalLoads[s.ID]; reserved {
		h.changedLoads[s.ID] = true // the gateway has not heard of that
	}
}

// candidate is a server that gateways may work with.
type candidate struct {
	server registry.Server
	key    subset.Key
	size   int
}

// candidates returns all servers with what decides who works with them.
func (h *hub) candidates(now time.Time) []candidate {
	list := h.servers.List(now)
	out := make([]candidate, len(list))
	for i, s := range list {
		out[i] = candidate{s, subset.KeyOf(s.StableName()), h.groupSizes[groupOf(s)]}
	}
	return out
}

// share tells a gateway the servers that it should work with and has not been
// told of, and forgets those that it should not work with any more.
func (h *hub) sendSubset(l *wire.Link, g *gatewayState, list []candidate) {
	var added []registry.Server
	var dropped []string
	for _, c := range list {
		_, works := g.servers[c.server.ID]
		included := c.server.State != registry.Ready || subset.Includes(g.key, c.key, c.size, len(h.gateways))
		switch {
		case included && !works:
			added = append(added, c.server.Published())
			if c.server.State == registry.Ready {
				h.assign(g, c.server)
			}
		case !included && works:
			delete(g.servers, c.server.ID)
			dropped = append(dropped, c.server.ID)
		}
	}
	if len(added)+len(dropped) > 0 {
		_ = l.Send(&wire.Message{Servers: &wire.Servers{List: added, Dropped: dropped}})
	}
}

// regroupEvery is the least time between two changes of the parts that gateways
// work with. Numbers that have changed by less than one in regroupPart leave the
// parts as they are.
const (
	rebalanceEvery   = 2 * time.Second
	rebalanceDivisor = 10
)

// regroup gives gateways other parts of the servers if the groups, or the number
// of gateways, have grown or shrunk much.
func (h *hub) rebalanceSubsets(now time.Time) {
	if now.Sub(h.subsetsAt) < rebalanceEvery || !h.subsetsOutdated() {
		return
	}
	h.subsetsAt, h.subsetGateways, h.subsetSizes = now, len(h.gateways), maps.Clone(h.groupSizes)
	list := h.candidates(now)
	for l, g := range h.gateways {
		if g.subscribed() {
			h.sendSubset(l, g, list)
		}
	}
}

// outgrown tells whether the parts that gateways work with were made for other
// numbers than there are now.
func (h *hub) subsetsOutdated() bool {
	if differsMuch(h.subsetGateways, len(h.gateways)) {
		return true
	}
	for k, n := range h.groupSizes {
		if differsMuch(h.subsetSizes[k], n) {
			return true
		}
	}
	return false
}

func differsMuch(before, now int) bool { return max(before-now, now-before)*rebalanceDivisor > before }

// aliveWithin is the age up to which a server's last report counts as news at
// tellAlive: what another replica vouches for is up to homeWithin old, and passEvery
// and the way here older.
const aliveMaxAge = localReportTTL + forwardEvery + 200*time.Millisecond

// tellAlive tells gateways which of their servers have not reported themselves of
// late, and how many servers there are.
func (h *hub) sendAlive(now time.Time) {
	expired := h.expire(now)
	h.rebalanceSubsets(now)
	var sizes []wire.GroupSize
	for k, n := range h.groupSizes {
		sizes = append(sizes, wire.GroupSize{Service: k.service, Role: k.role, Size: n})
	}
	silent := map[string]bool{}
	for _, s := range h.servers.List(now) {
		if s.State == registry.Ready && s.Age > aliveMaxAge {
			silent[s.ID] = true
		}
	}
	for l, g := range h.gateways {
		if !g.subscribed() {
			continue
		}
		m := &wire.Servers{Alive: true, For: aliveMaxAge, Sizes: sizes}
		for _, id := range expired {
			if _, works := g.servers[id]; works {
				delete(g.servers, id)
				m.Dropped = append(m.Dropped, id)
			}
		}
		for id := range silent {
			if _, works := g.servers[id]; works {
				m.Silent = append(m.Silent, id)
			}
		}
		_ = l.Send(&wire.Message{Servers: m})
	}
}

// expire forgets the servers that have been silent for too long, and returns them.
func (h *hub) expire(now time.Time) []string {
	var out []string
	for _, expired := range h.servers.Expire(now) {
		h.serversChanged = true
		if expired.State == registry.Ready {
			h.groupSizes[groupOf(expired)]--
		}
		delete(h.unconfirmed, expired.ID)
		out = append(out, expired.ID)
	}
	return out
}
