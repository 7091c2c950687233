package main_test

// What two software versions of an engine generate doesn't fit together, so a stream may continue
// only at the version that began it. Gateways continued streams at any engine of the service.

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// Size of each case.
const (
	streamCallers = 24
	streamEvents  = 40
	eventPace     = 25 * time.Millisecond
	// enginesPerVersion is the number of decode engines of each version; 8 slots each.
	enginesPerVersion = 3
	// callerPatience is how long a caller returns for the rest of its stream.
	callerPatience = 6 * time.Second
)

// streamCaller takes one stream, over several attempts if necessary.
type streamCaller struct {
	c  *cluster
	id string
	// attempts counts its attempts; began is the one that brought the first event.
	attempts int
	began    string
	// versions are the versions of the events received so far.
	versions []string
	// refused counts its refused attempts, and returned those that brought further events.
	refused, returned int
	outOfOrder        bool
}

// attempt requests the stream from a gateway, and leaves once it has received most events in all.
// It returns whether the stream is complete, and the time to wait before the next attempt.
func (s *streamCaller) attempt(gateway string, most int) (complete bool, wait time.Duration) {
	s.attempts++
	id := fmt.Sprintf("%s-%d", s.id, s.attempts)
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+s.c.callers[gateway]+"/story/x", strings.NewReader("x"))
	h := platform.Protocol.Headers
	req.Host = "h"
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.Tokens, "1000,100")
	if s.began != "" {
		req.Header.Set(h.LastEventID, strconv.Itoa(len(s.versions)))
		req.Header.Set(h.Resumes, s.began)
	}
	const retryDelay = 50 * time.Millisecond
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, retryDelay
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.refused++
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return false, max(time.Duration(after*float64(time.Second)), retryDelay)
	}
	before, continues := len(s.versions), s.began != ""
	scan := bufio.NewScanner(resp.Body)
	for len(s.versions) < most && scan.Scan() {
		var version string
		var n int
		if _, err := fmt.Sscanf(scan.Text(), "data: %s event %d", &version, &n); err != nil {
			continue
		}
		if s.began == "" {
			s.began = id
		}
		s.versions = append(s.versions, version)
		s.outOfOrder = s.outOfOrder || n != len(s.versions)
	}
	if continues && len(s.versions) > before {
		s.returned++
	}
	return len(s.versions) == streamEvents, retryDelay
}

// finish returns to gateways until the stream is complete or the caller's patience ends.
func (s *streamCaller) finish(gateway func() string) { s.finishWithin(callerPatience, gateway) }

// finishWithin returns to gateways until the stream is complete or a time is over.
func (s *streamCaller) finishWithin(patience time.Duration, gateway func() string) {
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		complete, wait := s.attempt(gateway(), streamEvents)
		if complete {
			return
		}
		time.Sleep(wait)
	}
}

// mixed reports whether the stream holds events of two versions.
func (s *streamCaller) mixed() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// versionedCluster is a cluster with engines of the versions v1 and v2.
type versionedCluster struct {
	*cluster
	engines map[string][]string // decode engines by version
	// restarted are the engines that run in place of those of the cluster and have not reported.
	restarted map[string]*standin.Backend
}

func newVersionedCluster(t *testing.T) *versionedCluster {
	t.Helper()
	v := &versionedCluster{cluster: newCluster(t), engines: map[string][]string{}}
	for _, version := range []string{"v1", "v2"} {
		v.addEngine(version, "prefill", "p-"+version)
		for n := range enginesPerVersion {
			v.addEngine(version, "decode", fmt.Sprintf("d-%s-%d", version, n))
		}
	}
	v.putStoryTable()
	for name := range v.callers {
		v.waitReady(name, true)
		v.waitVersions(name, 2)
	}
	return v
}

func (v *versionedCluster) putStoryTable() {
	v.putTable(routeTable(1, `,{"name":"story","host":"h","pathPrefix":"/story/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":2000,"gapTargetMs":1000,"service":"llm","maxAttempts":3,"resumable":true}`))
}

// addEngine starts an engine of a version, whose events name the version.
func (v *versionedCluster) addEngine(version, role, id string) *standin.Backend {
	v.mu.Lock()
	v.versions[id] = version
	v.mu.Unlock()
	b := v.server("llm", id, role)
	generateVersion(b, version)
	if role == "decode" {
		v.engines[version] = append(v.engines[version], id)
	}
	return b
}

// generateVersion makes an engine generate events that name a version.
func generateVersion(b *standin.Backend, version string) {
	b.SetPace(5*time.Millisecond, eventPace, streamEvents)
	b.SetText(func(_ string, n int) string { return fmt.Sprintf("%s event %d", version, n) })
}

// restart ends an engine and starts it again at once under its name and address, with another version
// that it reports with its next heartbeat.
func (v *versionedCluster) restart(id, version string) {
	v.mu.Lock()
	old := v.servers[id]
	v.mu.Unlock()
	old.Kill()
	time.Sleep(10 * time.Millisecond)
	b, err := v.group.StartBackend(old.Addr(), id, old.Role, platform.Protocol.Headers)
	if err != nil {
		v.t.Error(err)
		return
	}
	v.t.Cleanup(b.Kill)
	generateVersion(b, version)
	born := time.Now().UnixMilli()
	b.SetBorn(born)
	v.mu.Lock()
	v.servers[id], v.versions[id], v.born[id] = b, version, born
	v.mu.Unlock()
}

// waitVersions waits until new streams at a gateway reach a number of versions. It sends several at
// once, since a gateway may prefer the same idle engine each time.
func (v *versionedCluster) waitVersions(gateway string, want int) {
	v.t.Helper()
	seen, n := map[string]bool{}, 0
	poll.WaitOn(v.t, func(poll.LogT) poll.Result {
		var wg sync.WaitGroup
		callers := make([]*streamCaller, 2*enginesPerVersion)
		for i := range callers {
			n++
			callers[i] = &streamCaller{c: v.cluster, id: fmt.Sprintf("warm-%s-%d", gateway, n)}
			wg.Go(func() { callers[i].attempt(gateway, 2) })
		}
		wg.Wait()
		for _, s := range callers {
			for _, version := range s.versions {
				seen[version] = true
			}
		}
		if len(seen) < want {
			return poll.Continue("versions seen: %v", seen)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// run has all callers take a stream each, and returns them once all have ended.
func (v *versionedCluster) run(take func(n int, s *streamCaller)) []*streamCaller {
	var wg sync.WaitGroup
	out := make([]*streamCaller, streamCallers)
	for n := range out {
		out[n] = &streamCaller{c: v.cluster, id: fmt.Sprintf("caller-%d-%d", n, time.Now().UnixNano())}
		wg.Go(func() { take(n, out[n]) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return out
}

// check checks that no stream is mixed or out of order, and that at least want callers got a
// complete one.
func (v *versionedCluster) check(callers []*streamCaller, want int) {
	v.t.Helper()
	mixed, complete, outOfOrder, returned, refused := 0, 0, 0, 0, 0
	for _, s := range callers {
		if s.mixed() {
			mixed++
		}
		if len(s.versions) == streamEvents {
			complete++
		}
		if s.outOfOrder {
			outOfOrder++
		}
		returned += s.returned
		refused += s.refused
	}
	v.t.Logf("of %d streams %d are mixed and %d complete; %d attempts went on, %d were refused", len(callers), mixed, complete, returned, refused)
	assert.Check(v.t, mixed == 0, "%d streams hold events of two versions", mixed)
	assert.Check(v.t, outOfOrder == 0, "%d streams are out of order", outOfOrder)
	assert.Check(v.t, complete >= want, "%d streams are complete, want %d", complete, want)
}

func gatewayOf(n int) string { return fmt.Sprint("gateway-", n%2) }

func anyGateway() string { return gatewayOf(rand.IntN(2)) }

// TestStreamContinuesAtItsVersion checks that no stream holds events of two software versions, and
// that streams of callers that return continue, in each way by which a stream continues.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	t.Run("callers return to other gateways", func(t *testing.T) {
		v := newVersionedCluster(t)
		v.check(v.run(func(n int, s *streamCaller) {
			for try := range 3 {
				s.attempt(gatewayOf(n+try), min(10*(try+1), streamEvents))
				time.Sleep(50 * time.Millisecond)
			}
			s.finish(anyGateway)
		}), streamCallers)
	})
	t.Run("engines break streams", func(t *testing.T) {
		v := newVersionedCluster(t)
		for _, list := range v.engines {
			for _, id := range list {
				v.servers[id].SetFault(func(*http.Request) standin.Fault {
					if rand.IntN(2) == 0 {
						return standin.CutStream
					}
					return standin.NoFault
				})
			}
		}
		v.check(v.run(func(n int, s *streamCaller) { s.finish(func() string { return gatewayOf(n) }) }), streamCallers)
	})
	t.Run("engines of each version leave", func(t *testing.T) {
		v := newVersionedCluster(t)
		go func() {
			time.Sleep(500 * time.Millisecond)
			for _, list := range v.engines {
				v.sendHeartbeat(list[0], "draining")
			}
		}()
		v.check(v.run(func(n int, s *streamCaller) { s.finish(func() string { return gatewayOf(n) }) }), streamCallers)
	})
	t.Run("a gateway is killed", func(t *testing.T) {
		v := newVersionedCluster(t)
		go func() {
			time.Sleep(700 * time.Millisecond)
			v.processes["gateway-0"].signal(syscall.SIGKILL)
		}()
		v.check(v.run(func(n int, s *streamCaller) {
			if complete, _ := s.attempt(gatewayOf(n), streamEvents); !complete {
				s.finish(func() string { return "gateway-1" })
			}
		}), streamCallers-2)
	})
	t.Run("all replicas are killed", func(t *testing.T) {
		v := newVersionedCluster(t)
		go func() {
			time.Sleep(500 * time.Millisecond)
			for _, p := range v.processesOf("control") {
				p.signal(syscall.SIGKILL)
				_ = p.cmd.Wait()
				p.start()
			}
		}()
		v.check(v.run(func(n int, s *streamCaller) {
			s.attempt(gatewayOf(n), 10+rand.IntN(20))
			s.finish(anyGateway)
		}), streamCallers-2)
	})
	t.Run("gateways out of touch", func(t *testing.T) {
		v := newVersionedCluster(t)
		for _, p := range v.processesOf("control") {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(100 * time.Millisecond)
		callers := v.run(func(n int, s *streamCaller) {
			s.attempt(gatewayOf(n), 10)
			s.attempt(gatewayOf(n+1), 20)
			s.finish(func() string { return gatewayOf(n) })
		})
		v.check(callers, streamCallers)
	})
}

// TestStreamsOfRestartedEnginesAreNotMixed checks that no stream holds events of two software versions
// while engines restart at once under their names and addresses with another version, and that streams go
// on at the engine that remains.
func TestStreamsOfRestartedEnginesAreNotMixed(t *testing.T) {
	v := &versionedCluster{cluster: newCluster(t), engines: map[string][]string{}}
	born := time.Now().Add(-time.Minute).UnixMilli()
	for n := range 4 {
		id, role := fmt.Sprint("e", n), "decode"
		if n == 0 {
			role = "prefill"
		}
		v.born[id] = born
		v.addEngine("v2", role, id).SetBorn(born)
	}
	v.putStoryTable()
	for name := range v.callers {
		v.waitReady(name, true)
		v.waitVersions(name, 1)
	}
	cut := make(chan struct{})
	var begun sync.WaitGroup
	begun.Add(streamCallers)
	go func() {
		begun.Wait()
		v.restart("e1", "v3")
		v.restart("e2", "v3")
		close(cut)
	}()
	callers := v.run(func(n int, s *streamCaller) {
		s.attempt(gatewayOf(n), 10)
		begun.Done()
		<-cut
		s.finish(anyGateway)
	})
	v.check(callers, streamCallers/2)
}
