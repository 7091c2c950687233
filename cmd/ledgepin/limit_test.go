package main_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/standin"
)

// limitedRate is the limit that a server reports, in requests per second. maxLimitedRequests is the
// number of requests that the server may get in limitWindow with this limit.
const (
	limitedRate        = 4.1
	limitWindow        = 4 * time.Second
	maxLimitedRequests = 1.5*limitedRate*4 + 5
)

// reportLimit returns a function by which a stand-in server reports a limit.
func reportLimit(rate float64) func() []string {
	return func() []string { return []string{fmt.Sprint(rate)} }
}

// maxRequests returns the max number of requests that a server got in any limitWindow after from.
func maxRequests(b *standin.Backend, from time.Time) int {
	var at []time.Time
	for _, a := range b.Arrivals() {
		if a.At.After(from) {
			at = append(at, a.At)
		}
	}
	out := 0
	for i, first := range at {
		n, _ := slices.BinarySearchFunc(at[i:], first.Add(limitWindow), time.Time.Compare)
		out = max(out, n)
	}
	return out
}

// slowServer starts a stand-in of a plain service whose answers take so long that the load of the
// tests needs all servers of the service.
func (c *cluster) slowServer(id string) *standin.Backend {
	b := c.server("app", id, "")
	b.SetMiddleware(func(own http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(80 * time.Millisecond)
			own.ServeHTTP(w, r)
		})
	})
	return b
}

// newSlowCluster returns a serving cluster with three slow servers.
func newSlowCluster(t *testing.T) (*cluster, []*standin.Backend) {
	t.Helper()
	c := newCluster(t)
	var servers []*standin.Backend
	for _, id := range []string{"a1", "a2", "a3"} {
		servers = append(servers, c.slowServer(id))
	}
	c.putTable(routeTable(1, ""))
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/rates/0", 200)
	}
	return c, servers
}

// sendDuring sends 50 requests a second to the gateways in turn while do runs. It returns the number
// of answers by status.
func (c *cluster) sendDuring(path string, do func()) map[int]int {
	const interval = 20 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	out, done := map[int]int{}, make(chan struct{})
	names := slices.Sorted(maps.Keys(c.callers))
	wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			wg.Go(func() {
				status, _, _ := c.request(names[n%len(names)], path, fmt.Sprintf("asked-%d-%d", time.Now().UnixNano(), n))
				mu.Lock()
				defer mu.Unlock()
				out[status]++
			})
		}
	})
	do()
	close(done)
	wg.Wait()
	return out
}

// TestServerGetsNoMoreThanItsLimit has one server of three report a limit that two gateways together
// would exceed many times. The server must get no more requests than its limit allows, every request
// must succeed, and the server must get its share again when it no longer reports a limit.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	c, servers := newSlowCluster(t)
	limited := servers[0]
	got := c.sendDuring("/rates/x", func() {
		time.Sleep(time.Second)
		limited.SetLimit(reportLimit(limitedRate))
		from := time.Now().Add(time.Second)
		time.Sleep(time.Second + limitWindow + 2*time.Second)
		n := maxRequests(limited, from)
		assert.Check(t, float64(n) <= maxLimitedRequests, "the server got %d requests in %v, at most %.1f are allowed", n, limitWindow, maxLimitedRequests)
		before := len(limited.Arrivals())
		limited.SetLimit(nil)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := len(limited.Arrivals()) - before; n < 100 {
				return poll.Continue("the server got %d requests since the limit ended", n)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	})
	assert.DeepEqual(t, got, map[int]int{200: got[200]})
}

// TestAllServersGetNoMoreThanTheirLimits has all servers of a service report limits far below the
// load. No server may get more requests than its limit allows, and all requests beyond the limits
// must be refused with status 503.
func TestAllServersGetNoMoreThanTheirLimits(t *testing.T) {
	c, servers := newSlowCluster(t)
	for _, b := range servers {
		b.SetLimit(reportLimit(limitedRate))
	}
	before := 0
	got := c.sendDuring("/checkout/x", func() {
		from := time.Now().Add(time.Second)
		time.Sleep(time.Second + limitWindow + 2*time.Second)
		for _, b := range servers {
			n := maxRequests(b, from)
			t.Logf("%d requests in %v, %.1f are allowed, the limit is %.1f", n, limitWindow, maxLimitedRequests, limitedRate*limitWindow.Seconds())
			assert.Check(t, float64(n) <= maxLimitedRequests)
			before += n
		}
	})
	t.Logf("answers by status: %v", got)
	assert.Assert(t, before > 0 && got[503] > 0)
	assert.DeepEqual(t, got, map[int]int{200: got[200], 503: got[503]})
}
