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

// Replicas keep beside the log what they would otherwise have to learn anew after all
// processes were ended.
//
// Servers repeat their reports about once a second, so a system whose processes were all
// ended knew no server for as long after it was back. A replica starts with them as last
// known: for lastKnownFor they count as heard, unless they say otherwise. Whoever uses one
// names the incarnation, so what is wrong costs a refused try.
//
// It is no part of the log: it may be lost, and no answer waits for it.

const (
	// knownEvery is the least time between two writes of a file.
	stateSaveEvery = 250 * time.Millisecond
	// lastKnownFor is how long a server counts as there that was only known before
	// the start: two of the times in which servers repeat their reports.
	restoredServerTTL = 2500 * time.Millisecond
)

// knownFile is one file beside the log.
type stateFile struct {
	name string
	// restore takes what the file held, and returns how many entries; false if it is
	// another message than the file should hold.
	restore func(now time.Time, m *wire.Message) (int, bool)
	// unsaved returns what is to be kept, nil if it has not changed; notSaved has it kept
	// at the next try.
	takeUnsaved func(now time.Time) *wire.Message
	markUnsaved func()
}

// knownFiles are the files beside the log; none if all is kept in memory.
func (c *Control) stateFiles() []stateFile {
	if c.cfg.Dir == "" {
		return nil
	}
	return []stateFile{
		{"control.servers", c.hub.restoreServers, c.hub.takeUnsavedServers, c.hub.markServersUnsaved},
		{"control.contents", c.hub.restoreContents, c.hub.takeUnsavedContents, c.hub.markContentsUnsaved},
	}
}

// loadKnown starts with what was known before.
func (c *Control) loadStateFiles() {
	for _, f := range c.stateFiles() {
		n, err := c.loadStateFile(f)
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			event.KnownFailed.Log(c.log, "step", "read", "file", f.name, "error", fault.From(err))
		default:
			event.KnownRead.Log(c.log, "file", f.name, "entries", n)
		}
	}
}

func (c *Control) loadStateFile(f stateFile) (int, error) {
	path := filepath.Join(c.cfg.Dir, f.name)
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	m, err := wire.Unmarshal(data, path)
	if err != nil {
		return 0, err
	}
	n, ok := f.restore(c.clock.Now(), m)
	if !ok {
		return 0, errors.New("the file holds something else")
	}
	return n, nil
}

// keepKnown writes a file when what it holds has changed, until the replica ends. A
// disk that is full or stalls holds up nothing else.
func (c *Control) saveStateFile(f stateFile) {
	failing := false
	wait.Each(c.ctx, c.clock, stateSaveEvery, func(now time.Time) {
		m := f.takeUnsaved(now)
		if m == nil {
			return
		}
		data, err := wire.Marshal(m)
		if err == nil {
			err = spread.WriteSynced(filepath.Join(c.cfg.Dir, f.name), data)
		}
		if err != nil {
			f.markUnsaved()
		}
		if err != nil && !failing {
			event.KnownFailed.Log(c.log, "step", "write", "file", f.name, "error", fault.From(err))
		}
		failing = err != nil
	})
}

// restoreServers takes the servers that were known before the start.
func (h *hub) restoreServers(now time.Time, m *wire.Message) (int, bool) {
	if m.Servers == nil {
		return 0, false
	}
	h.restoreServerList(now, m.Servers)
	return len(m.Servers.List), true
}

// restore takes what was known before the start. Gateways are told of it when
// they join, as of all other servers.
func (h *hub) restoreServerList(now time.Time, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range m.List {
		if s.State == registry.Ready {
			s.Age = max(serverTTL-restoredServerTTL, 0)
		}
		_, _ = h.recordReport(now, s) // what was kept of an earlier start is of no use
	}
	for _, a := range m.Away {
		back := now.Add(a.For)
		h.away[a.Server] = awayEngine{role: a.Role, earliestBack: back, deadline: back.Add(awayGrace)}
	}
}

// unsaved returns what is to be kept, if it has changed.
func (h *hub) takeUnsavedServers(now time.Time) *wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.serversChanged {
		return nil
	}
	h.serversChanged = false
	return &wire.Message{Servers: &wire.Servers{List: h.servers.List(now), Away: h.awayList(now)}}
}

// notSaved has what is known kept at the next try.
func (h *hub) markServersUnsaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serversChanged = true
}
