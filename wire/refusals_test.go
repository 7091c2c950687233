package wire_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/wire"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// linesOf returns the lines of one event.
func (l *logBuffer) linesOf(e *event.Event) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, e.ID) {
			out = append(out, line)
		}
	}
	return out
}

func (l *logBuffer) log() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// serveLogged runs a link server that logs to out.
func serveLogged(t *testing.T, out *logBuffer, o wire.Options, serve func(*wire.Link)) string {
	t.Helper()
	srv := httptest.NewServer(wire.Handler(out.log(), o, serve))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// counterValue returns the value of a counter.
func counterValue(name string, labels ...string) float64 {
	families, err := metric.Registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			var have []string
			for _, l := range m.GetLabel() {
				have = append(have, l.GetValue())
			}
			if slices.Equal(have, labels) { // both are sorted by label name
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func refusedLinks(side, reason string) float64 {
	return counterValue("ledgepin_links_refused_total", reason, side)
}

// TestVersionMismatchIsLoggedOnce guards against a log full of refusals: a process dials a peer
// with incompatible versions for ten minutes. Each end logs one line and counts each attempt,
// and the pauses between attempts grow.
func TestVersionMismatchIsLoggedOnce(t *testing.T) {
	var there, here logBuffer
	addr := serveLogged(t, &there, wire.Options{Hello: hello, Versions: compat.Single(11)}, func(*wire.Link) { t.Error("a link opened") })
	now := time.Unix(1000, 0)
	d := wire.Dialer{Log: here.log(), Now: func() time.Time { return now }, Random: func() float64 { return 1 }}
	o := wire.Options{Hello: hello}
	dialled, accepted := refusedLinks("dialled", "versions_apart"), refusedLinks("accepted", "versions_apart")
	var tries []time.Duration
	for range 10_000 { // ten minutes at intervals of 60 ms
		before := refusedLinks("dialled", "versions_apart")
		_, err := d.Dial(t.Context(), addr, o)
		assert.Assert(t, fault.Is(err, fault.VersionsApart), "%v", err)
		if refusedLinks("dialled", "versions_apart") > before {
			tries = append(tries, now.Sub(time.Unix(1000, 0)))
		}
		now = now.Add(60 * time.Millisecond)
	}
	assert.Assert(t, len(tries) > 100 && len(tries) < 130, "%d tries in ten minutes", len(tries))
	for i, at := range tries[1:] {
		pause := at - tries[i]
		assert.Assert(t, pause >= 60*time.Millisecond && pause <= 5*time.Second+60*time.Millisecond, "pause %d: %v", i, pause)
	}
	assert.Equal(t, int(refusedLinks("dialled", "versions_apart")-dialled), len(tries))
	assert.Equal(t, int(refusedLinks("accepted", "versions_apart")-accepted), len(tries))
	for end, out := range map[string]*logBuffer{"dialled": &here, "accepted": &there} {
		lines := out.linesOf(event.NoCommonVersion)
		assert.Equal(t, len(lines), 1, "%s: %v", end, lines)
		assert.Assert(t, strings.Contains(lines[0], "speaks version"), "%s", lines[0])
		assert.Assert(t, strings.Contains(lines[0], "level=WARN"), "%s", lines[0])
	}
}

// TestDialBackoffStartsOver checks that the backoff starts over for a peer whose range has
// changed and for one that was connected, and that each peer has a backoff of its own.
func TestDialBackoffStartsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	var out logBuffer
	d := wire.Dialer{Log: out.log(), Now: func() time.Time { return now }, Random: func() float64 { return 1 }}
	versions := compat.Single(11)
	var mu sync.Mutex
	handler := func() wire.Options {
		mu.Lock()
		defer mu.Unlock()
		return wire.Options{Hello: hello, Versions: versions}
	}
	addr := serveChangingOptions(t, handler)
	other := serveWith(t, wire.Options{Hello: hello, Versions: compat.Single(11)}, func(*wire.Link) {})
	tried := func(addr string) bool {
		before := refusedLinks("dialled", "versions_apart")
		l, err := d.Dial(t.Context(), addr, wire.Options{Hello: hello})
		if err == nil {
			l.Close()
			return true
		}
		return refusedLinks("dialled", "versions_apart") > before
	}
	set := func(r compat.Range) {
		mu.Lock()
		defer mu.Unlock()
		versions = r
	}
	for range 20 { // until the backoff is at its maximum
		assert.Assert(t, tried(addr))
		assert.Assert(t, !tried(addr), "dialled before the backoff is over")
		now = now.Add(5 * time.Second)
	}
	assert.Assert(t, tried(other), "another peer shares the backoff")
	set(compat.Single(10))
	assert.Assert(t, tried(addr))
	now = now.Add(60 * time.Millisecond)
	assert.Assert(t, tried(addr), "a new range does not reset the backoff")
	now = now.Add(5 * time.Second)
	set(wire.Versions)
	assert.Assert(t, tried(addr), "no link")
	set(compat.Single(10))
	assert.Assert(t, tried(addr))
	now = now.Add(60 * time.Millisecond)
	assert.Assert(t, tried(addr), "a link does not reset the backoff")
	assert.Equal(t, len(out.linesOf(event.NoCommonVersion)), 3, "want two ranges of one peer and one of another")
}

func wireHandler(options func() wire.Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wire.Handler(quiet, options(), func(*wire.Link) {}).ServeHTTP(w, r)
	})
}

// serveChangingOptions runs a link server whose options may change.
func serveChangingOptions(t *testing.T, options func() wire.Options) string {
	t.Helper()
	srv := httptest.NewServer(wireHandler(options))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// TestOtherDialFailuresHaveNoBackoff checks that an unreachable peer is dialled each time.
func TestOtherDialFailuresHaveNoBackoff(t *testing.T) {
	srv := httptest.NewServer(nil)
	addr := srv.Listener.Addr().String()
	srv.Close()
	d := wire.Dialer{Now: func() time.Time { return time.Unix(1000, 0) }}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := d.Dial(ctx, addr, wire.Options{Hello: hello})
		cancel()
		assert.Assert(t, fault.Is(err, fault.LinkLost), "%v", err)
	}
	srv = httptest.NewServer(wireHandler(func() wire.Options { return wire.Options{Hello: hello} }))
	defer srv.Close()
	l, err := d.Dial(t.Context(), srv.Listener.Addr().String(), wire.Options{Hello: hello})
	assert.NilError(t, err)
	l.Close()
}

// TestBadPeersAreLoggedRarely guards against a host that floods the log with bad hellos: all
// are counted, one is logged, and other peers are still served.
func TestBadPeersAreLoggedRarely(t *testing.T) {
	var out logBuffer
	addr := serveLogged(t, &out, wire.Options{Hello: hello}, echo)
	l, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello})
	assert.NilError(t, err)
	defer l.Close()
	before := refusedLinks("accepted", "bad_peer")
	const bad = 100
	for i := range bad {
		frame, err := wire.Marshal(&wire.Message{Hello: &wire.Hello{Version: 3, Name: fmt.Sprint(i), Least: 1 << 53, Most: -i}})
		assert.NilError(t, err)
		conn := dialRaw(t, addr)
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, frame))
		_, _, err = conn.Read(t.Context())
		assert.Assert(t, err != nil)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := refusedLinks("accepted", "bad_peer") - before; n < bad {
			return poll.Continue("%v refusals were counted", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, len(out.linesOf(event.BadPeer)), 1)
	again, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello})
	assert.NilError(t, err)
	again.Close()
	got := make(chan *wire.Message, 1)
	go func() { _ = l.Run(t.Context(), func(m *wire.Message) { got <- m }) }()
	assert.NilError(t, l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: 7}}))
	select {
	case m := <-got:
		assert.Equal(t, m.Heartbeat.Revision, uint64(7))
	case <-time.After(5 * time.Second):
		t.Fatal("a good link got no answer")
	}
}

// TestManyVersionRangesAreLoggedRarely guards against a host that floods the log by presenting
// ever new ranges.
func TestManyVersionRangesAreLoggedRarely(t *testing.T) {
	var out logBuffer
	addr := serveLogged(t, &out, wire.Options{Hello: hello}, echo)
	for i := range 200 {
		_, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello, Versions: compat.Single(100 + i)})
		assert.Assert(t, fault.Is(err, fault.VersionsApart), "%v", err)
	}
	n := len(out.linesOf(event.NoCommonVersion))
	assert.Assert(t, n > 0 && n <= 2*64, "%d lines", n)
}
