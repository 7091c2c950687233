package control

import (
	"maps"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/subset"
	"github.com/ledgepin/ledgepin/wire"
)

// serverGroup identifies the servers of a service that have the same role. A gateway works
// with a subset of a large group.
type serverGroup struct{ service, role string }

func groupOf(s registry.Server) serverGroup { return serverGroup{s.Service, s.Role} }

// report handles a server's report about itself, and forwards it at once if it changes
// anything. The other replicas are notified of every server that reports, so that each of
// them can list it to a new gateway; unchanged servers are sent together. It returns
// whether any gateway or replica is connected, and an error if the report is not of the
// server's newest incarnation.
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

// mergePeerServers merges the servers that another replica reports.
func (h *hub) mergePeerServers(l *wire.Link, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, s := range m.List {
		if _, err := h.recordReport(now, s); err == nil { // the replica that got the server's report has logged a refusal
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

// recordReport puts a report into the registry and publishes the changes to gateways. It
// returns whether anything changed, and an error if the report is rejected. Callers hold
// h.mu.
func (h *hub) recordReport(now time.Time, s registry.Server) (changed bool, err error) {
	updates, err := h.servers.Report(now, s)
	if err == nil {
		h.noteVersion(now, s)
	}
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

// localReportTTL is how long after its last report a server counts as reporting to this
// replica. Servers repeat their reports about every 1.2 s.
const localReportTTL = 1600 * time.Millisecond

// forwardReports notifies the other replicas of the servers that have started to report to
// this one, and that all servers forwarded so far have reported within localReportTTL.
// Servers that have not are dropped from that list; one that reports again is forwarded
// like a new one.
func (h *hub) forwardReports(now time.Time) {
	m := &wire.Servers{List: h.pendingReports, Alive: true, For: localReportTTL}
	for id, last := range h.localReports {
		if now.Sub(last) > localReportTTL {
			delete(h.localReports, id)
			m.Dropped = append(m.Dropped, id)
		}
	}
	h.pendingReports = nil
	for _, part := range serverMessages(m) {
		frame, err := wire.Marshal(part)
		if err != nil {
			continue
		}
		for l := range h.peers {
			_ = l.SendFrame(frame)
		}
	}
}

// allServers returns the servers for a replica that has opened a link. Those that do not
// report to this replica are listed as dropped, so that only the others count as reporting
// here.
func (h *hub) allServers(now time.Time) *wire.Servers {
	m := &wire.Servers{List: h.servers.List(now)}
	for _, s := range m.List {
		if _, local := h.localReports[s.ID]; !local {
			m.Dropped = append(m.Dropped, s.ID)
		}
	}
	return m
}

// publishUpdate sends gateways the change of a server. A leaving server is sent to all of
// them at once, since a gateway may have got it from another replica. So is the start of a
// later incarnation, reduced to its start time, since most gateways will not work with it.
// All other changes go out together at the next tick: after an outage, servers report by
// thousands.
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

// sendUpdates sends each gateway the changes of the servers that it works with.
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
			sendServers(l, m)
		}
	}
}

// serversPerMessage bounds the servers in one message, so that it fits into a frame with the
// longest texts that a report may have.
const serversPerMessage = 1 << 12

// serverMessages splits a message about any number of servers. All fields but List and Dropped are
// in the last part, since they apply to the servers of all parts.
func serverMessages(m *wire.Servers) []*wire.Message {
	var out []*wire.Message
	rest := *m
	for len(rest.List) > serversPerMessage || len(rest.Dropped) > serversPerMessage {
		list, dropped := min(len(rest.List), serversPerMessage), min(len(rest.Dropped), serversPerMessage)
		if list > 0 {
			dropped = 0 // a server may be dropped by the message that lists it, not before that
		}
		out = append(out, &wire.Message{Servers: &wire.Servers{List: rest.List[:list], Dropped: rest.Dropped[:dropped]}})
		rest.List, rest.Dropped = rest.List[list:], rest.Dropped[dropped:]
	}
	return append(out, &wire.Message{Servers: &rest})
}

func sendServers(l *wire.Link, m *wire.Servers) {
	for _, part := range serverMessages(m) {
		_ = l.Send(part)
	}
}

// assign records that a gateway works with a server.
func (h *hub) assign(g *gatewayState, s registry.Server) {
	g.servers[s.ID] = s
	if _, reserved := h.totalLoads[s.ID]; reserved {
		h.changedLoads[s.ID] = true // the gateway has not received that load
	}
}

// candidate is a server that gateways may work with.
type candidate struct {
	server registry.Server
	key    subset.Key
	size   int
}

// candidates returns all servers with the data that determines which gateways work with
// them.
func (h *hub) candidates(now time.Time) []candidate {
	list := h.servers.List(now)
	out := make([]candidate, len(list))
	for i, s := range list {
		out[i] = candidate{s, subset.KeyOf(s.StableName()), h.groupSizes[groupOf(s)]}
	}
	return out
}

// sendSubset sends a gateway the servers of its subset that it has not received, and drops
// those that have left its subset.
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
		sendServers(l, &wire.Servers{List: added, Dropped: dropped})
	}
}

// rebalanceEvery is the minimum interval between two changes of the subsets. Changes of
// less than 1/rebalanceDivisor in the numbers of servers and gateways leave the subsets as
// they are.
const (
	rebalanceEvery   = 2 * time.Second
	rebalanceDivisor = 10
)

// rebalanceSubsets assigns new subsets of the servers to gateways if the size of a group or
// the number of gateways has changed much.
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

// subsetsOutdated reports whether the numbers of servers or gateways differ much from those
// that the subsets were computed for.
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

// aliveMaxAge is the age up to which a server's last report counts as recent in sendAlive.
// A report that another replica confirms is up to localReportTTL old; forwardEvery and
// the transfer add to that.
const aliveMaxAge = localReportTTL + forwardEvery + 200*time.Millisecond

// sendAlive notifies gateways which of their servers have not reported recently, and how
// many servers there are.
func (h *hub) sendAlive(now time.Time) {
	expired := h.expire(now)
	h.rebalanceSubsets(now)
	var sizes []wire.GroupSize
	for k, n := range h.groupSizes {
		sizes = append(sizes, wire.GroupSize{Service: k.service, Role: k.role, Size: n})
	}
	silent := map[string]bool{}
	servers := h.servers.List(now)
	h.sweepOrigins(now, servers)
	for _, s := range servers {
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

// expire removes the servers that have not reported for serverTTL, and returns their IDs.
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
