package main_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/standin"
)

// A server that rejects a gateway's request asks it for a pause of retryPause. The pause applies to
// the gateway after pauseGrace, and allows it maxPausedRequests.
const (
	retryPause        = 2500 * time.Millisecond
	pauseGrace        = 500 * time.Millisecond
	maxPausedRequests = 2
)

// maxDrainDelay is the time after which a server that has reported that it leaves must get no more
// requests.
const maxDrainDelay = 2500 * time.Millisecond

// traffic sends requests to the gateways in turn and records the gateway of each.
type traffic struct {
	cluster  *cluster
	path     string
	mu       sync.Mutex
	gateways map[string]string // gateway by request ID
	// statuses counts the answers by status, and slowest is the max time until an answer.
	statuses map[int]int
	slowest  time.Duration
}

// send sends 50 requests a second for the duration d and waits for their answers.
func (tr *traffic) send(d time.Duration) {
	var wg sync.WaitGroup
	const interval = 20 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := range int(d / interval) {
		<-t.C
		gateway := fmt.Sprint("gateway-", n%2)
		id := fmt.Sprintf("%s-%d-%d", gateway, n, time.Now().UnixNano())
		wg.Go(func() {
			started := time.Now()
			status, _, _ := tr.cluster.request(gateway, tr.path, id)
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.gateways[id] = gateway
			tr.statuses[status]++
			tr.slowest = max(tr.slowest, time.Since(started))
		})
	}
	wg.Wait()
}

// maxDuringPause returns the max number of requests that a server got from one gateway during a
// pause that it had asked that gateway for.
func (tr *traffic) maxDuringPause(b *standin.Backend) int {
	received := map[string][]standin.SelfReportRecord{}
	for _, a := range b.SelfReportRecords() {
		if g := tr.gateways[a.ID]; g != "" {
			received[g] = append(received[g], a)
		}
	}
	highest := 0
	for _, list := range received {
		for i, a := range list {
			if a.RetryAfter == nil {
				continue
			}
			n := 0
			for _, later := range list[i+1:] {
				if after := later.At.Sub(a.At); after > pauseGrace && after < retryPause {
					n++
				}
			}
			highest = max(highest, n)
		}
	}
	return highest
}

// newTraffic returns traffic to a new cluster of three slow servers, which it has sent requests for
// half a second, and these servers.
func newTraffic(t *testing.T, path string) (*traffic, []*standin.Backend) {
	c, servers := newSlowCluster(t)
	tr := &traffic{cluster: c, path: path, gateways: map[string]string{}, statuses: map[int]int{}}
	tr.send(500 * time.Millisecond)
	return tr, servers
}

// TestPausedServersGetFewRequests has all servers of a service reject requests and ask for a pause.
// Each server must get no more than two requests from each gateway during the pause, callers must be
// refused at once, and all servers must get requests again after the pause.
func TestPausedServersGetFewRequests(t *testing.T) {
	tr, servers := newTraffic(t, "/checkout/x")
	for _, b := range servers {
		b.SetSelfReport(standin.RejectFor(fmt.Sprint(retryPause.Seconds())))
	}
	tr.send(retryPause - 200*time.Millisecond)
	for _, b := range servers {
		b.SetSelfReport(nil)
		n := tr.maxDuringPause(b)
		t.Logf("%s: at most %d requests in a pause", b.ID, n)
		assert.Check(t, n <= maxPausedRequests)
	}
	assert.Check(t, tr.statuses[http.StatusServiceUnavailable] > 50, "%v", tr.statuses)
	assert.Check(t, tr.slowest < time.Second, "%v", tr.slowest)
	time.Sleep(700 * time.Millisecond) // all pauses are over
	before := map[string]int{}
	for _, b := range servers {
		before[b.ID] = len(b.SelfReportRecords())
	}
	tr.send(2 * time.Second)
	for _, b := range servers {
		assert.Check(t, len(b.SelfReportRecords())-before[b.ID] >= 10, "%s got %d requests after its pause", b.ID, len(b.SelfReportRecords())-before[b.ID])
	}
}

// TestPausedServerIsUsedAgainAfterPause has one server of three ask for a pause. The server must get
// no more than two requests from each gateway during the pause, no caller must be refused, and the
// server must get its share soon after the pause.
func TestPausedServerIsUsedAgainAfterPause(t *testing.T) {
	tr, servers := newTraffic(t, "/rates/x")
	b := servers[0]
	b.SetSelfReport(standin.RejectFor(fmt.Sprint(retryPause.Seconds())))
	tr.send(retryPause + 500*time.Millisecond)
	b.SetSelfReport(nil)
	n := tr.maxDuringPause(b)
	t.Logf("%s: at most %d requests in a pause", b.ID, n)
	assert.Check(t, n <= maxPausedRequests)
	time.Sleep(retryPause)
	before := len(b.SelfReportRecords())
	tr.send(2 * time.Second)
	assert.Check(t, len(b.SelfReportRecords())-before >= 10, "%s got %d requests after its pause", b.ID, len(b.SelfReportRecords())-before)
	assert.DeepEqual(t, tr.statuses, map[int]int{200: tr.statuses[200]})
}

// TestLeavingServerGetsNoRequests has a server report to one gateway alone that it leaves, while its
// heartbeats report that it is ready. Neither gateway may send it a request after maxDrainDelay.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	tr, servers := newTraffic(t, "/rates/x")
	b := servers[0]
	b.SetSelfReport(func(r *http.Request) standin.SelfReport {
		if strings.HasPrefix(r.Header.Get("Ledgepin-Request-Id"), "gateway-0") {
			return standin.ReportLeaving(r)
		}
		return standin.SelfReport{}
	})
	tr.send(maxDrainDelay + 2*time.Second)
	asked := b.SelfReportRecords()
	first := slices.IndexFunc(asked, func(a standin.SelfReportRecord) bool { return a.Leaving != nil })
	assert.Assert(t, first >= 0)
	late := map[string]int{}
	for _, a := range asked[first:] {
		if a.At.Sub(asked[first].At) > maxDrainDelay {
			late[tr.gateways[a.ID]]++
		}
	}
	t.Logf("requests later than maxDrainDelay, by gateway: %v", late)
	assert.Check(t, len(late) == 0, "late requests by gateway: %v", late)
	assert.DeepEqual(t, tr.statuses, map[int]int{200: tr.statuses[200]})
}
