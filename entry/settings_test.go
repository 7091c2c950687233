package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/standin"
)

// TestRemovedServerFinishesItsWork removes a decode server from the settings while it streams,
// and adds it again. It guards against a stream that is cut or moved by the change, against new
// work at a removed server, and against a server that gets no work after it is added again.
func TestRemovedServerFinishesItsWork(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	p := startServer(t, "p1", "z1")
	d1, engine1 := startEngine(t, "d1", "z1", 10*time.Millisecond, 100)
	d2, engine2 := startEngine(t, "d2", "z1", time.Millisecond, 100)
	tree := func(decode map[string]string) string {
		return fmt.Sprintf(fleetSettings, 10) + siteSettings("s1", "z1", map[string]string{"p1": p}, decode)
	}
	both := tree(map[string]string{"d1": d1, "d2": d2})
	apply(t, c, 0, tree(map[string]string{"d1": d1}))
	e := startEntry(t, entry.Config{Name: "e", Zone: "z1", Upstream: []string{addr}})
	waitRevision(t, e, 1)
	answer := standin.Answer("hello", 100)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.AvailableServers() < 2 {
			return poll.Continue("no links")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	done := make(chan error, 1)
	var got string
	started := 0
	begin := func() {
		started++
		go func() {
			var err error
			got, err = runRequest(t, e)
			done <- err
		}()
	}
	begin()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-done: // it ended before it was observed, as on a VM that was paused
			assert.NilError(t, err)
			begin()
		default:
		}
		if len(engine1.Held()) == 0 {
			return poll.Continue("the engine has no run yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	apply(t, c, 1, tree(map[string]string{"d2": d2}))
	waitRevision(t, e, 2)
	assert.NilError(t, <-done)
	assert.Equal(t, got, answer)
	assert.Equal(t, engine2.Decodes(), 0, "the run must not move to another engine")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := runRequest(t, e); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, engine1.Decodes(), started)
	assert.Assert(t, engine2.Decodes() >= 1)
	apply(t, c, 2, both)
	waitRevision(t, e, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := runRequest(t, e); err != nil || engine1.Decodes() == started {
			return poll.Continue("d1 has no work again: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestServersOfOtherZoneAreBorrowed makes all servers of the entry's own zone unreachable in a
// large fleet. It guards against an entry that can't use the free servers of another zone.
func TestServersOfOtherZoneAreBorrowed(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	unreachable := map[string]string{}
	for i := range 70 {
		unreachable[fmt.Sprint("gone-", i)] = "127.0.0.1:1"
	}
	farPrefill := map[string]string{"fp": startServer(t, "fp", "z2")}
	farDecode := map[string]string{"fd": startServer(t, "fd", "z2")}
	apply(t, c, 0, fmt.Sprintf(fleetSettings, 100)+siteSettings("s1", "z1", unreachable, map[string]string{"gone-d": "127.0.0.1:1"})+siteSettings("s2", "z2", farPrefill, farDecode))
	near := startEntry(t, entry.Config{Name: "near", Zone: "z1", Upstream: []string{addr}})
	startEntry(t, entry.Config{Name: "other", Zone: "z2", Upstream: []string{addr}})
	waitRevision(t, near, 1)
	_, err := runRequest(t, near)
	assert.Assert(t, fault.Is(err, fault.NoServer), "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got, err := runRequest(t, near); err != nil || got != standin.Answer("hello", 8) {
			return poll.Continue("%q %v", got, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(200*time.Millisecond))
}
