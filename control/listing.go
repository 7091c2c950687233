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

// report takes a server's own word, and passes it on at once if it is new. The
// other replicas get every report, so that each of them can tell a gateway that
// starts; those with nothing new go together. It returns false if nobody is
// there to be told.
func (h *hub) report(s registry.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.note(time.Now(), s) {
		m := &wire.Message{Servers: &wire.Servers{List: []registry.Server{s}}}
		for l := range h.peers {
			_ = l.Send(m)
		}
		h.tellNews(s)
	} else {
		h.waiting = append(h.waiting, s)
	}
	return len(h.peers)+len(h.gateways) > 0
}

// take takes reports that another replica passes on.
func (h *hub) take(list []registry.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, s := range list {
		if h.note(now, s) {
			h.tellNews(s)
		}
	}
}

// note puts a report into the registry, and tells whether it is new.
func (h *hub) note(now time.Time, s registry.Server) bool {
	before, known := h.servers.Get(s.ID)
	if !h.servers.Report(now, s) {
		return false
	}
	h.changed = true
	if known && before.State == registry.Ready {
		h.groups[groupOf(before)]--
	}
	if after, _ := h.servers.Get(s.ID); after.State == registry.Ready {
		h.groups[groupOf(after)]++
	}
	return true
}

// passOn gives the other replicas the reports that had nothing new.
func (h *hub) passOn() {
	if len(h.waiting) == 0 {
		return
	}
	if frame, err := wire.Marshal(&wire.Message{Servers: &wire.Servers{List: h.waiting}}); err == nil {
		for l := range h.peers {
			_ = l.SendFrame(frame)
		}
	}
	h.waiting = nil
}

// tellNews tells the gateways that work with a server what is new of it. That it
// leaves is told to all of them: one may know it from another replica.
func (h *hub) tellNews(s registry.Server) {
	after, _ := h.servers.Get(s.ID)
	frame, err := wire.Marshal(&wire.Message{Servers: &wire.Servers{List: []registry.Server{after}}})
	if err != nil {
		return
	}
	key, size := subset.KeyOf(s.ID), h.groups[groupOf(after)]
	for l, g := range h.gateways {
		_, works := g.servers[s.ID]
		switch {
		case after.State != registry.Ready:
			delete(g.servers, s.ID)
		case works || subset.Includes(g.key, key, size, len(h.gateways)):
			h.assign(g, after)
		default:
			continue
		}
		_ = l.SendFrame(frame)
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
		out[i] = candidate{s, subset.KeyOf(s.ID), h.groups[groupOf(s)]}
	}
	return out
}

// share tells a gateway the servers that it should work with and has not been
// told of, and forgets those that it should not work with any more.
func (h *hub) share(l *wire.Link, g *gatewayState, list []candidate) {
	var news []registry.Server
	for _, c := range list {
		_, works := g.servers[c.server.ID]
		wanted := c.server.State != registry.Ready || subset.Includes(g.key, c.key, c.size, len(h.gateways))
		switch {
		case wanted && !works:
			news = append(news, c.server)
			if c.server.State == registry.Ready {
				h.assign(g, c.server)
			}
		case !wanted && works:
			delete(g.servers, c.server.ID)
		}
	}
	if len(news) > 0 {
		_ = l.Send(&wire.Message{Servers: &wire.Servers{List: news}})
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
		h.share(l, g, list)
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

// tellAlive tells gateways which of their servers have reported themselves since
// the last time, and how many servers there are.
func (h *hub) tellAlive(now time.Time) {
	for _, gone := range h.servers.Expire(now) {
		h.changed = true
		if gone.State == registry.Ready {
			h.groups[groupOf(gone)]--
		}
		for _, g := range h.gateways {
			delete(g.servers, gone.ID)
		}
	}
	h.regroup(now)
	passed := now.Sub(h.aliveAt)
	var sizes []wire.GroupSize
	for k, n := range h.groups {
		sizes = append(sizes, wire.GroupSize{Service: k.service, Role: k.role, Size: n})
	}
	for l, g := range h.gateways {
		m := &wire.Servers{For: passed, Sizes: sizes}
		for id := range g.servers {
			if h.servers.Age(now, id) <= passed {
				m.Heard = append(m.Heard, id)
			}
		}
		_ = l.Send(&wire.Message{Servers: m})
	}
}
