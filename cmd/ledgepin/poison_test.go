package main_test

// A poison request ends every server that runs it. One that was retried at five gateways in
// turn ended eleven engines, and no gateway saw more than four of them end. So the gateways
// have to exchange the endings that they have seen before a caller's next retry. The record
// of a poison request has to survive restarts, since the request can come back later: once
// it did after 14 s without any.

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

const deadlyPath = "/checkout/deadly"

// waitBlocked waits until a gateway's dump shows one blocked content.
func (c *cluster) waitBlocked(gateway string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, body, err := c.call("GET", "http://"+c.processes[gateway].operators+"/v1/dump", "")
		if err != nil || !strings.Contains(body, `"blocked_contents": 1`) && !strings.Contains(body, `"blocked_contents":1`) {
			return poll.Continue("%s does not block the content: %v", gateway, err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

// waitStored waits until the file of a replica holds one content with that number of endings.
func (c *cluster) waitStored(replica string, endings int) {
	c.t.Helper()
	file := filepath.Join(filepath.Dir(c.processes[replica].file), replica, "control.contents")
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		data, err := os.ReadFile(file)
		if err != nil {
			return poll.Continue("%v", err)
		}
		m, err := wire.Unmarshal(data, file)
		if err != nil {
			return poll.Error(err)
		}
		if len(m.Contents) != 1 || len(m.Contents[0].Endings) != endings {
			return poll.Continue("the file holds the contents %v", m.Contents)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestPoisonRequestIsBlockedAtAllGateways checks that all gateways refuse a request that has
// ended three servers at one of them, and still do after all processes were killed.
func TestPoisonRequestIsBlockedAtAllGateways(t *testing.T) {
	c := newCluster(t)
	var servers []*standin.Backend
	for n := range 8 {
		b := c.server("app", fmt.Sprintf("a%d", n), "")
		b.SetFault(func(r *http.Request) standin.Fault {
			if r.URL.Path == deadlyPath {
				return standin.Crash
			}
			return standin.NoFault
		})
		servers = append(servers, b)
	}
	c.putTable(routeTable(1, ""))
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/checkout/0", 200)
	}
	endedServers := func() int {
		n := 0
		for _, b := range servers {
			for _, a := range b.Arrivals() {
				if a.Ran && a.Target == deadlyPath {
					n++
				}
			}
		}
		return n
	}
	for n := 0; endedServers() < 3; n++ {
		_, _, _ = c.request("gateway-0", deadlyPath, fmt.Sprint("deadly-", n))
	}
	for name := range c.callers {
		c.waitBlocked(name)
	}
	for n := range 10 {
		status, _, err := c.request(fmt.Sprint("gateway-", n%2), deadlyPath, fmt.Sprint("again-", n))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, endedServers(), 3, "number of servers that the request ended")

	c.waitStored("control-0", 3)
	for _, p := range c.processes {
		p.signal(syscall.SIGKILL)
		assert.Assert(t, p.cmd.Wait() != nil)
	}
	for _, p := range c.processes {
		p.start()
	}
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/checkout/0", 200)
		c.waitBlocked(name)
		status, _, err := c.request(name, deadlyPath, "after-"+name)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, endedServers(), 3, "number of servers that the request ended, after all processes were killed")
}
