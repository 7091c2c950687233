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
type group struct{ service, role string }

func groupOf(s registry.Server) group { return group{s.Service, s.Role} }

// report takes a server's own report, and passes it on at once if it is new. The
// other replicas get every report, so that each of them can tell a gateway that
// starts; those with nothing new go together. It returns whether anybody is there to be
// told, and an error if the report is not that of the server's newest start.
func (h *hub) report(s registry.Server) (heard bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	heard = len(h.peers)+len(h.gateways) > 0
	s = h.servers.Resolve(s)
	news, err := h.note(now, s)
	if err != nil {
		return heard, err
	}
	news = h.sure(s) || news
	_, known := h.home[s.ID]
	if s.State == registry.Ready {
		h.home[s.ID] = now
	} else {
		delete(h.home, s.ID)
	}
	switch {
	case news:
		m := &wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}}
		for l := range h.peers {
			_ = l.Send(m)
		}
	case !known:
		h.waiting = append(h.waiting, s)
	}
	return heard, nil
}

// take takes what another replica tells of servers.
func (h *hub) take(l *wire.Link, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, s := range m.List {
		if _, err := h.note(now, s); err == nil { // the replica that the server told has told of a refusal
			h.sure(s)
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
func (h *hub) note(now time.Time, s registry.Server) (isNews bool, err error) {
	news, err := h.servers.Report(now, s)
	for _, n := range news {
		h.changed = true
		if n.Previous != nil && n.Previous.State == registry.Ready {
			h.groups[groupOf(*n.Previous)]--
		}
		if n.Server.State == registry.Ready {
			h.groups[groupOf(n.Server)]++
		}
		if n.Server.State == registry.Gone {
			delete(h.home, n.Server.ID)
			delete(h.away, n.Server.ID)
			delete(h.unsure, n.Server.ID)
		}
		h.tellNews(n.Server)
	}
	return len(news) > 0, err
}

// homeWithin is how long after its last report a server counts as one that reports to
// this replica: servers repeat their reports about each 1.2 s.
const homeWithin = 1600 * time.Millisecond

// passOn tells the other replicas which servers have come to this one, and that all
// that it has told of have reported themselves within homeWithin. It tells no more of
// those that have not; one that reports again is told of as a new one.
func (h *hub) passOn(now time.Time) {
	m := &wire.Servers{List: h.waiting, Alive: true, For: homeWithin}
	for id, last := range h.home {
		if now.Sub(last) > homeWithin {
			delete(h.home, id)
			m.Dropped = append(m.Dropped, id)
		}
	}
	h.waiting = nil
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
		if _, here := h.home[s.ID]; !here {
			m.Dropped = append(m.Dropped, s.ID)
		}
	}
	return m
}

// tellNews tells the gateways what is new of a server. That it leaves is told to all of
// them at once: one may know it from another replica. So is that a later start has come, by
// the time of that start alone: most of them will not work with it. All else is told at the
// next tick, together: after an outage servers come by thousands.
func (h *hub) tellNews(s registry.Server) {
	if s.State == registry.Ready {
		h.news[s.ID] = true
		return
	}
	delete(h.news, s.ID)
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
func (h *hub) spreadNews(now time.Time) {
	if len(h.news) == 0 {
		return
	}
	var list []candidate
	for _, c := range h.candidates(now) {
		if h.news[c.server.ID] {
			list = append(list, c)
		}
	}
	clear(h.news)
	for l, g := range h.gateways {
		if !g.follows() {
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
	if _, reserved := h.sum[s.ID]; reserved {
		h.moved[s.ID] = true // the gateway has not heard of that
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
		out[i] = candidate{s, subset.KeyOf(s.StableName()), h.groups[groupOf(s)]}
	}
	return out
}

// share tells a gateway the servers that it should work with and has not been
// told of, and forgets those that it should not work with any more.
func (h *hub) share(l *wire.Link, g *gatewayState, list []candidate) {
	var news []registry.Server
	var dropped []string
	for _, c := range list {
		_, works := g.servers[c.server.ID]
		wanted := c.server.State != registry.Ready || subset.Includes(g.key, c.key, c.size, len(h.gateways))
		switch {
		case wanted && !works:
			news = append(news, c.server.Published())
			if c.server.State == registry.Ready {
				h.assign(g, c.server)
			}
		case !wanted && works:
			delete(g.servers, c.server.ID)
			dropped = append(dropped, c.server.ID)
		}
	}
	if len(news)+len(dropped) > 0 {
		_ = l.Send(&wire.Message{Servers: &wire.Servers{List: news, Dropped: dropped}})
	}
}

// regroupEvery is the least time between two changes of the parts that gateways
// work with. Numbers that have changed by less than one in regroupPart leave the
// parts as they are.
const (
	regroupEvery = 2 * time.Second
	regroupPart  = 10
)

// regroup gives gateways other parts of the servers if the groups, or the number
// of gateways, have grown or shrunk much.
func (h *hub) regroup(now time.Time) {
	if now.Sub(h.regroupedAt) < regroupEvery || !h.outgrown() {
		return
	}
	h.regroupedAt, h.sharedGateways, h.shared = now, len(h.gateways), maps.Clone(h.groups)
	list := h.candidates(now)
	for l, g := range h.gateways {
		if g.follows() {
			h.share(l, g, list)
		}
	}
}

// outgrown tells whether the parts that gateways work with were made for other
// numbers than there are now.
func (h *hub) outgrown() bool {
	if differs(h.sharedGateways, len(h.gateways)) {
		return true
	}
	for k, n := range h.groups {
		if differs(h.shared[k], n) {
			return true
		}
	}
	return false
}

func differs(then, now int) bool { return max(then-now, now-then)*regroupPart > then }

// aliveWithin is the age up to which a server's last report counts as news at
// tellAlive: what another replica vouches for is up to homeWithin old, and passEvery
// and the way here older.
const aliveWithin = homeWithin + passEvery + 200*time.Millisecond

// tellAlive tells gateways which of their servers have not reported themselves of
// late, and how many servers there are.
func (h *hub) tellAlive(now time.Time) {
	expired := h.expire(now)
	h.regroup(now)
	var sizes []wire.GroupSize
	for k, n := range h.groups {
		sizes = append(sizes, wire.GroupSize{Service: k.service, Role: k.role, Size: n})
	}
	silent := map[string]bool{}
	for _, s := range h.servers.List(now) {
		if s.State == registry.Ready && s.Age > aliveWithin {
			silent[s.ID] = true
		}
	}
	for l, g := range h.gateways {
		if !g.follows() {
			continue
		}
		m := &wire.Servers{Alive: true, For: aliveWithin, Sizes: sizes}
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
	for _, gone := range h.servers.Expire(now) {
		h.changed = true
		if gone.State == registry.Ready {
			h.groups[groupOf(gone)]--
		}
		delete(h.unsure, gone.ID)
		out = append(out, gone.ID)
	}
	return out
}
