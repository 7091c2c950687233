package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// reportsStart makes engines report their start, and counts how often they are asked for it.
func (h *harness) reportsStart(asked *atomic.Int64) {
	p := &h.gateway.cfg.Protocol
	p.Report = func() backend.Call { return backend.Call{Method: http.MethodGet, Path: "/-/report"} }
	p.ParseReport = func(body []byte) (backend.Report, error) {
		asked.Add(1)
		var in struct{ Born int64 }
		err := json.Unmarshal(body, &in)
		return backend.Report{Born: in.Born}, err
	}
}

// addBorn adds an engine that was born at a time, according to its report to control.
func (h *harness) addBorn(id, role string, born int64) *standin.Backend {
	h.t.Helper()
	b, err := h.group.StartBackend("127.0.0.1:0", id, role, backend.DefaultHeaders)
	assert.NilError(h.t, err)
	h.t.Cleanup(b.Kill)
	b.SetBorn(born)
	h.registerVersion("llm", registry.IncarnationID(id, born), id, b.Addr(), role, "v1", born)
	return b
}

// TestContinuedStreamsAskForIncarnation checks that a stream that continues does so only at an engine
// that is still the one that has reported itself, and that a new stream asks for nothing while all servers
// have one version.
func TestContinuedStreamsAskForIncarnation(t *testing.T) {
	h := newHarness(t)
	var asked atomic.Int64
	h.reportsStart(&asked)
	h.addBorn("p1", "prefill", 1000)
	d := h.addBorn("d1", "decode", 1000)
	header := func(extra map[string]string) map[string]string {
		out := withParts("own:1")
		for k, v := range extra {
			out[k] = v
		}
		return out
	}
	assert.Equal(t, h.send("POST", "/desk/1", "first", "x", header(nil)).body, completeStream())
	assert.Equal(t, asked.Load(), int64(0), "a new stream")
	rest := header(map[string]string{protocol.Headers.LastEventID: "2", protocol.Headers.Resumes: "first"})
	assert.Equal(t, h.send("POST", "/desk/1", "second", "x", rest).status, http.StatusOK)
	assert.Equal(t, asked.Load(), int64(1), "a stream that continues")
	key := origin.KeyOf("", "first")
	_, known, _ := h.gateway.origins.find(key)
	assert.Assert(t, known, "a stream whose server has confirmed itself since")
	assert.Equal(t, h.send("POST", "/desk/1", "unconfirmed", "x", header(nil)).body, completeStream())
	for _, ambiguous := range []bool{false, true} {
		if ambiguous {
			h.gateway.origins.markDoubtfulAmbiguous(registry.IncarnationID("d1", 1000))
		}
		_, known, _ = h.gateway.origins.find(origin.KeyOf("", "unconfirmed"))
		assert.Assert(t, !known, "a stream that began unconfirmed, at a server which restarts: %t", ambiguous)
	}
	h.gateway.origins = newOrigins(nil)
	assert.Equal(t, h.send("POST", "/desk/1", "again", "x", rest).status, http.StatusOK)
	h.gateway.origins.markUncertain("d1", time.Time{})
	_, known, _ = h.gateway.origins.find(key)
	assert.Assert(t, known, "a stream that continued at a confirmed incarnation")
	d.SetBorn(2000)
	before := runCount(d)
	assert.Equal(t, h.send("POST", "/desk/1", "third", "x", rest).status, http.StatusServiceUnavailable)
	assert.Equal(t, runCount(d), before, "a stream that would continue at a restarted engine")
}

// mixedHarness returns a harness with a prefill engine of each of two versions, and a decode engine d1 of
// the first one.
func mixedHarness(t *testing.T, asked *atomic.Int64) (h *harness, d1 *standin.Backend) {
	h = newHarness(t)
	h.reportsStart(asked)
	h.addBorn("p1", "prefill", 1000)
	d1 = h.addBorn("d1", "decode", 1000)
	p, err := h.group.StartBackend("127.0.0.1:0", "p2", "prefill", backend.DefaultHeaders)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	h.registerVersion("llm", "p2", "p2", p.Addr(), "prefill", "v2", 0)
	assert.Assert(t, h.gateway.fleet.mixed("llm"))
	return h, d1
}

// resumeDesk sends a request for the rest of a stream.
func (h *harness) resumeDesk(id, began string) reply {
	rest := withParts("own:1")
	rest[protocol.Headers.LastEventID], rest[protocol.Headers.Resumes] = "2", began
	return h.send("POST", "/desk/1", id, "x", rest)
}

// TestNewStreamsAreConfirmedWhileVersionsDiffer guards against the record of a stream that stays in
// doubt although its engine can be asked, and against one that counts as certain although the engine has
// not named its start.
func TestNewStreamsAreConfirmedWhileVersionsDiffer(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint("named ", named), func(t *testing.T) {
			var asked atomic.Int64
			h, d := mixedHarness(t, &asked)
			if !named {
				d.SetBorn(0)
			}
			for n := range 3 { // the later ones begin while the engine is not asked again
				id := fmt.Sprint("q", n)
				assert.Equal(t, h.send("POST", "/desk/1", id, "x", withParts("own:1")).body, completeStream())
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					_, known, recorded := h.gateway.origins.find(origin.KeyOf("", id))
					if asked.Load() == 0 || !recorded || known != named {
						return poll.Continue("asked %d times, recorded %t, known %t", asked.Load(), recorded, known)
					}
					return poll.Success()
				}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
				got := h.resumeDesk(id+"-again", id)
				assert.Equal(t, got.status == http.StatusOK, named, "%d %s", got.status, got.body)
			}
		})
	}
}

// TestNewStreamLeavesRestartedEngine guards against a stream whose caller can't return for it, because it
// began at an engine that has restarted and has not reported that yet: while two versions serve, it
// begins elsewhere instead, before any of it is passed on. Where that is not possible it stays, and a
// caller that returns is refused.
func TestNewStreamLeavesRestartedEngine(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("alone ", alone), func(t *testing.T) {
			var asked atomic.Int64
			h, d1 := mixedHarness(t, &asked)
			d1.SetBorn(2000)
			if !alone {
				d1.SetFault(func(*http.Request) standin.Fault {
					h.addBorn("d2", "decode", 1000)
					return standin.NoFault
				})
			}
			first := h.send("POST", "/desk/1", "first", "x", withParts("own:1"))
			assert.Equal(t, runCount(d1), 1)
			again := h.resumeDesk("again", "first")
			assert.Equal(t, first.body, completeStream())
			assert.Equal(t, again.status == http.StatusOK, !alone, again.body)
		})
	}
}

// TestStreamBegunAtRestartedEngineIsNotContinued guards against a stream that begins at an engine which
// has restarted, as the first one with another version, and is continued within its answer at an engine
// of the version before, once the first one breaks it.
func TestStreamBegunAtRestartedEngineIsNotContinued(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		t.Run(fmt.Sprint("restarted ", restarted), func(t *testing.T) {
			h := newHarness(t)
			var asked atomic.Int64
			h.reportsStart(&asked)
			h.addBorn("p1", "prefill", 1000)
			first := h.addBorn("d1", "decode", 1000)
			first.SetFault(func(*http.Request) standin.Fault {
				h.addBorn("d2", "decode", 1000)
				return standin.CutStream
			})
			if restarted {
				first.SetBorn(2000)
			}
			got := h.send("POST", "/desk/1", "first", "x", withParts("own:1"))
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.truncated, restarted, "%q", got.body)
			assert.Equal(t, got.body == completeStream(), !restarted, "%q", got.body)
		})
	}
}
