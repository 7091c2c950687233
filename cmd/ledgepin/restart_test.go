package main_test

// A server may restart under its old name. Processes that identified a server by its name alone
// applied the reports of the earlier incarnation to the later one: a server that had drained got
// no requests until its registration expired a minute later, and requests to one that had crashed
// were sent to its old address.

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// sendReport sends a heartbeat of an incarnation of the server "r" to a replica; for the state
// "gone" it deregisters the server.
func (c *cluster) sendReport(replica int, b *standin.Backend, born, sequence int, state string) {
	c.t.Helper()
	path, body := "heartbeat", fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","version":"v1","slots":8,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		b.Addr(), state, sequence, born)
	if state == "gone" {
		path, body = "deregister", fmt.Sprintf(`{"born":%d}`, born)
	}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		status, answer, err := c.call("POST", "http://"+c.controlAPIs[replica]+"/-/instances/r/"+path, body)
		if err != nil || status != 200 {
			return poll.Continue("%d %s %v", status, answer, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// timeUntilServed sends requests to a gateway until one reaches the stand-in server b, and returns
// the time that this took.
func (c *cluster) timeUntilServed(gateway string, b *standin.Backend) time.Duration {
	c.t.Helper()
	began := time.Now()
	before := len(b.Arrivals())
	n := 0
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		n++
		_, _, _ = c.request(gateway, "/rates/x", fmt.Sprintf("%s-%d-%d", gateway, before, n))
		if len(b.Arrivals()) == before {
			return poll.Continue("the server gets no request")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return time.Since(began)
}

// TestRestartedServerIsUsedAtOnce checks that a server that restarts under its old name gets
// requests at its current address at once, and that late reports of earlier incarnations change nothing.
func TestRestartedServerIsUsedAtOnce(t *testing.T) {
	c := newCluster(t)
	c.putTable(routeTable(1, ""))
	start := func(address string) *standin.Backend {
		b, err := c.group.StartBackend(address, "r", "", platform.Protocol.Headers)
		assert.NilError(t, err)
		t.Cleanup(b.Kill)
		return b
	}
	first := start("127.0.0.1:0")
	c.sendReport(0, first, 1000, 1, "ready")
	for name := range c.callers {
		c.waitReady(name, true)
		c.timeUntilServed(name, first)
	}

	c.sendReport(1, first, 1000, 2, "draining")
	c.sendReport(2, first, 1000, 3, "gone")
	first.Kill()
	second := start("127.0.0.1:0")
	c.sendReport(0, second, 2000, 1, "ready")
	for name := range c.callers {
		t.Logf("%s used a server that had drained %v after its first report", name, c.timeUntilServed(name, second))
	}

	second.Kill() // a crashed server sends no last report
	third := start(second.Addr())
	c.sendReport(1, third, 3000, 1, "ready")
	for name := range c.callers {
		t.Logf("%s used a server that had crashed %v after its first report", name, c.timeUntilServed(name, third))
	}

	for replica := range c.controlAPIs {
		c.sendReport(replica, first, 1000, 99, "ready")
		c.sendReport(replica, second, 2000, 99, "draining")
		c.sendReport(replica, second, 2000, 99, "gone")
	}
	for name := range c.callers {
		for n := range 20 {
			status, _, err := c.request(name, "/rates/x", fmt.Sprint("after-", name, n))
			assert.NilError(t, err)
			assert.Equal(t, status, 200, "after late reports of earlier incarnations")
		}
	}
}
