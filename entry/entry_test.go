package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/tcpproxy"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/standin"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// serve serves links on a loopback listener and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func startControl(t *testing.T) (*control.Control, string) {
	t.Helper()
	c, err := control.Start(control.Config{Name: "c", Zone: "z1", Members: map[string]string{"c": "127.0.0.1:1"}, Log: quiet})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c, serve(t, c.Handler())
}

func apply(t *testing.T, c *control.Control, base uint64, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := c.Change(context.Background(), control.Proposal{ID: fmt.Sprint("at", base), Base: base, Text: []byte(text)})
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// startServer starts a stand-in engine and its agent, and returns the agent's address.
func startServer(t *testing.T, name, zone string) string {
	return startSlowServer(t, name, zone, time.Millisecond)
}

func startSlowServer(t *testing.T, name, zone string, tokenTime time.Duration) string {
	addr, _ := startEngine(t, name, zone, tokenTime, 8)
	return addr
}

func startEngine(t *testing.T, name, zone string, tokenTime time.Duration, tokens int) (string, *standin.Engine) {
	t.Helper()
	e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
		Name: name, Models: []string{"m"}, PrefillRate: 1e5, TokenTime: tokenTime, LinkRate: 1e9,
		KVPerToken: 1000, KVHold: 5 * time.Second, Slots: 8, Tokens: tokens,
	})
	assert.NilError(t, err)
	a := agent.Start(agent.Config{Name: name, Zone: zone, Engine: e.Addr(), Log: quiet})
	t.Cleanup(func() { a.Close(); e.Kill() })
	return serve(t, a.Handler()), e
}

func startEntry(t *testing.T, c entry.Config) *entry.Entry {
	t.Helper()
	c.Log = quiet
	e := entry.Start(c)
	t.Cleanup(e.Close)
	return e
}

func waitReady(t *testing.T, e *entry.Entry, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ok, detail := e.Ready()
		if !ok || !strings.Contains(detail, want) {
			return poll.Continue("ready %t, %q", ok, detail)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

func revisionOf(e *entry.Entry) uint64 { return e.Dump().(entry.Dump).Revision }

func waitRevision(t *testing.T, e *entry.Entry, want uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := revisionOf(e); got != want {
			return poll.Continue("revision %d, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

const fleetSettings = `fleet:
  queue_limit: %d
  open_limit: 10
  models: {m: {version: "1", weights: 1GB, kv_per_token: 1KB}}
  classes: {desk: {priority: 0, ttft: 5s, tbt: 1s}}
  customers: {c: {tokens: [{sha256: ` + "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" + `, class: desk}]}}
  sites:
`

func siteSettings(name, zone string, prefill, decode map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "    %s:\n      zone: %s\n      pools:\n", name, zone)
	for role, servers := range map[string]map[string]string{"prefill": prefill, "decode": decode} {
		fmt.Fprintf(&b, "        %s:\n          role: %s\n          models: {m: {}}\n          servers:\n", role, role)
		for n, addr := range servers {
			fmt.Fprintf(&b, "            %s: {agent: %q}\n", n, addr)
		}
	}
	return b.String()
}

// runRequest runs a request to its end and returns the text.
func runRequest(t *testing.T, e *entry.Entry) (string, error) {
	t.Helper()
	f, err := e.Submit(t.Context(), entry.ModelRequest{Grant: settings.Grant{Customer: "c", Class: "desk"}, Request: engine.Request{Model: "m", Prompt: "hello"}})
	if err != nil {
		return "", err
	}
	text := ""
	for {
		p, err := f.Next(t.Context())
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += p.Text
	}
}

// TestPartitionedSiteServesSettingsOfPeers starts an entry at a site that is partitioned from
// control. It guards against an entry that refuses to serve with the settings that a majority
// of the site's peers have, does not report that it is degraded, goes back to an older revision,
// or does not reach the newest one once control is back.
func TestPartitionedSiteServesSettingsOfPeers(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	uplink := tcpproxy.New(t, addr)
	p, d := startServer(t, "p1", "z1"), startServer(t, "d1", "z1")
	text := func(queue int) string {
		return fmt.Sprintf(fleetSettings, queue) + siteSettings("s1", "z1", map[string]string{"p1": p}, map[string]string{"d1": d})
	}
	apply(t, c, 0, text(10))
	first := startEntry(t, entry.Config{Name: "e1", Zone: "z1", Upstream: []string{uplink.Addr()}})
	waitRevision(t, first, 1)
	// The links to the agents open after the settings have arrived.
	_, err := runRequest(t, first)
	for end := time.Now().Add(10 * time.Second); fault.Is(err, fault.NoServer) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		_, err = runRequest(t, first)
	}
	assert.NilError(t, err)

	uplink.Block()
	uplink.CloseConnections()
	for i := range 20 {
		apply(t, c, uint64(i+1), text(11+i))
	}
	assert.Equal(t, revisionOf(first), uint64(1), "a running entry must continue with its last revision")
	got, err := runRequest(t, first)
	assert.NilError(t, err)
	assert.Equal(t, got, standin.Answer("hello", 8))

	second := startEntry(t, entry.Config{Name: "e2", Zone: "z1", Upstream: []string{uplink.Addr()}, Peers: []string{p, d}})
	_, err = runRequest(t, second)
	assert.Assert(t, fault.Is(err, fault.NotReady), "it must not serve before it has usable settings: %v", err)
	waitReady(t, second, "degraded")
	assert.Equal(t, revisionOf(second), uint64(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got, err := runRequest(t, second); err != nil || got != standin.Answer("hello", 8) {
			return poll.Continue("%q %v", got, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))

	uplink.Unblock()
	waitRevision(t, first, 21)
	waitRevision(t, second, 21)
	waitReady(t, second, "")
	assert.Assert(t, !second.Dump().(entry.Dump).Degraded)
}

// TestPersistedSettingsNeedConfirmation guards against an entry that starts with the settings on
// its disk and acts on them before they are confirmed: they may be old.
func TestPersistedSettingsNeedConfirmation(t *testing.T) {
	t.Parallel()
	file := spread.NewFile(t.TempDir())
	assert.NilError(t, file.Write(7, []byte("fleet: {queue_limit: 1}\n")))
	e := startEntry(t, entry.Config{Name: "e", Zone: "z1", Upstream: []string{"127.0.0.1:1"}, SettingsFile: file})
	time.Sleep(500 * time.Millisecond)
	ok, detail := e.Ready()
	assert.Assert(t, !ok, detail)
	assert.Equal(t, revisionOf(e), uint64(0))
}

// TestRelayForwardsSettings guards against a relay that does not forward a change to an entry
// that has no link to control.
func TestRelayForwardsSettings(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	relay := startEntry(t, entry.Config{Name: "relay", Zone: "z1", Upstream: []string{addr}})
	below := startEntry(t, entry.Config{Name: "below", Zone: "z1", Upstream: []string{serve(t, relay.Handler())}})
	for i := range 5 {
		apply(t, c, uint64(i), fmt.Sprintf("fleet: {queue_limit: %d}\n", i+1))
		waitRevision(t, relay, uint64(i+1))
		waitRevision(t, below, uint64(i+1))
	}
}

// TestCustomerLimitHoldsBelowRelay opens many requests of a customer with a limit of ten at an
// entry downstream of a relay. It guards against an entry that exceeds the limit, or that can
// use only its minimum share of it.
func TestCustomerLimitHoldsBelowRelay(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	p, d := startServer(t, "p1", "z1"), startSlowServer(t, "d1", "z1", time.Hour) // no request ends
	relay := startEntry(t, entry.Config{Name: "relay", Zone: "z1", Upstream: []string{addr}})
	e := startEntry(t, entry.Config{Name: "e", Zone: "z1", Upstream: []string{serve(t, relay.Handler())}})
	apply(t, c, 0, strings.Replace(fmt.Sprintf(fleetSettings, 100), "ttft: 5s", "ttft: 1000s", 1)+
		"    s1:\n      zone: z1\n      pools:\n"+
		"        prefill: {role: prefill, slots: 1, models: {m: {}}, servers: {p1: {agent: "+fmt.Sprintf("%q", p)+"}}}\n"+
		"        decode: {role: decode, slots: 1, models: {m: {}}, servers: {d1: {agent: "+fmt.Sprintf("%q", d)+"}}}\n")
	waitRevision(t, e, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.AvailableServers() < 2 {
			return poll.Continue("no links")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	open := func() (n int, over error) {
		for range 20 {
			f, err := e.Submit(t.Context(), entry.ModelRequest{Grant: settings.Grant{Customer: "c", Class: "desk"}, Request: engine.Request{Model: "m", Prompt: "hello"}})
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			_, err = f.Next(ctx)
			cancel()
			if fault.Is(err, fault.OverLimit) {
				return n, err
			}
			n++
		}
		return n, nil
	}
	n, err := open()
	assert.Assert(t, fault.Is(err, fault.OverLimit), "%v", err)
	assert.Equal(t, n, 4, "the minimum share, before any units are granted")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m, _ := open()
		n += m
		if n < 10 {
			return poll.Continue("%d open", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(500*time.Millisecond))
	time.Sleep(3 * time.Second)
	m, err := open()
	assert.Assert(t, fault.Is(err, fault.OverLimit))
	assert.Equal(t, n+m, 10, "the limit of the whole fleet")
}

// TestSlowReaderIsDisconnected opens a request and does not read its answer. It guards against
// buffering the whole answer, and against a run that keeps its memory at the engine until
// the answer ends.
func TestSlowReaderIsDisconnected(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	p := startServer(t, "p1", "z1")
	d, decoder := startEngine(t, "d1", "z1", time.Millisecond, 4096)
	apply(t, c, 0, fmt.Sprintf(fleetSettings, 10)+siteSettings("s1", "z1", map[string]string{"p1": p}, map[string]string{"d1": d}))
	e := startEntry(t, entry.Config{Name: "e", Zone: "z1", Upstream: []string{addr}})
	waitRevision(t, e, 1)
	var f *entry.Flow
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		f, err = e.Submit(t.Context(), entry.ModelRequest{Grant: settings.Grant{Customer: "c", Class: "desk"}, Request: engine.Request{Model: "m", Prompt: "all"}})
		if err != nil {
			return poll.Continue("%v", err)
		}
		if _, err = f.Next(t.Context()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	begin := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := decoder.Held(); len(held) > 0 {
			return poll.Continue("%v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, time.Since(begin) < 3*time.Second, "the run must end early, a complete answer takes 4 s")
	n := 1
	var err error
	for ; err == nil; n++ {
		_, err = f.Next(t.Context())
	}
	assert.Assert(t, fault.Is(err, fault.CallerSlow), "%v", err)
	assert.Assert(t, n < 1000, "%d chunks were buffered", n)
}
