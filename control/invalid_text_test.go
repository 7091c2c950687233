package control_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// invalidNames are names of servers that a peer of an older build can't decode, or that would end
// a field of a request's head.
var invalidNames = []string{"\xff", "\xed\xa0\x80", "a\xe2\x82", "a\nb", "a\x00b", "a\ufffdb", "a\u0085b"}

// expectAgreement checks that the group accepts a table and that every replica returns it.
func (c *cluster) expectAgreement(version uint64) {
	c.t.Helper()
	c.put(version)
	c.expectTable(version)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if t, err := n.proc.Table(); err != nil || t == nil || t.Version != version {
				return poll.Continue("%s returns %v, %v", n.addr, t, err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestInvalidNamesDoNotStopControl guards against a report whose name other processes can't decode:
// each replica forwarded it in a frame at which all links to it were closed, for as long as it kept
// the report.
func TestInvalidNamesDoNotStopControl(t *testing.T) {
	c := newCluster(t, 3)
	c.expectAgreement(1)
	version := uint64(1)
	for _, state := range []registry.State{registry.Ready, registry.Draining, registry.Gone} {
		for _, name := range invalidNames {
			for _, n := range c.nodes {
				s := registry.Server{ID: name, Service: "llm", Address: "127.0.0.1:9", Zone: "z", State: state, Sequence: 1}
				if state == registry.Gone {
					s = registry.Server{ID: name, State: state}
				}
				_, err := n.proc.Report(s)
				assert.ErrorIs(t, err, registry.ErrInvalidText, "%q", name)
			}
		}
		version++
		c.expectAgreement(version)
	}
	for _, n := range c.nodes {
		assert.Equal(t, len(n.proc.Servers()), 0)
	}
}

// TestTooLargeChangesAreRefused guards against a change that fits into no frame: the leader would
// append it and could replicate neither it nor any later one.
func TestTooLargeChangesAreRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.expectAgreement(1)
	for _, n := range c.nodes {
		err := n.proc.PutTable(t.Context(), &route.Table{Version: 2, Source: make([]byte, wire.MaxFrameBytes)})
		assert.Assert(t, fault.Is(err, fault.BadSettings) || fault.Is(err, fault.NotLeader), "%v", err)
	}
	c.expectAgreement(3)
}

// olderReplica is a replica of an older build that forwards a report with an invalid name to every
// replica that opens a link to it.
type olderReplica struct {
	links  atomic.Int32
	closed atomic.Int32
}

func startOlderReplica(t *testing.T, name string, nodes []*node) *olderReplica {
	t.Helper()
	r := &olderReplica{}
	address := freeport.Addr(t)
	hello := func() wire.Hello { return wire.Hello{Name: address, Role: wire.RoleControl, Zone: "z"} }
	frame, err := cbor.Marshal(map[int]any{33: map[int]any{1: []any{
		map[int]any{1: name, 2: "llm", 3: "127.0.0.1:9", 4: "z", 6: "draining", 8: 1},
		map[int]any{1: "beside", 2: "llm", 3: "127.0.0.1:9", 4: "z", 6: "draining", 8: 1},
	}}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	srv := httptest.NewUnstartedServer(wire.Handler(discardLog, wire.Options{Hello: hello}, func(l *wire.Link) {
		if r.links.Add(1) > int32(len(nodes)) {
			return // a replica has opened its link anew
		}
		for range 3 {
			_ = l.SendFrame(frame)
		}
		stop := context.AfterFunc(ctx, l.Close)
		defer stop()
		go func() {
			for ctx.Err() == nil && l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}}) == nil {
				time.Sleep(100 * time.Millisecond)
			}
		}()
		_ = l.Run(ctx, func(*wire.Message) {})
		if ctx.Err() == nil {
			r.closed.Add(1)
		}
	}))
	_ = srv.Listener.Close()
	srv.Listener = ln
	srv.Start()
	t.Cleanup(func() { cancel(); srv.Close() })
	for _, n := range nodes {
		l, err := wire.Dial(ctx, n.addr, wire.Options{Hello: hello})
		assert.NilError(t, err)
		go func() { _ = l.Run(ctx, func(*wire.Message) {}) }()
		t.Cleanup(l.Close)
	}
	return r
}

// TestInvalidNamesOfOlderReplicasAreNotForwarded guards against an older build beside this one that
// accepts and forwards a report with an invalid name: this build keeps the link, uses the other
// reports in the frame, and sends that one to no gateway.
func TestInvalidNamesOfOlderReplicasAreNotForwarded(t *testing.T) {
	for _, name := range invalidNames {
		t.Run(url.PathEscape(name), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			c.expectAgreement(1)
			var forwarded atomic.Int32
			dialGateway(t, c.nodes[0], func(m *wire.Message) {
				if m.Servers == nil {
					return
				}
				for _, s := range m.Servers.List {
					if s.ID != "beside" {
						forwarded.Add(1)
					}
				}
			})
			older := startOlderReplica(t, name, c.nodes)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, n := range c.nodes {
					if serverStates(n)["beside"] != registry.Draining {
						return poll.Continue("%s lists %v", n.addr, serverStates(n))
					}
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			c.expectAgreement(2)
			for _, n := range c.nodes {
				assert.Equal(t, len(n.proc.Servers()), 1, "%s", n.addr)
			}
			assert.Equal(t, older.closed.Load(), int32(0), "links that were closed")
			assert.Equal(t, forwarded.Load(), int32(0), "reports with the name at a gateway")
		})
	}
}

// sendReport sends a server's report to the calls that a replica serves. The name is written into
// the path as it is.
func sendReport(c *control.Control, name, call, body string) {
	u, err := url.ParseRequestURI("/-/instances/" + name + call)
	if err != nil {
		return // no client can send it
	}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	r.URL = u
	platform.ControlHandler(c, "1").ServeHTTP(httptest.NewRecorder(), r)
}

// FuzzReports sends arbitrary reports to one replica and checks that all of them still agree on a
// change. Inputs are the name in the path, as it is written there, and the body.
func FuzzReports(f *testing.F) {
	const body = `{"service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":6,"state":"draining","coldRemainingMs":0,"sequence":1}`
	for _, name := range []string{"i-1", "%FF", "%ED%A0%80", "a%E2%82", "%FF%2F", "a%0Ab", "%00", "a%252Fb"} {
		f.Add(name, body)
		f.Add(name, "")
	}
	for _, text := range []string{"\xff", `\ud800`, `\n`, `\u0000`, "\xe2\x82"} {
		for _, field := range []string{"llm", "127.0.0.1:9", `"z"`, "v1"} {
			f.Add("i-2", strings.Replace(body, field, strings.TrimRight(field, `"`)+text+strings.Repeat(`"`, strings.Count(field, `"`)/2), 1))
		}
	}
	f.Add("i-3", strings.Replace(body, "127.0.0.1:9", `[fe80::1%\n]:9`, 1))
	c := newCluster(f, 3)
	version := uint64(1)
	c.put(version)
	f.Fuzz(func(t *testing.T, name, body string) {
		sendReport(c.nodes[0].proc, name, "/heartbeat", body)
		sendReport(c.nodes[1].proc, name, "/deregister", body)
		version++
		c.t = t
		c.put(version)
		c.expectTable(version)
	})
}
