package main_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// order gives an order about a zone to any replica until one has taken it.
func (s *site) order(zone, what string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		var last string
		for _, api := range s.api {
			status, body, err := s.call("POST", "http://"+api+"/-/evacuations/"+zone+"/"+what, "")
			if err == nil && status == 200 {
				return poll.Success()
			}
			last = fmt.Sprint(status, body, err)
		}
		return poll.Continue("nobody takes the order: %s", last)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// TestEvacuationAcrossRestarts evacuates a zone, and ends control as a whole and both gateways
// after that: not one request reaches the zone's server, before and after, until the zone is given
// back. Requests go on at the other zone.
func TestEvacuationAcrossRestarts(t *testing.T) {
	s := newSite(t)
	s.mu.Lock()
	s.zones["a2"] = "y"
	s.mu.Unlock()
	away := s.server("app", "a1", "") // in the zone of the gateways, who prefer it
	s.server("app", "a2", "")
	s.put(table(1, ""))
	asked := 0
	both := func() {
		t.Helper()
		for name := range s.front {
			for range 5 {
				asked++
				status, _, err := s.ask(name, "/rates/x", fmt.Sprint("rate-", asked))
				assert.NilError(t, err)
				assert.Equal(t, status, 200)
			}
		}
	}
	for name := range s.front {
		s.isReady(name, true)
		s.serves(name, "/rates/0", 200)
	}
	reaches := func() {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			before := len(away.Arrivals())
			both()
			if len(away.Arrivals()) == before {
				return poll.Continue("nothing reaches the zone")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	reaches()
	status, _, err := s.call("POST", "http://"+s.api[0]+"/-/evacuations/nowhere/start", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 404)
	s.order("z", "start")
	poll.WaitOn(t, func(poll.LogT) poll.Result { // in force at both
		before := len(away.Arrivals())
		both()
		if len(away.Arrivals()) > before {
			return poll.Continue("requests still reach the zone")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	before := len(away.Arrivals())
	for _, kind := range []string{"control", "gateway"} {
		for _, p := range s.each(kind) {
			p.signal(syscall.SIGKILL)
			p.stop()
		}
		for _, p := range s.each(kind) {
			p.start()
		}
		for name := range s.front {
			s.isReady(name, true)
			s.serves(name, "/rates/0", 200)
		}
		both()
		assert.Equal(t, len(away.Arrivals()), before, "after the end of each %s", kind)
	}
	s.order("z", "finish")
	reaches()
}
