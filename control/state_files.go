package control

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// Replicas keep soft state in files beside the log that they would otherwise have to learn
// again after all processes were stopped.
//
// Servers repeat their reports about once a second, so a system whose processes were all
// stopped would know no server for that long after its restart. A replica starts with the
// servers that it last knew, and lists them for restoredServerTTL unless they report
// another state. A request names the incarnation of its server, so an outdated entry costs
// one refused attempt.
//
// The files are not part of the log: they may be lost, and no answer waits for them.

const (
	// stateSaveEvery is the minimum interval between two writes of a file.
	stateSaveEvery = 250 * time.Millisecond
	// restoredServerTTL is how long a restored server stays listed without a report: twice
	// the interval at which servers repeat their reports.
	restoredServerTTL = 2500 * time.Millisecond
)

// stateFile is a file of soft state beside the log.
type stateFile struct {
	name string
	// restore restores the contents of the file, and returns the number of entries. It
	// returns false if the message is not of the type that the file should hold.
	restore func(now time.Time, m *wire.Message) (int, bool)
	// takeUnsaved returns what is to be saved, or nil if it has not changed. markUnsaved
	// makes the next attempt save it again.
	takeUnsaved func(now time.Time) *wire.Message
	markUnsaved func()
}

// stateFiles returns the files of soft state; none if everything is kept in memory.
func (c *Control) stateFiles() []stateFile {
	if c.cfg.Dir == "" {
		return nil
	}
	return []stateFile{
		{"control.servers", c.hub.restoreServers, c.hub.takeUnsavedServers, c.hub.markServersUnsaved},
		{"control.contents", c.hub.restoreContents, c.hub.takeUnsavedContents, c.hub.markContentsUnsaved},
		{"control.versions", c.hub.restoreVersions, c.hub.takeUnsavedVersions, c.hub.markVersionsUnsaved},
	}
}

// loadStateFiles restores the soft state from its files.
func (c *Control) loadStateFiles() {
	for _, f := range c.stateFiles() {
		n, err := c.loadStateFile(f)
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			event.StateFileFailed.Log(c.log, "step", "read", "file", f.name, "error", fault.From(err))
		default:
			event.StateRestored.Log(c.log, "file", f.name, "entries", n)
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
		return 0, errors.New("the file holds a message of another type")
	}
	return n, nil
}

// saveStateFile saves a file whenever its state has changed, until the replica stops. A
// disk that is full or stalls delays nothing else.
func (c *Control) saveStateFile(f stateFile) {
	failing := false
	wait.Every(c.ctx, c.clock, stateSaveEvery, func(now time.Time) {
		m := f.takeUnsaved(now)
		if m == nil {
			return
		}
		data, err := wire.Marshal(m)
		if err == nil {
			err = diskfile.WriteFile(c.files(), filepath.Join(c.cfg.Dir, f.name), data)
		}
		if err != nil {
			f.markUnsaved()
		}
		if err != nil && !failing {
			event.StateFileFailed.Log(c.log, "step", "write", "file", f.name, "error", fault.From(err))
		}
		failing = err != nil
	})
}

// restoreServers restores the servers that were saved before the process started.
func (h *hub) restoreServers(now time.Time, m *wire.Message) (int, bool) {
	if m.Servers == nil {
		return 0, false
	}
	h.restoreServerList(now, m.Servers)
	return len(m.Servers.List), true
}

// restoreServerList adds the saved servers to the registry. Gateways receive them when they
// connect, like all other servers.
func (h *hub) restoreServerList(now time.Time, m *wire.Servers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range m.List {
		if s.State == registry.Ready {
			remaining := s.Cold - s.Age // the cold period is counted from the report
			s.Age = max(serverTTL-restoredServerTTL, 0)
			if s.Cold = 0; remaining > 0 {
				s.Cold = s.Age + remaining
			}
		}
		_, _ = h.recordReport(now, s) // a saved report of an earlier incarnation is useless
	}
	for _, a := range m.Away {
		back := now.Add(a.For)
		h.away[a.Server] = awayEngine{role: a.Role, earliestBack: back, deadline: back.Add(awayGrace)}
	}
}

// takeUnsavedServers returns the servers to save if they have changed, and marks them
// saved.
func (h *hub) takeUnsavedServers(now time.Time) *wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.serversChanged {
		return nil
	}
	h.serversChanged = false
	return &wire.Message{Servers: &wire.Servers{List: h.servers.List(now), Away: h.awayList(now)}}
}

// markServersUnsaved makes the next attempt save the servers again.
func (h *hub) markServersUnsaved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serversChanged = true
}
