package main_test

// A part of prompts that crashes each engine which begins to generate on it can come in requests
// that have nothing else in common. Such requests crashed one engine after the other, since only
// requests that were equal as a whole were recognised.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// Load of each case.
const (
	decodeEngines = 8
	soundInterval = 70 * time.Millisecond
	// poisonInterval is the time between two new poisonous requests.
	poisonInterval = 250 * time.Millisecond
	// crashDelay is how long after the begin of its run a poisonous part crashes the engine.
	crashDelay = 80 * time.Millisecond
	// crashedTime is how long a crashed engine is away.
	crashedTime                     = 2 * time.Second
	partStreamEvents, partEventPace = 40, 25 * time.Millisecond
)

// Bounds, for each poisonous part: of requests with it at most maxLatePoison reach servers later than
// spreadTime after the crash with number mostCrashes, and sound requests are served again from
// recoveryTime after the crash with number blockingCrashes.
const (
	mostCrashes     = 5
	maxLatePoison   = 3
	spreadTime      = 3 * time.Second
	blockingCrashes = 3
	recoveryTime    = 6 * time.Second
	minSoundServed  = 0.9
)

// promptFunc returns the parts of the n-th prompt, without the last one.
type promptFunc func(n int) []string

// partCluster is a cluster whose engines crash under poisonous parts.
type partCluster struct {
	*cluster
	began time.Time
	wg    sync.WaitGroup
	// poisonous are the IDs of the parts that crash engines; harmless ends that.
	poisonous map[string]bool
	harmless  atomic.Bool
	next      atomic.Int64

	mu       sync.Mutex
	engines  []*standin.Backend
	crashes  []time.Time
	attempts []soundAttempt
}

// soundAttempt is the first attempt of a sound request.
type soundAttempt struct {
	at       time.Time
	complete bool
	first    string
}

func newPartCluster(t *testing.T, poisonous ...string) *partCluster {
	t.Helper()
	p := &partCluster{cluster: newCluster(t), poisonous: map[string]bool{}}
	for _, id := range poisonous {
		p.poisonous[id] = true
	}
	for n := range 2 {
		p.addEngine("127.0.0.1:0", fmt.Sprint("p", n), "prefill", nil)
	}
	for n := range decodeEngines {
		p.addEngine("127.0.0.1:0", fmt.Sprint("d", n), "decode", nil)
	}
	p.putTable(routeTable(1, ""))
	for name := range p.callers {
		p.waitReady(name, true)
		p.waitServing(name, "/review/warm", 200)
	}
	t.Cleanup(p.wg.Wait)
	p.began = time.Now()
	return p
}

// addEngine starts an engine, which takes the place of another one if replaces is set.
func (p *partCluster) addEngine(addr, id, role string, replaces *standin.Backend) {
	var b *standin.Backend
	if replaces == nil {
		b = p.server("llm", id, role)
	} else {
		var err error
		if b, err = p.group.StartBackend(addr, id, role, platform.Protocol.Headers); err != nil {
			p.t.Error(err)
			return
		}
		p.t.Cleanup(b.Kill)
		p.cluster.mu.Lock()
		p.servers[id], p.services[id] = b, "llm"
		p.cluster.mu.Unlock()
		p.heartbeats(id)
	}
	b.SetPace(5*time.Millisecond, partEventPace, partStreamEvents)
	b.SetPoisonParts(func(part string) bool { return p.poisonous[part] && !p.harmless.Load() }, crashDelay, func() { p.crashed(b) })
	p.mu.Lock()
	p.engines = append(p.engines, b)
	p.mu.Unlock()
}

// crashed records a crash, and starts another engine at the address some time later.
func (p *partCluster) crashed(b *standin.Backend) {
	p.forget(b.ID)
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.wg.Go(func() {
		select {
		case <-time.After(crashedTime):
			p.addEngine(b.Addr(), fmt.Sprintf("%s-after-%d", strings.SplitN(b.ID, "-", 2)[0], n), b.Role, b)
		case <-p.stop:
		}
	})
}

// attempt sends one request and returns whether its answer is complete, and when to return if not.
func (p *partCluster) attempt(parts []string, body string) (complete bool, retryAfter time.Duration) {
	n := p.next.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	h := platform.Protocol.Headers
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+p.callers[gatewayOf(int(n))]+"/review/x", strings.NewReader(body))
	req.Host = "h"
	req.Header.Set(h.RequestID, fmt.Sprint("part-", n))
	req.Header.Set(h.Tokens, "1000,100")
	field := ""
	for _, id := range parts {
		field += id + ":100,"
	}
	req.Header.Set(h.PromptParts, field+"own-"+body+":50")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, 100 * time.Millisecond
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	complete = err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(data), "data:") == partStreamEvents
	return complete, time.Duration(after * float64(time.Second))
}

// send sends requests at an interval until d has passed, each again once if it fails.
func (p *partCluster) send(d, interval time.Duration, prompts promptFunc, note func(soundAttempt)) {
	p.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; time.Since(p.began) < d; n++ {
			<-tick.C
			p.wg.Go(func() {
				parts, body, at := prompts(n), fmt.Sprintf("body-%d", p.next.Add(1)), time.Now()
				complete, wait := p.attempt(parts, body)
				if note != nil {
					note(soundAttempt{at: at, complete: complete, first: parts[0]})
				}
				if !complete && wait < 2*time.Second {
					time.Sleep(wait)
					p.attempt(parts, body)
				}
			})
		}
	})
}

func (p *partCluster) sendSound(d time.Duration, prompts promptFunc) {
	p.send(d, soundInterval, prompts, func(a soundAttempt) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.attempts = append(p.attempts, a)
	})
}

func (p *partCluster) sendPoison(d time.Duration, prompts promptFunc) {
	p.send(d, poisonInterval, prompts, nil)
}

// soundServed returns the share of the sound requests in a period that were served at the first
// attempt, of those whose first part is one of first if there are any.
func (p *partCluster) soundServed(from, to time.Time, first ...string) (share float64, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	complete := 0
	for _, a := range p.attempts {
		if a.at.Before(from) || !a.at.Before(to) || len(first) > 0 && !slices.Contains(first, a.first) {
			continue
		}
		count++
		if a.complete {
			complete++
		}
	}
	return float64(complete) / float64(max(count, 1)), count
}

// poisonArrivals returns the poisonous requests that reached servers after a time: each counts once
// at a server.
func (p *partCluster) poisonArrivals(after time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := map[string]bool{}
	for _, b := range p.engines {
		for _, a := range b.Arrivals() {
			if a.At.After(after) && slices.ContainsFunc(standin.PartsOf(a.Header.Get(platform.Protocol.Headers.PromptParts)), func(id string) bool { return p.poisonous[id] }) {
				ids[a.ID] = true
			}
		}
	}
	return len(ids)
}

// crashAt returns the time of the n-th crash, or false if there were fewer.
func (p *partCluster) crashAt(n int) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < n {
		return time.Time{}, false
	}
	return p.crashes[n-1], true
}

// check checks the bounds, for a number of poisonous parts and the sound requests with some first
// part.
func (p *partCluster) check(parts int, first ...string) {
	p.t.Helper()
	p.wg.Wait()
	late := 0
	if at, ok := p.crashAt(parts * mostCrashes); ok {
		late = p.poisonArrivals(at.Add(spreadTime))
	}
	at, ok := p.crashAt(parts * blockingCrashes)
	assert.Assert(p.t, ok, "%d engines crashed", len(p.crashes))
	share, count := p.soundServed(at.Add(recoveryTime), time.Now(), first...)
	p.t.Logf("%d engines crashed, %d poisonous requests reached servers late, %.2f of %d sound requests were served after %v", len(p.crashes), late, share, count, at.Sub(p.began)+recoveryTime)
	assert.Check(p.t, late <= parts*maxLatePoison, "%d poisonous requests reached servers late", late)
	assert.Check(p.t, count >= 20 && share >= minSoundServed, "%.2f of %d sound requests were served", share, count)
}

// middle returns one of a few parts in the middle of prompts.
func middle(n int) string { return fmt.Sprint("middle-", n%5) }

// TestPoisonPartIsBlocked checks that requests with a part that crashes engines are refused at all
// gateways, and that sound requests with all its other parts are served.
func TestPoisonPartIsBlocked(t *testing.T) {
	const d = 12 * time.Second
	t.Run("sound requests have all other parts", func(t *testing.T) {
		p := newPartCluster(t, "poison")
		p.sendSound(d, func(n int) []string { return []string{"first", middle(n)} })
		p.sendPoison(d, func(n int) []string { return []string{"first", middle(n), "poison"} })
		p.check(1)
	})
	t.Run("its first part comes with it only at the beginning", func(t *testing.T) {
		p := newPartCluster(t, "poison")
		p.sendSound(d+4*time.Second, func(n int) []string {
			if time.Since(p.began) > 9*time.Second && n%2 == 0 {
				return []string{"rare", middle(n)}
			}
			return []string{"first", middle(n)}
		})
		p.sendPoison(d+4*time.Second, func(int) []string { return []string{"rare", "poison"} })
		p.check(1, "rare")
	})
	t.Run("two parts", func(t *testing.T) {
		p := newPartCluster(t, "poison", "venom")
		p.sendSound(d, func(n int) []string { return []string{"first", middle(n)} })
		p.sendPoison(d, func(n int) []string { return []string{"first", []string{"poison", "venom"}[n%2], middle(n)} })
		p.check(2)
	})
	t.Run("it is the first part", func(t *testing.T) {
		p := newPartCluster(t, "poison")
		p.sendSound(d, func(n int) []string { return []string{"first", middle(n)} })
		p.sendPoison(d, func(n int) []string { return []string{"poison", middle(n)} })
		p.check(1)
	})
	t.Run("all processes are killed afterwards", func(t *testing.T) {
		p := newPartCluster(t, "poison")
		p.sendPoison(5*time.Second, func(n int) []string { return []string{"first", middle(n), "poison"} })
		p.sendSound(5*time.Second, func(n int) []string { return []string{"first", middle(n)} })
		p.wg.Wait()
		for _, one := range p.processes {
			one.signal(syscall.SIGKILL)
			assert.Assert(t, one.cmd.Wait() != nil)
		}
		for _, one := range p.processes {
			one.start()
		}
		for name := range p.callers {
			p.waitReady(name, true)
			p.waitServing(name, "/review/warm", 200)
		}
		before := p.poisonArrivals(p.began)
		for n := range 20 {
			p.attempt([]string{"first", middle(n), "poison"}, fmt.Sprint("after-", n))
		}
		after := p.poisonArrivals(p.began) - before
		t.Logf("%d of 20 poisonous requests reached servers after the restart", after)
		assert.Assert(t, after <= 1)
		assert.Assert(t, before <= mostCrashes+2*maxLatePoison, "%d poisonous requests reached servers before", before)
	})
}

// TestCrashesOfOtherCausesBlockNoPart checks that engines which crash for other reasons leave no part
// blocked that all prompts share.
func TestCrashesOfOtherCausesBlockNoPart(t *testing.T) {
	p := newPartCluster(t)
	const d = 12 * time.Second
	p.sendSound(d, func(n int) []string { return []string{"first", middle(n)} })
	p.wg.Go(func() {
		for n := 0; time.Since(p.began) < 7*time.Second; n++ {
			time.Sleep(500 * time.Millisecond)
			p.mu.Lock()
			running := slices.DeleteFunc(slices.Clone(p.engines), func(b *standin.Backend) bool { return b.Role != "decode" || !p.knows(b.ID) })
			p.mu.Unlock()
			running[n%len(running)].Crash()
		}
	})
	p.wg.Wait()
	share, count := p.soundServed(p.began.Add(9*time.Second), time.Now())
	t.Logf("%.2f of %d sound requests were served afterwards", share, count)
	assert.Assert(t, count >= 20 && share >= minSoundServed)
}
