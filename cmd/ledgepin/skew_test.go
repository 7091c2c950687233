package main_test

// For some seconds the platform may hand all new connections to one gateway, and then to another. What a
// gateway holds by its part of the fleet has to follow its load.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

const (
	skewGateways = 24
	// skewPhase is the time of each phase, of which the last part is judged: the load has moved by
	// then.
	skewPhase    = 5500 * time.Millisecond
	skewMoveTime = 3 * time.Second
	// minSkewedShare is the share of the requests served before that must be served while all
	// connections go to one gateway.
	minSkewedShare = 0.75
)

// skewedLoad sends requests on new connections.
type skewedLoad struct {
	*cluster
	client http.Client
	next   atomic.Int64
}

// serve sends a request on a new connection and reports whether its answer is complete.
func (s *skewedLoad) serve(gateway int, path string, complete func(status int, body string) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	h := platform.Protocol.Headers
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+s.callers[fmt.Sprint("gateway-", gateway)]+path, strings.NewReader("x"))
	req.Host = "h"
	req.Header.Set(h.RequestID, fmt.Sprint("skew-", s.next.Add(1)))
	req.Header.Set(h.Tokens, "500,60")
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && complete(resp.StatusCode, string(data))
}

// play sends requests of each kind at a rate for a phase, to the gateways that choose returns, and
// returns the share that was served of those sent after skewMoveTime.
func (s *skewedLoad) play(path string, perSecond int, choose func(n int) int, complete func(status int, body string) bool) float64 {
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; time.Since(began) < skewPhase; n++ {
		<-tick.C
		counts := time.Since(began) >= skewMoveTime
		wg.Go(func() {
			ok := s.serve(choose(n), path, complete)
			if counts {
				sent.Add(1)
			}
			if counts && ok {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(served.Load()) / float64(sent.Load())
}

// TestSkewedConnectionsAreServed checks that nearly as many requests are served while all new
// connections go to one gateway of many, at loads near the servers' bounds of connections.
func TestSkewedConnectionsAreServed(t *testing.T) {
	c := newClusterOf(t, skewGateways)
	const events, pace = 30, 30 * time.Millisecond
	for n := range 3 {
		c.server("app", fmt.Sprint("a", n), "").SetFault(func(*http.Request) standin.Fault {
			time.Sleep(90 * time.Millisecond)
			return standin.NoFault
		})
	}
	for n := range 2 {
		c.server("llm", fmt.Sprint("p", n), "prefill")
	}
	for n := range 6 {
		c.server("llm", fmt.Sprint("d", n), "decode").SetPace(5*time.Millisecond, pace, events)
	}
	c.putTable(routeTable(1, ""))
	for name := range c.callers {
		c.waitReady(name, true)
		c.waitServing(name, "/checkout/0", 200)
		c.waitServing(name, "/review/0", 200)
	}
	s := &skewedLoad{cluster: c, client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	kinds := []struct {
		path      string
		perSecond int
		complete  func(status int, body string) bool
	}{
		{"/checkout/1", 120, func(status int, _ string) bool { return status == http.StatusOK }},
		{"/review/1", 20, func(status int, body string) bool {
			return status == http.StatusOK && strings.Count(body, "data:") == events
		}},
	}
	for _, k := range kinds {
		even := s.play(k.path, k.perSecond, func(n int) int { return n % skewGateways }, k.complete)
		for _, one := range []int{3, 11} {
			skewed := s.play(k.path, k.perSecond, func(int) int { return one }, k.complete)
			t.Logf("%s: %.2f are served at all gateways, %.2f at gateway %d alone", k.path, even, skewed, one)
			assert.Check(t, skewed >= minSkewedShare*even, k.path)
		}
	}
}
