package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// registerVersion registers a ready server with a software version at an address.
func (h *harness) registerVersion(service, id, name, address, role, version string, born int64) {
	h.lastSequence++
	for _, s := range h.gateway.fleet.update(&wire.Servers{List: []registry.Server{{
		ID: id, Name: name, Born: born, Service: service, Address: address, Zone: "z", State: registry.Ready, Role: role, Sequence: h.lastSequence, Version: version,
	}}}, nil) {
		h.gateway.noteRestart(s)
	}
}

// addVersion starts an engine whose events name its version.
func (h *harness) addVersion(id, version string) {
	b := h.add("llm", id, registry.Decode)
	b.SetText(func(_ string, n int) string { return fmt.Sprintf("%s event %d", version, n) })
	h.registerVersion("llm", id, "", b.Addr(), registry.Decode, version, 0)
}

// resume sends a request for the rest of a stream after its first two events.
func (h *harness) resume(id, resumes string) reply {
	header := map[string]string{protocol.Headers.LastEventID: "2", protocol.Headers.Tokens: "1000,100"}
	if resumes != "" {
		header[protocol.Headers.Resumes] = resumes
	}
	return h.send("POST", "/desk/1", id, "x", header)
}

// TestStreamOfUnknownOriginIsRefused guards against a stream that continues at a guessed version:
// servers of several versions serve, and nothing is known about the attempt that the caller names.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	h := newHarness(t)
	h.addVersion("d1", "v1")
	h.addVersion("d2", "v2")
	began := h.send("POST", "/desk/1", "q1", "x", workHeaders)
	assert.Equal(t, began.status, 200)
	version := began.body[strings.Index(began.body, "data: ")+6:][:2]
	for n := range 8 {
		got := h.resume(fmt.Sprint("known", n), "q1")
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, strings.Count(got.body, version+" event"), 3, got.body)
	}
	for _, resumes := range []string{"", "q2", strings.Repeat("q", 4000)} {
		started := time.Now()
		got := h.resume("unknown"+resumes[:min(len(resumes), 5)], resumes)
		assert.Equal(t, got.status, 503, got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(started) < time.Second, "refused after %v", time.Since(started))
	}
}

// TestStreamOfSoleVersionContinues guards against a refusal of streams while all servers have the
// same version, and against a guess by a gateway that has not heard from control.
func TestStreamOfSoleVersionContinues(t *testing.T) {
	h := newHarness(t)
	h.addVersion("d1", "v1")
	assert.Equal(t, h.resume("a", "elsewhere").status, 200)
	assert.Equal(t, h.resume("b", "").status, 200)
	h.gateway.inTouch = func() bool { return false }
	assert.Equal(t, h.resume("c", "elsewhere2").status, 503)
	assert.Equal(t, h.resume("d", "elsewhere").status, 200, "an origin that was known before")
	h.gateway.inTouch = func() bool { return true }
	h.gateway.links.handleOrigins("replica", &wire.Origins{Versions: []origin.SeenVersion{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v0", Age: time.Minute}}})
	assert.Equal(t, h.resume("e", "elsewhere3").status, 503, "a version that left a minute ago")
	assert.Equal(t, h.resume("f", "elsewhere").status, 200)
}

// TestNoServerOfVersionIsRefusedAtOnce guards against a caller that waits for a version of which no
// server is left.
func TestNoServerOfVersionIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addVersion("d1", "v1")
	assert.Equal(t, h.send("POST", "/desk/1", "q1", "x", workHeaders).status, 200)
	h.addVersion("d2", "v2")
	h.report("llm", "d1", registry.Draining)
	started := time.Now()
	got := h.resume("q2", "q1")
	assert.Equal(t, got.status, 503, got.body)
	assert.Assert(t, strings.Contains(got.body, noServerOfVersion), got.body)
	assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	assert.Equal(t, h.send("POST", "/desk/1", "q3", "x", workHeaders).status, 200, "a new stream")
}

// TestRestartWithOtherVersionMakesStreamsUncertain guards against a stream whose version is taken
// from the report of an earlier incarnation of its server.
func TestRestartWithOtherVersionMakesStreamsUncertain(t *testing.T) {
	h := newHarness(t)
	b := h.add("llm", "d0", registry.Decode)
	h.report("llm", "d0", registry.Gone)
	h.registerVersion("llm", "d-1", "d", b.Addr(), registry.Decode, "v1", 1000)
	b.Name = "d"
	h.addVersion("e", "v1")
	assert.Equal(t, h.send("POST", "/desk/1", "q0", "x", workHeaders).status, 200)
	key := origin.KeyOf("", "q1")
	h.gateway.origins.note(key, origin.Origin{Service: "llm", Version: "v1"}, "d")
	h.registerVersion("llm", "d-2", "d", b.Addr(), registry.Decode, "v2", 2000)
	_, known, recorded := h.gateway.origins.find(key)
	assert.Assert(t, recorded && !known)
	assert.Equal(t, h.resume("q2", "q1").status, 503)
}

// TestStreamStaysInItsService guards against a stream that continues at another service of a route
// with several, or at the service to which its route was moved.
func TestStreamStaysInItsService(t *testing.T) {
	h := newHarness(t)
	for _, service := range []string{"llm", "canary"} {
		b := h.add("llm", "d-"+service, registry.Decode)
		b.SetText(func(_ string, n int) string { return fmt.Sprintf("%s event %d", service, n) })
		h.report("llm", "d-"+service, registry.Gone)
		h.registerVersion(service, "e-"+service, "d-"+service, b.Addr(), registry.Decode, "v1", 1000)
	}
	table := *h.gateway.table.Load()
	table.Routes = append([]route.Route(nil), table.Routes...)
	split := &table.Routes[3]
	engine := table.Services[1]
	engine.Name = "canary"
	table.Services = append(table.Services[:2:2], engine)
	split.Services = []route.Weight{{Service: "llm", Weight: 1}, {Service: "canary", Weight: 1}}
	table.Version = 2
	table.Index()
	h.gateway.setTable(&table)
	begin := func(id string) string {
		got := h.send("POST", "/desk/1", id, "x", workHeaders)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		service, _, _ := strings.Cut(got.body[strings.Index(got.body, "data: ")+6:], " ")
		return service
	}
	last := ""
	for n := range 12 {
		id := fmt.Sprint("q", n)
		last = begin(id)
		got := h.resume("r"+id, id)
		assert.Assert(t, got.status == 200 && strings.Count(got.body, last+" event") == 3, "%d %s, began at %s", got.status, got.body, last)
	}
	assert.Equal(t, h.resume("x", "elsewhere").status, 503, "one of two services")
	moved := table
	moved.Routes = append([]route.Route(nil), table.Routes...)
	other := map[string]string{"llm": "canary", "canary": "llm"}[last]
	moved.Routes[3].Services = []route.Weight{{Service: other, Weight: 1}}
	moved.Version = 3
	moved.Index()
	h.gateway.setTable(&moved)
	assert.Equal(t, h.resume("y", "q11").status, 503, "a service that does not serve the route any more")
	assert.Equal(t, h.resume("z", "elsewhere").status, 503, "an origin before the route was moved")
}
