package main_test

// Servers may start again under the name that they had. A process that knew a server by its
// name took what the earlier start had said for the later one's: a server that had drained
// got nothing until its entry lapsed, a minute later, and one that had crashed was sent work
// at its old address.

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// says sends one report of a start of the server "r" to a replica, or its last one.
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

// servedBy waits until a gateway's requests reach a stand-in, and returns how long it took.
func (c *cluster) timeUntilServed(gateway string, b *standin.Backend) time.Duration {
	c.t.Helper()
	began := time.Now()
	before := len(b.Arrivals())
	n := 0
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		n++
		_, _, _ = c.request(gateway, "/rates/x", fmt.Sprintf("%s-%d-%d", gateway, before, n))
		if len(b.Arrivals()) == before {
			return poll.Continue("it gets nothing")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return time.Since(began)
}

// TestServerStartsAgain wants a server that comes back under its name to be used at once
// where it is now, and late reports of earlier starts to change nothing.
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

	second.Kill() // a crash says nothing
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
			assert.Equal(t, status, 200, "late reports of earlier starts")
		}
	}
}
