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
	Headers:     backend.DefaultHeaders,
	EventsByOne: true,
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
	TakeHold: func(int, time.Duration) backend.Call {
		return backend.Call{Method: http.MethodPost, Path: standin.HoldPath}
	},
	ParseHold: func(body []byte) (string, error) {
		var in struct{ Hold string }
		err := json.Unmarshal(body, &in)
		return in.Hold, err
	},
	DropHold: func(hold string) backend.Call {
		return backend.Call{Method: http.MethodDelete, Path: standin.HoldPath + "/" + hold}
	},
	ListKept: func() backend.Call { return backend.Call{Method: http.MethodGet, Path: standin.KeptPath} },
	ParseKept: func(body []byte) ([]route.PromptPart, error) {
		var in struct{ Kept []route.PromptPart }
		err := json.Unmarshal(body, &in)
		return in.Kept, err
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

// rig is a gateway before stand-in servers.
type rig struct {
	t        testing.TB
	gateway  *Gateway
	front    *httptest.Server
	group    *standin.BackendGroup
	servers  map[string]*standin.Backend
	sequence uint64
}

// newRig starts a gateway with a table of one plain service and one of engines.
func newRig(t testing.TB) *rig {
	t.Helper()
	r := &rig{t: t, group: standin.NewBackendGroup(), servers: map[string]*standin.Backend{}}
	r.gateway = Start(Config{
		Name: "g", Zone: "z", Protocol: protocol, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Retry: dispatch.Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second},
	})
	r.gateway.checkWait = 5 * time.Second // no test hangs on how busy the machine is
	t.Cleanup(r.gateway.Close)
	r.front = httptest.NewUnstartedServer(r.gateway)
	r.front.Config.ConnContext = ConnContext
	r.front.Start()
	t.Cleanup(r.front.Close)
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
	r.gateway.setTable(table)
	return r
}

// add starts a server and registers it.
func (r *rig) add(service, id, role string) *standin.Backend {
	r.t.Helper()
	b, err := r.group.StartBackend("127.0.0.1:0", id, role, backend.DefaultHeaders)
	assert.NilError(r.t, err)
	r.t.Cleanup(b.Kill)
	r.servers[id] = b
	r.report(service, id, registry.Ready)
	return b
}

func (r *rig) report(service, id string, state registry.State) {
	r.sequence++
	b := r.servers[id]
	r.gateway.fleet.update(&wire.Servers{List: []registry.Server{{
		ID: id, Service: service, Address: b.Addr(), Zone: "z", State: state, Role: b.Role, Sequence: r.sequence,
	}}}, nil)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// cut tells that the answer broke off, closing that its connection ends with it.
	cut, closing bool
}

func (r *rig) send(method, target, id, body string, header map[string]string) reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return r.sendWith(ctx, method, target, id, body, header)
}

func (r *rig) sendWith(ctx context.Context, method, target, id, body string, header map[string]string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, r.front.URL+target, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = "h"
	req.Header.Set(protocol.Headers.RequestID, id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{cut: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), cut: err != nil, closing: resp.Close}
}

// first makes a fault for the first request that a filter lets through.
func first(f standin.Fault, on func(r *http.Request) bool) func(r *http.Request) standin.Fault {
	var done atomic.Bool
	return func(r *http.Request) standin.Fault {
		if (on == nil || on(r)) && done.CompareAndSwap(false, true) {
			return f
		}
		return standin.NoFault
	}
}

func ran(servers ...*standin.Backend) int {
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

// standinRun runs a request of another gateway at an engine to its end.
func standinRun(b *standin.Backend) {
	resp, err := http.Post("http://"+b.Addr()+"/review/0", "text/plain", nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

const events = 5

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

var work = map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "5"}

func isDecode(r *http.Request) bool { return r.Header.Get(protocol.Headers.Role) == "" }

func isPrefill(r *http.Request) bool { return !isDecode(r) }
