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

// What a server that turns a gateway away asks for, when that binds the gateway, and how many
// requests it may send in that time.
const (
	retryPause        = 2500 * time.Millisecond
	pauseGrace        = 500 * time.Millisecond
	maxPausedRequests = 2
)

// drainBound is the time after which a gateway that has heard that a server leaves sends it no
// request any more.
const maxDrainDelay = 2500 * time.Millisecond

// requests sends requests to gateways in turn, and notes which gateway got each.
type traffic struct {
	cluster  *cluster
	path     string
	mu       sync.Mutex
	gateways map[string]string // gateway by ID
	// statuses counts the answers, slowest is the longest time until one.
	statuses map[int]int
	slowest  time.Duration
}

// send sends requests to all gateways for a time, 50 a second.
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

// paused returns the most requests that a server got from one gateway in the time for which it
// had asked that gateway to stay away.
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

// pausedSite returns a site of three plain servers that takes some time for each request.
func newTraffic(t *testing.T, path string) (*traffic, []*standin.Backend) {
	c, servers := newSlowCluster(t)
	tr := &traffic{cluster: c, path: path, gateways: map[string]string{}, statuses: map[int]int{}}
	tr.send(500 * time.Millisecond)
	return tr, servers
}

// TestRequestsDuringRetryAfter has all servers of a service turn gateways away and ask for a pause:
// they get no more than two requests from each in that time, callers are refused at once, and after
// the pause all servers work again.
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

// TestServerIsLeftAloneAfterItsPause has one server of three ask for a pause. It gets no more than two
// requests from a gateway in that time, no caller is refused, and its part soon after.
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

// TestRequestsToALeavingServer has a server tell one gateway alone that it leaves, while its
// heartbeats say that it is ready: neither gateway sends it anything later than drainBound.
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
	t.Logf("requests later than drainBound, by gateway: %v", late)
	assert.Check(t, len(late) == 0, "%v", late)
	assert.DeepEqual(t, tr.statuses, map[int]int{200: tr.statuses[200]})
}
