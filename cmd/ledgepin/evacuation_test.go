package main_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// orderEvacuation sends an order on a zone, start or finish, to the replicas until
// one accepts it.
func (c *cluster) orderEvacuation(zone, action string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		var last string
		for _, api := range c.controlAPIs {
			status, body, err := c.call("POST", "http://"+api+"/-/evacuations/"+zone+"/"+action, "")
			if err == nil && status == 200 {
				return poll.Success()
			}
			last = fmt.Sprint(status, body, err)
		}
		return poll.Continue("no replica accepts the order: %s", last)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// TestEvacuatedZoneGetsNoRequestsAcrossRestarts evacuates a zone, then kills and restarts all
// control replicas, and after that both gateways. No request may reach the server of the zone until
// the evacuation is finished, and requests must succeed at the other zone.
func TestEvacuatedZoneGetsNoRequestsAcrossRestarts(t *testing.T) {
	c := newCluster(t)
	c.mu.Lock()
	c.zones["a2"] = "y"
	c.mu.Unlock()
	evacuated := c.server("app", "a1", "") // in the gateways' own zone, which they prefer
	c.server("app", "a2", "")
	c.putTable(routeTable(1, ""))
	sent := 0
	sendToBoth := func() {
		t.Helper()
		for name := range c.callers {
			for range 5 {
				sent++
				status, _, err := c.request(name, "/rates/x", fmt.Sprint("rate-", sent))
				assert.NilError(t, err)
				assert.Equal(t, status, 200)
			}
		}
	}
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/rates/0", 200)
	}
	waitReached := func() {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			before := len(evacuated.Arrivals())
			sendToBoth()
			if len(evacuated.Arrivals()) == before {
				return poll.Continue("no request reaches the zone")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	waitReached()
	status, _, err := c.call("POST", "http://"+c.controlAPIs[0]+"/-/evacuations/nowhere/start", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 404)
	c.orderEvacuation("z", "start")
	poll.WaitOn(t, func(poll.LogT) poll.Result { // until the evacuation is in force at both gateways
		before := len(evacuated.Arrivals())
		sendToBoth()
		if len(evacuated.Arrivals()) > before {
			return poll.Continue("requests still reach the zone")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	before := len(evacuated.Arrivals())
	for _, kind := range []string{"control", "gateway"} {
		for _, p := range c.processesOf(kind) {
			p.signal(syscall.SIGKILL)
			p.stop()
		}
		for _, p := range c.processesOf(kind) {
			p.start()
		}
		for name := range c.callers {
			c.waitReady(name, true)
			c.waitServing(name, "/rates/0", 200)
		}
		sendToBoth()
		assert.Equal(t, len(evacuated.Arrivals()), before, "requests in the zone after each %s was killed", kind)
	}
	c.orderEvacuation("z", "finish")
	waitReached()
}
