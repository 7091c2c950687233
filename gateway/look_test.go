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
	"github.com/ledgepin/ledgepin/internal/gate"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

// lines is a log that a test reads.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// with returns the lines of an event.
func (l *lines) with(e *event.Event) []string {
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

// newLoggedRig returns a rig whose gateway logs to what it returns too.
func newLoggedRig(t *testing.T) (*rig, *lines) {
	t.Helper()
	r, log := newRig(t), &lines{}
	r.gateway.log = slog.New(slog.NewTextHandler(log, nil))
	return r, log
}

// ends makes a server end under requests whose body is the one named.
func ends(body string) func(r *http.Request) standin.Fault {
	return func(r *http.Request) standin.Fault {
		if standin.BodyOf(r) == body && isDecode(r) {
			return standin.Crash
		}
		return standin.NoFault
	}
}

// TestEndedServerIsLogged wants a line with the content of a request under which a server
// has ended, and none where only the connection broke.
func TestEndedServerIsLogged(t *testing.T) {
	r, log := newLoggedRig(t)
	r.add("llm", "p1", "prefill")
	d := r.add("llm", "d1", "decode")
	d.SetFault(first(standin.LoseAnswer, isDecode))
	r.send("POST", "/review/1", "1", "a", work)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(log.with(event.ServerEnded)), 0, "the server is there")

	d.SetFault(ends("b"))
	r.send("POST", "/review/1", "2", "b", work)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := log.with(event.ServerEnded); len(got) != 1 || !strings.Contains(got[0], "server=d1") {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
}

// TestEndedServerBehindAProxy wants a server to be known to have ended also where something
// stands before it that takes connections in its place: a request that ended 40 servers was
// not stopped there, since each connection that looked after them was taken.
func TestEndedServerBehindAProxy(t *testing.T) {
	r, log := newLoggedRig(t)
	b, err := r.group.StartBackend("127.0.0.1:0", "s", "", backend.DefaultHeaders)
	assert.NilError(t, err)
	t.Cleanup(b.Kill)
	proxy := gate.New(t, b.Addr()).Addr()
	r.gateway.fleet.update(&wire.Servers{List: []registry.Server{{ID: "s", Service: "plain", Address: proxy, Zone: "z", State: registry.Ready, Sequence: 1}}}, nil)
	b.SetFault(first(standin.LoseAnswer, nil))
	r.send("POST", "/seats/1", "1", "a", nil)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(log.with(event.ServerEnded)), 0, "the server is there")
	b.SetFault(ends("b"))
	r.send("POST", "/seats/1", "2", "b", nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := log.with(event.ServerEnded); len(got) != 1 {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
}

// TestAnotherServerAtTheAddress wants a server to be known to have ended when another one
// answers at its address, and one that is full or slow to be there.
func TestAnotherServerAtTheAddress(t *testing.T) {
	r := newRig(t)
	b := r.add("plain", "s", "")
	q := &request{service: &route.Service{Name: "plain", HealthPath: standin.HealthPath}}
	s := &dispatch.Server{Server: registry.Server{ID: "s", Service: "plain", Address: b.Addr()}}
	assert.NilError(t, r.gateway.checkServer(q, s))
	b.Kill()
	other, err := r.group.StartBackend(b.Addr(), "other", "", backend.DefaultHeaders)
	assert.NilError(t, err)
	t.Cleanup(other.Kill)
	assert.ErrorIs(t, r.gateway.checkServer(q, s), errRestarted)
	other.Kill()
	assert.Assert(t, r.gateway.checkServer(q, s) != nil, "nothing is there")

	ln, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s.Address = ln.Addr().String()
	assert.NilError(t, r.gateway.checkServer(q, s), "what is slow is there")
}
