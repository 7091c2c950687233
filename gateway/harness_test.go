package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

var protocol = backend.Protocol{
	Headers:             backend.DefaultHeaders,
	ConsecutiveEventIDs: true,
	ParseKV: func(body []byte) (backend.KV, error) {
		var in struct {
			Handle string
			Tokens int
		}
		err := json.Unmarshal(body, &in)
		return backend.KV{Handle: in.Handle, Tokens: in.Tokens}, err
	},
	FreeKV: func(handle string) backend.Call {
		return backend.Call{Method: http.MethodDelete, Path: "/kv/" + handle}
	},
	CopyRun: func(id, target string, stop bool) backend.Call {
		body, _ := json.Marshal(map[string]any{"id": id, "target": target, "stop": stop})
		return backend.Call{Method: http.MethodPost, Path: standin.CopyPath, Body: body}
	},
	ReserveHold: func(int, time.Duration) backend.Call {
		return backend.Call{Method: http.MethodPost, Path: standin.HoldPath}
	},
	ParseHold: func(body []byte) (string, error) {
		var in struct{ Hold string }
		err := json.Unmarshal(body, &in)
		return in.Hold, err
	},
	ReleaseHold: func(hold string) backend.Call {
		return backend.Call{Method: http.MethodDelete, Path: standin.HoldPath + "/" + hold}
	},
	ListCachedParts: func() backend.Call { return backend.Call{Method: http.MethodGet, Path: standin.KeptPath} },
	ParseCachedParts: func(body []byte) ([]route.PromptPart, error) {
		var in struct{ Kept []route.PromptPart }
		err := json.Unmarshal(body, &in)
		return in.Kept, err
	},
	ParsePartIDs: func(field string) []string {
		var out []string
		for part := range strings.SplitSeq(field, ",") {
			id, _, _ := strings.Cut(part, ":")
			out = append(out, id)
		}
		return out
	},
	ParseParts: func(field string) []route.PromptPart {
		var out []route.PromptPart
		for _, part := range strings.Split(field, ",") {
			id, count, _ := strings.Cut(part, ":")
			if tokens, err := strconv.Atoi(count); err == nil {
				out = append(out, route.PromptPart{ID: id, Tokens: tokens})
			}
		}
		return out
	},
}

// harness is a gateway in front of stand-in servers.
type harness struct {
	t            testing.TB
	gateway      *Gateway
	frontend     *httptest.Server
	group        *standin.BackendGroup
	servers      map[string]*standin.Backend
	lastSequence uint64
}

// newHarness starts a gateway with a table of one plain service and one of engines.
func newHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, group: standin.NewBackendGroup(), servers: map[string]*standin.Backend{}}
	h.gateway = Start(Config{
		Name: "g", Zone: "z", Protocol: protocol, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Retry: dispatch.Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second},
	})
	h.gateway.checkWait = 5 * time.Second           // so that no test depends on the load of the machine
	h.gateway.inTouch = func() bool { return true } // there is no control whose state it could lack
	t.Cleanup(h.gateway.Close)
	h.frontend = httptest.NewUnstartedServer(h.gateway)
	h.frontend.Config.ConnContext = ConnContext
	h.frontend.Start()
	t.Cleanup(h.frontend.Close)
	to := func(s string) []route.Weight { return []route.Weight{{Service: s, Weight: 1}} }
	second := time.Second
	table := &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "rates", Host: "h", Prefix: "/rates/", Kind: route.Repeatable, Timeout: second, Target: 200 * time.Millisecond, Attempts: 2, Services: to("plain")},
			{Name: "seats", Host: "h", Prefix: "/seats/", Kind: route.Once, Timeout: second, Target: 200 * time.Millisecond, Attempts: 1, Services: to("plain")},
			{Name: "review", Host: "h", Prefix: "/review/", Kind: route.Stream, Timeout: 5 * second, Target: second, GapTarget: second, Attempts: 1, Services: to("llm")},
			{Name: "desk", Host: "h", Prefix: "/desk/", Kind: route.Stream, Timeout: 5 * second, Target: second, GapTarget: second, Attempts: 2, Resumable: true, Services: to("llm")},
		},
		Services: []route.Service{
			{Name: "plain", HealthPath: standin.HealthPath, MaxConnections: 50},
			{Name: "llm", MaxConnections: 50, Engine: &route.Engine{Slots: 8, KVTokens: 100000, KVHold: second, EventTokens: 1, HoldMost: 2 * second, Migrates: true}},
		},
		Limits: route.Limits{BodyBytes: 1000},
	}
	table.Index()
	h.gateway.setTable(table)
	return h
}

// add starts a server and registers it.
func (h *harness) add(service, id, role string) *standin.Backend {
	h.t.Helper()
	b, err := h.group.StartBackend("127.0.0.1:0", id, role, backend.DefaultHeaders)
	assert.NilError(h.t, err)
	h.t.Cleanup(b.Kill)
	h.servers[id] = b
	h.report(service, id, registry.Ready)
	return b
}

func (h *harness) report(service, id string, state registry.State) {
	h.lastSequence++
	b := h.servers[id]
	h.gateway.fleet.update(&wire.Servers{List: []registry.Server{{
		ID: id, Service: service, Address: b.Addr(), Zone: "z", State: state, Role: b.Role, Sequence: h.lastSequence,
	}}}, nil)
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// truncated is set if the answer was interrupted, and closesConn if its connection ends with
	// it.
	truncated, closesConn bool
}

func (h *harness) send(method, target, id, body string, header map[string]string) reply {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.sendWith(ctx, method, target, id, body, header)
}

func (h *harness) sendWith(ctx context.Context, method, target, id, body string, header map[string]string) reply {
	h.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, h.frontend.URL+target, strings.NewReader(body))
	assert.NilError(h.t, err)
	req.Host = "h"
	req.Header.Set(protocol.Headers.RequestID, id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{truncated: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), truncated: err != nil, closesConn: resp.Close}
}

// faultOnce returns a fault for the first request that a filter accepts.
func faultOnce(f standin.Fault, on func(r *http.Request) bool) func(r *http.Request) standin.Fault {
	var done atomic.Bool
	return func(r *http.Request) standin.Fault {
		if (on == nil || on(r)) && done.CompareAndSwap(false, true) {
			return f
		}
		return standin.NoFault
	}
}

func runCount(servers ...*standin.Backend) int {
	n := 0
	for _, b := range servers {
		for _, a := range b.Arrivals() {
			if a.Ran {
				n++
			}
		}
	}
	return n
}

// runAtEngine runs a request of another gateway at an engine until it ends.
func runAtEngine(b *standin.Backend) {
	resp, err := http.Post("http://"+b.Addr()+"/review/0", "text/plain", nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

const eventCount = 5

func completeStream() string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

var workHeaders = map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "5"}

func isDecode(r *http.Request) bool { return r.Header.Get(protocol.Headers.Role) == "" }

func isPrefill(r *http.Request) bool { return !isDecode(r) }
