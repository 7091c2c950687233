package gateway

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/tcpproxy"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

// testLog is a log that a test can read.
type testLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// linesOf returns the lines of an event.
func (l *testLog) linesOf(e *event.Event) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, e.ID) {
			out = append(out, line)
		}
	}
	return out
}

// newLoggedHarness returns a harness and the log of its gateway.
func newLoggedHarness(t *testing.T) (*harness, *testLog) {
	t.Helper()
	h, log := newHarness(t), &testLog{}
	h.gateway.log = slog.New(slog.NewTextHandler(log, nil))
	h.gateway.contents.log = h.gateway.log
	return h, log
}

// crashOn makes a server crash under requests with the given body.
func crashOn(body string) func(r *http.Request) standin.Fault {
	return func(r *http.Request) standin.Fault {
		if standin.BodyOf(r) == body && isDecode(r) {
			return standin.Crash
		}
		return standin.NoFault
	}
}

// TestCrashedServerIsLogged checks that there is a line with the content of a request under which a
// server has crashed, and none if only the connection was interrupted.
func TestCrashedServerIsLogged(t *testing.T) {
	h, log := newLoggedHarness(t)
	h.add("llm", "p1", "prefill")
	d := h.add("llm", "d1", "decode")
	d.SetFault(faultOnce(standin.LoseAnswer, isDecode))
	h.send("POST", "/review/1", "1", "a", workHeaders)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(log.linesOf(event.ServerCrashed)), 0, "the server is running")

	d.SetFault(crashOn("b"))
	h.send("POST", "/review/1", "2", "b", workHeaders)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := log.linesOf(event.ServerCrashed); len(got) != 1 || !strings.Contains(got[0], "server=d1") {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
}

// TestCrashBehindProxyIsDetected checks that the crash of a server is also detected if a proxy in
// front of it accepts connections in its place. If a check is only that a connection is accepted, a
// poison request is not blocked there, even after 40 servers have crashed under it.
func TestCrashBehindProxyIsDetected(t *testing.T) {
	h, log := newLoggedHarness(t)
	b, err := h.group.StartBackend("127.0.0.1:0", "s", "", backend.DefaultHeaders)
	assert.NilError(t, err)
	t.Cleanup(b.Kill)
	proxy := tcpproxy.New(t, b.Addr()).Addr()
	h.gateway.fleet.update(&wire.Servers{List: []registry.Server{{ID: "s", Service: "plain", Address: proxy, Zone: "z", State: registry.Ready, Sequence: 1}}}, nil)
	b.SetFault(faultOnce(standin.LoseAnswer, nil))
	h.send("POST", "/seats/1", "1", "a", nil)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(log.linesOf(event.ServerCrashed)), 0, "the server is running")
	b.SetFault(crashOn("b"))
	h.send("POST", "/seats/1", "2", "b", nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := log.linesOf(event.ServerCrashed); len(got) != 1 {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
}

// TestReplacedServerIsDetected checks that a server counts as ended if another one answers at its
// address, and as running if it is full or slow.
func TestReplacedServerIsDetected(t *testing.T) {
	h := newHarness(t)
	b := h.add("plain", "s", "")
	q := &request{service: &route.Service{Name: "plain", HealthPath: standin.HealthPath}}
	s := &dispatch.Server{Server: registry.Server{ID: "s", Service: "plain", Address: b.Addr()}}
	assert.NilError(t, h.gateway.checkServer(q, s))
	b.Kill()
	other, err := h.group.StartBackend(b.Addr(), "other", "", backend.DefaultHeaders)
	assert.NilError(t, err)
	t.Cleanup(other.Kill)
	assert.ErrorIs(t, h.gateway.checkServer(q, s), errRestarted)
	other.Kill()
	assert.Assert(t, h.gateway.checkServer(q, s) != nil, "no server is running")

	ln, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s.Address = ln.Addr().String()
	assert.NilError(t, h.gateway.checkServer(q, s), "a slow server is running")
}
