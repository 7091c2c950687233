package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/internal/tcpproxy"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// member is a replica and its listener behind a gate.
type member struct {
	name  string
	dir   string
	gate  *tcpproxy.Proxy
	proc  *control.Control
	srv   *http.Server
	flaky *flakyFile
}

// group is a control group over loopback connections.
type group struct {
	t       *testing.T
	members map[string]*member
	addrs   map[string]string
	// gates are the gates between two replicas, by the names of the dialling and the
	// dialled one.
	gates         map[[2]string]*tcpproxy.Proxy
	snapshotEvery int
}

func newGroup(t *testing.T, names ...string) *group {
	t.Helper()
	g := prepareGroup(t, names...)
	for _, n := range names {
		g.start(n)
	}
	return g
}

// prepareGroup returns a group whose replicas have not been started.
func prepareGroup(t *testing.T, names ...string) *group {
	t.Helper()
	g := &group{t: t, members: map[string]*member{}, addrs: map[string]string{}, gates: map[[2]string]*tcpproxy.Proxy{}, snapshotEvery: 20}
	for _, n := range names {
		g.prepare(n)
	}
	for _, from := range names {
		for _, to := range names {
			g.gates[[2]string{from, to}] = tcpproxy.New(t, g.addrs[to])
		}
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.stop()
		}
	})
	return g
}

// prepare gives a replica its folder and the address at which others reach it.
func (g *group) prepare(name string) {
	m := &member{name: name, dir: g.t.TempDir(), gate: tcpproxy.New(g.t, "127.0.0.1:1")}
	g.members[name] = m
	g.addrs[name] = m.gate.Addr()
}

func (g *group) start(name string) {
	g.t.Helper()
	m := g.members[name]
	members := map[string]string{}
	for to := range g.addrs {
		members[to] = g.gates[[2]string{name, to}].Addr()
	}
	c, err := control.Start(control.Config{
		Name: name, Zone: "z-" + name, Members: members, Dir: m.dir, Log: discardLog, SnapshotEvery: g.snapshotEvery, Files: logFS{diskfile.OS, m.open},
	})
	assert.NilError(g.t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(g.t, err)
	m.proc = c
	m.srv = &http.Server{Handler: c.Handler()}
	go func() { _ = m.srv.Serve(ln) }()
	m.gate.SetTarget(ln.Addr().String())
}

// logFS is a file system with another function to open the log of the journal.
type logFS struct {
	diskfile.FS
	open func(path string) (diskfile.File, error)
}

func (l logFS) OpenAppend(path string) (diskfile.File, error) { return l.open(path) }

// open opens the journal on a disk that can be made to fail.
func (m *member) open(path string) (diskfile.File, error) {
	f, err := diskfile.OS.OpenAppend(path)
	m.flaky = &flakyFile{File: f}
	return m.flaky, err
}

type flakyFile struct {
	diskfile.File
	mu   sync.Mutex
	full bool
}

func (f *flakyFile) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(b)
}

func (f *flakyFile) fill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = true
}

// stop ends a replica at once, as a kill does, without notifying others.
func (m *member) stop() {
	if m.proc == nil {
		return
	}
	_ = m.srv.Close()
	m.proc.Close()
	m.proc = nil
}

// leader waits until a replica leads under a lease, and returns it.
func (g *group) leader() *member {
	g.t.Helper()
	var out *member
	g.wait("a leader", func() bool {
		for _, m := range g.members {
			if m.proc != nil && m.proc.Status().Lease {
				out = m
				return true
			}
		}
		return false
	})
	return out
}

func (g *group) wait(what string, cond func() bool) {
	g.t.Helper()
	for end := clock.VM.Now().Add(30 * time.Second); clock.VM.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	for name, m := range g.members {
		if m.proc == nil {
			g.t.Logf("%s is stopped", name)
			continue
		}
		state, _ := json.Marshal(m.proc.Dump())
		g.t.Logf("%s: %s", name, state)
	}
	g.t.Fatalf("timed out waiting for %s", what)
}

// others returns the running replicas except one.
func (g *group) others(except *member) []*member {
	var out []*member
	for _, m := range g.members {
		if m != except && m.proc != nil {
			out = append(out, m)
		}
	}
	return out
}

// isolate partitions a replica from all others in both directions without closing its
// connections.
func (g *group) isolate(m *member) { g.eachGate(m, (*tcpproxy.Proxy).Block) }

func (g *group) rejoin(m *member) { g.eachGate(m, (*tcpproxy.Proxy).Unblock) }

func (g *group) eachGate(m *member, do func(*tcpproxy.Proxy)) {
	for ends, gt := range g.gates {
		if ends[0] == m.name || ends[1] == m.name {
			do(gt)
		}
	}
}

// text returns a settings tree with one value that identifies the revision.
func (g *group) text(queue int) []byte { return fmt.Appendf(nil, "fleet:\n  queue_limit: %d\n", queue) }

// textWithControl returns a settings tree that lists the replicas, so that the leader
// brings the membership in line with it.
func (g *group) textWithControl(queue int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  control:\n", g.text(queue))
	for name, addr := range g.addrs {
		fmt.Fprintf(&b, "    %s: {address: %q, zone: z}\n", name, addr)
	}
	return []byte(b.String())
}

func change(c *control.Control, id string, base uint64, text []byte) (control.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.Change(ctx, control.Proposal{ID: id, Base: base, Text: text, Who: "op"})
}

// commit makes a change at the current leader and sends it again as an operator does.
func (g *group) commit(id string, base uint64, text []byte) control.Outcome {
	g.t.Helper()
	var out control.Outcome
	g.wait("change "+id, func() bool {
		var err error
		out, err = change(g.leader().proc, id, base, text)
		retry := fault.Is(err, fault.NotLeader) || fault.Is(err, fault.ChangeOutcomeUnknown)
		assert.Assert(g.t, err == nil || retry, "%v", err)
		return err == nil
	})
	return out
}

// awaitRevision waits until a replica has a revision.
func (g *group) awaitRevision(m *member, revision uint64) {
	g.t.Helper()
	g.wait(fmt.Sprintf("revision %d at %s", revision, m.name), func() bool {
		cur, err := m.proc.Settings()
		return err == nil && cur.Revision == revision
	})
}
