package control

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// Servers repeat their reports about once a second, so a system whose processes
// were all ended knew no server for as long after it was back. Replicas keep what
// they know of the servers beside the log, and start with it as last known: for
// lastKnownFor it counts as heard, unless the servers say otherwise. Whoever uses
// it names the incarnation, so what is wrong costs a refused try.
//
// It is no part of the log: it may be lost, and no answer waits for it.

const (
	// knownEvery is the least time between two writes of the servers.
	knownEvery = 250 * time.Millisecond
	// lastKnownFor is how long a server counts as there that was only known before
	// the start: two of the times in which servers repeat their reports.
	lastKnownFor = 2500 * time.Millisecond
	knownFile    = "control.servers"
)

// knownPath is the file of the servers; empty if all is kept in memory.
func (c *Control) knownPath() string {
	if c.cfg.Dir == "" {
		return ""
	}
	return filepath.Join(c.cfg.Dir, knownFile)
}

// loadKnown starts with the servers that were known before.
func (c *Control) loadKnown() {
	path := c.knownPath()
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var m *wire.Message
	if err == nil {
		m, err = wire.Unmarshal(data, path)
	}
	if err == nil && m.Servers == nil {
		err = errors.New("the file holds no servers")
	}
	if err != nil {
		event.KnownServersFailed.Log(c.log, "step", "read", "error", fault.From(err))
		return
	}
	c.hub.restore(time.Now(), m.Servers)
	event.KnownServersRead.Log(c.log, "servers", len(m.Servers.List))
}

// keepKnown writes the servers when they have changed, until the replica ends. A
// disk that is full or stalls holds up nothing else.
func (c *Control) keepKnown() {
	path := c.knownPath()
	if path == "" {
		return
	}
	failing := false
	wait.Each(c.ctx, knownEvery, func(now time.Time) {
		m := c.hub.unsaved(now)
		if m == nil {
			return
		}
		data, err := wire.Marshal(m)
		if err == nil {
			err = spread.WriteSynced(path, data)
		}
		if err != nil {
			c.hub.notSaved()
		}
		if err != nil && !failing {
			event.KnownServersFailed.Log(c.log, "step", "write", "error", fault.From(err))
		}
		failing = err != nil
	})
}

// restore takes what was known before the start. Gateways are told of it when
// they join, as of all other servers.
func (h *hub) restore(now time.Time, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range m.List {
		if s.State == registry.Ready {
			s.Age = max(serverKeep-lastKnownFor, 0)
		}
		h.note(now, s)
	}
	for _, a := range m.Away {
		back := now.Add(a.For)
		h.away[a.Server] = awayEngine{role: a.Role, back: back, given: back.Add(awayLimit)}
	}
}

// unsaved returns what is to be kept, if it has changed.
func (h *hub) unsaved(now time.Time) *wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.changed {
		return nil
	}
	h.changed = false
	return &wire.Message{Servers: &wire.Servers{List: h.servers.List(now), Away: h.awayList(now)}}
}

// notSaved has what is known kept at the next try.
func (h *hub) notSaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = true
}
