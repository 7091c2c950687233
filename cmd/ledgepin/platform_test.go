package main_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/standin"
)

// TestRequestsSurvivePlannedStopAndControlLoss runs the main operations with real
// processes: requests of each kind through both gateways, changes of the
// configuration, a planned stop of a gateway with streams in progress, and the
// crash of all control replicas.
func TestRequestsSurvivePlannedStopAndControlLoss(t *testing.T) {
	c := newCluster(t)
	p, d := c.server("llm", "p1", "prefill"), c.server("llm", "d1", "decode")
	app := []*standin.Backend{c.server("app", "a1", ""), c.server("app", "a2", "")}
	status, _, err := c.call("GET", "http://"+c.ready["gateway-0"]+"/-/ready", "")
	assert.Assert(t, err != nil || status == 503, "the gateway is ready without a configuration")
	c.putTable(routeTable(1, ""))
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/review/0", 200)
		c.waitPrefill(name, "/review/0", p)
		c.waitServing(name, "/checkout/0", 200)
	}

	var wg sync.WaitGroup
	var failed atomic.Int64
	for n := range 60 {
		wg.Go(func() {
			for i, path := range []string{"/checkout/x", "/rates/x", "/review/x"} {
				id := fmt.Sprintf("calm-%d-%d", n, i)
				status, body, err := c.request(fmt.Sprint("gateway-", n%2), path, id)
				if err != nil || status != 200 || i < 2 && !strings.HasPrefix(body, "answer to "+id) {
					failed.Add(1)
				}
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	seen := map[string]int{}
	for _, b := range append(app, d) {
		for _, a := range b.Arrivals() {
			seen[a.ID]++
		}
	}
	for id, n := range seen {
		assert.Equal(t, n, 1, "request %s", id)
	}
	assert.Assert(t, len(p.Arrivals()) >= 60)

	// Each process serves its metrics, and nothing else, at its metrics address.
	for name, address := range c.metrics {
		status, body, err := c.call("GET", "http://"+address+"/metrics", "")
		assert.NilError(t, err)
		assert.Equal(t, status, 200, name)
		assert.Equal(t, strings.Contains(body, `ledgepin_route_requests_total{outcome="200"`), c.callers[name] != "", name)
		status, _, err = c.call("GET", "http://"+address+"/v1/dump", "")
		assert.NilError(t, err)
		assert.Equal(t, status, 404, name)
	}

	// A new route must become effective at both gateways, and an invalid
	// configuration must be refused.
	c.putTable(routeTable(5, `,{"name":"more","host":"h","pathPrefix":"/more/","kind":"idempotent","timeoutMs":3000,"service":"app"}`))
	bad := strings.Replace(routeTable(9, ""), `"service":"app"`, `"service":"none"`, 1)
	status, body, err := c.call("POST", "http://"+c.controlAPIs[0]+"/-/config/put", bad)
	assert.NilError(t, err)
	assert.Equal(t, status, 400, body)
	for name := range c.callers {
		c.waitServing(name, "/more/x", 200)
	}

	// A planned stop must not interrupt a stream.
	d.SetPace(0, 50*time.Millisecond, 110)
	type outcome struct {
		body string
		err  error
	}
	streams := make(chan outcome, 5)
	for n := range 5 {
		go func() {
			_, body, err := c.request("gateway-0", "/review/long", fmt.Sprint("long-", n))
			streams <- outcome{body, err}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.Running() < 5 {
			return poll.Continue("%d streams are running", d.Running())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	stopped := c.processes["gateway-0"]
	stopped.signal(syscall.SIGTERM)
	c.waitReady("gateway-0", false)
	status, _, err = c.request("gateway-0", "/rates/x", "after-the-signal")
	assert.NilError(t, err)
	assert.Equal(t, status, 200, "a request right after the signal, while callers still use this gateway")
	// Once callers are sent to other gateways, streams must be refused, since
	// they might not end within the grace time, with a Retry-After header. Short
	// requests must be served as long as streams run.
	late := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		late++
		switch status, retryAfter := c.requestHead("gateway-0", "/review/late", fmt.Sprint("late-", late)); {
		case status == 200:
			return poll.Continue("the gateway still accepts streams")
		case status != 503 || retryAfter == "":
			return poll.Error(fmt.Errorf("status %d with Retry-After %q, want 503 with a time", status, retryAfter))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	status, _, err = c.request("gateway-0", "/rates/x", "short")
	assert.NilError(t, err)
	assert.Equal(t, status, 200, "a short request during the streams")
	assert.Assert(t, d.Running() > 0, "the streams have ended too early for this check")
	for range 5 {
		o := <-streams
		assert.NilError(t, o.err)
		assert.Assert(t, strings.HasSuffix(o.body, "data: event 110\n\n"), "the stream is incomplete")
	}
	assert.NilError(t, stopped.cmd.Wait(), "exit code of the stopped gateway")

	// After a crash of all control replicas, the acknowledged configuration must be
	// in force again.
	for _, replica := range c.processesOf("control") {
		replica.signal(syscall.SIGKILL)
		assert.Assert(t, replica.cmd.Wait() != nil)
	}
	status, _, err = c.request("gateway-1", "/rates/x", "without-control")
	assert.NilError(t, err)
	assert.Equal(t, status, 200, "a request without control")
	for _, replica := range c.processesOf("control") {
		replica.start()
	}
	stopped.start()
	c.waitReady("gateway-0", true)
	c.waitServing("gateway-0", "/more/x", 200)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, api := range c.controlAPIs {
			if status, body, err := c.call("GET", "http://"+api+"/-/config/get", ""); err == nil && status == 200 {
				if !strings.Contains(body, `"version":5`) {
					return poll.Error(errors.New("the configuration is not the latest: " + body))
				}
				return poll.Success()
			}
		}
		return poll.Continue("no replica answers")
	}, poll.WithTimeout(20*time.Second))
}

// TestSIGHUPDuringStopDoesNotEndProcess checks that SIGHUP, the signal for changed
// settings, does not end a process during its orderly shutdown.
func TestSIGHUPDuringStopDoesNotEndProcess(t *testing.T) {
	c := newCluster(t)
	c.putTable(routeTable(1, ""))
	c.waitReady("gateway-1", true)
	p := c.processes["gateway-1"]
	p.signal(syscall.SIGTERM)
	c.waitReady("gateway-1", false)
	p.signal(syscall.SIGHUP)
	assert.NilError(t, p.cmd.Wait(), "exit code of the gateway")
}
