package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// migratingRun is a harness with two decode engines, one of which has a long run.
type migratingRun struct {
	*harness
	// source has the run, target is the other engine.
	source, target *standin.Backend
	done           chan reply
}

// longEventCount is the number of events of a run that is long enough to migrate.
const longEventCount = 200

func completeLongStream() string {
	var b strings.Builder
	for n := 1; n <= longEventCount; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

var longWorkHeaders = map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "200"}

// startRun sends a request whose route is not resumable, and waits until it runs.
func startRun(t *testing.T, ctx context.Context) *migratingRun {
	t.Helper()
	m := &migratingRun{harness: newHarness(t), done: make(chan reply, 1)}
	m.add("llm", "p1", "prefill")
	for _, id := range []string{"d1", "d2"} {
		m.add("llm", id, "decode").SetPace(0, 5*time.Millisecond, longEventCount)
	}
	go func() { m.done <- m.sendWith(ctx, "POST", "/review/1", "q1", "x", longWorkHeaders) }()
	m.waitFor("a run", func() bool {
		m.source, m.target = m.servers["d1"], m.servers["d2"]
		if m.target.Running() > 0 {
			m.source, m.target = m.target, m.source
		}
		return m.source.Running() > 0
	})
	return m
}

func (m *migratingRun) waitFor(what string, cond func() bool) {
	m.t.Helper()
	poll.WaitOn(m.t, func(poll.LogT) poll.Result {
		if !cond() {
			return poll.Continue("waiting for %s", what)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// fillEngine makes the engine that has the run look full of another gateway's runs.
func (m *migratingRun) fillEngine() {
	loads := map[string]dispatch.Load{m.source.ID: {Tokens: 99000, Held: 98000, Runs: 1}}
	m.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: loads})
}

// waitAllReleased waits until there is no KV cache, hold or reservation of the gateway.
func (m *migratingRun) waitAllReleased() {
	m.t.Helper()
	m.waitFor("nothing held", func() bool {
		for _, s := range m.gateway.fleet.list() {
			if s.Own != (dispatch.Load{}) {
				return false
			}
		}
		return m.group.Held() == 0
	})
	m.waitNoHolds()
}

// TestRunMigratesFromFullOrLeavingEngine checks that a run continues at another engine if its own
// fills up or leaves, although its route is not resumable: it remains one run, and its caller gets
// one complete answer.
func TestRunMigratesFromFullOrLeavingEngine(t *testing.T) {
	tests := []struct {
		name    string
		trigger func(m *migratingRun)
	}{
		{"full", (*migratingRun).fillEngine},
		{"leaving", func(m *migratingRun) { m.report("llm", m.source.ID, registry.Draining) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := startRun(t, t.Context())
			tt.trigger(m)
			m.waitFor("the run at the other engine", func() bool { return m.target.Running() == 1 && m.source.Running() == 0 })
			got := <-m.done
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !got.truncated && got.body == completeLongStream(), "%d bytes", len(got.body))
			assert.Equal(t, runCount(m.source), 1)
			assert.Equal(t, runCount(m.target), 1)
			assert.Assert(t, m.target.Arrivals()[0].Continues, "it remains one run")
			assert.Equal(t, got.header.Get(protocol.Headers.Signature), "signed-"+m.source.ID, "the header is that of its first engine")
			m.waitAllReleased()
		})
	}
}

// TestFailedMigrationKeepsAnswerIntact checks that the caller gets its complete answer if a
// migration fails part of the way. The exception is a run that may have begun at the other engine:
// its answer is truncated.
func TestFailedMigrationKeepsAnswerIntact(t *testing.T) {
	t.Run("no capacity", func(t *testing.T) {
		m := startRun(t, t.Context())
		var requested atomic.Int32
		m.source.RefuseCopies(func(bool) bool { requested.Add(1); return true })
		m.fillEngine()
		got := <-m.done
		assert.Assert(t, requested.Load() > 0, "never tried")
		assert.Assert(t, got.status == 200 && !got.truncated && got.body == completeLongStream())
		assert.Equal(t, runCount(m.target), 0)
		m.waitAllReleased()
	})
	t.Run("no capacity once it is stopped", func(t *testing.T) {
		m := startRun(t, t.Context())
		var stopped atomic.Int32
		m.source.RefuseCopies(func(stop bool) bool { return stop && stopped.Add(1) == 1 })
		m.fillEngine()
		got := <-m.done
		assert.Assert(t, stopped.Load() > 0, "never stopped")
		assert.Assert(t, got.status == 200 && !got.truncated && got.body == completeLongStream())
		assert.Assert(t, runCount(m.source) >= 2, "it continued where it was")
		m.waitAllReleased()
	})
	t.Run("the other engine refuses", func(t *testing.T) {
		m := startRun(t, t.Context())
		m.target.SetFault(faultOnce(standin.Refuse, nil))
		m.fillEngine()
		got := <-m.done
		assert.Assert(t, got.status == 200 && !got.truncated)
		assert.Equal(t, got.body, completeLongStream())
		m.waitAllReleased()
	})
	t.Run("the other engine leaves", func(t *testing.T) {
		m := startRun(t, t.Context())
		m.source.RefuseCopies(func(stop bool) bool {
			if stop {
				m.report("llm", m.target.ID, registry.Draining)
			}
			return false
		})
		m.fillEngine()
		got := <-m.done
		assert.Assert(t, got.status == 200 && !got.truncated && got.body == completeLongStream())
		assert.Equal(t, len(m.target.Arrivals()), 0, "a leaving engine gets no new work")
		m.waitAllReleased()
	})
	t.Run("the other engine may have begun", func(t *testing.T) {
		m := startRun(t, t.Context())
		m.target.SetFault(faultOnce(standin.LoseAnswer, nil))
		m.fillEngine()
		got := <-m.done
		assert.Assert(t, got.truncated, "a request that may run elsewhere is not started again")
		assert.Equal(t, runCount(m.source), 1)
		m.waitAllReleased()
	})
}

// TestCallerDisconnectsDuringMigration checks that nothing remains reserved for a caller that
// disconnects while its run migrates.
func TestCallerDisconnectsDuringMigration(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := startRun(t, ctx)
	m.source.RefuseCopies(func(stop bool) bool {
		if stop {
			cancel()
		}
		return false
	})
	m.fillEngine()
	assert.Assert(t, (<-m.done).truncated)
	m.waitAllReleased()
	m.waitFor("no run", func() bool { return m.source.Running()+m.target.Running() == 0 })
}

// TestCopyIsFreedIfCallerDisconnectsDuringIt checks that the copy of a run is freed if the caller
// disconnects while an engine makes it, and that the run ends at once: only the gateway receives
// the handle of the copy.
func TestCopyIsFreedIfCallerDisconnectsDuringIt(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	m := startRun(t, ctx)
	begun, made := make(chan struct{}), make(chan struct{})
	markBegun, markMade := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(made) })
	m.source.SetMiddleware(func(own http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			own.ServeHTTP(w, r)
			if r.URL.Path == standin.CopyPath {
				markMade()
			}
		})
	})
	m.source.SetBehaviour(standin.Behaviour{CopyTime: 700 * time.Millisecond, CopyOutcome: func(string, bool) standin.CopyOutcome {
		markBegun()
		return standin.CopyAnswered
	}})
	m.fillEngine()
	<-begun
	disconnect()
	m.waitFor("the run's end", func() bool { return m.source.Running() == 0 })
	assert.Check(t, m.group.Held() == 0, "the run continued until the copy was made")
	<-made
	for range 500 { // less than the time after which a copy expires
		if m.group.Held() == 0 {
			m.waitAllReleased()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d KV caches are held", m.group.Held())
}
