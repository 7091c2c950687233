package main_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// site is three control replicas and two gateways as real processes, each at an
// address of its own, before stand-ins of the platform's servers.
type site struct {
	t         *testing.T
	dir       string
	processes map[string]*process
	front     map[string]string // callers' address and readiness by gateway
	ready     map[string]string
	metrics   map[string]string // address by process
	api       []string
	group     *standin.BackendGroup
	mu        sync.Mutex // of servers and services, which beats read while others start
	servers   map[string]*standin.Backend
	services  map[string]string
	zones     map[string]string // of servers that are not in zone z
	sequence  atomic.Int64
	stop      chan struct{}
	wg        sync.WaitGroup
}

func port(t *testing.T) string {
	t.Helper()
	_, p, err := net.SplitHostPort(freeport.Addr(t))
	assert.NilError(t, err)
	return p
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		t: t, processes: map[string]*process{}, front: map[string]string{}, ready: map[string]string{}, metrics: map[string]string{},
		group: standin.NewBackendGroup(), servers: map[string]*standin.Backend{}, services: map[string]string{}, zones: map[string]string{}, stop: make(chan struct{}),
	}
	dir := t.TempDir()
	s.dir = dir
	t.Cleanup(s.close) // before the folder is removed: cleanups run last to first
	links, api, callers, ready := port(t), port(t), port(t), port(t)
	var seeds []string
	for n := range 3 {
		s.api = append(s.api, fmt.Sprintf("127.0.0.%d:%s", n+2, api))
		seeds = append(seeds, fmt.Sprintf("%q", s.api[n]))
	}
	list := strings.Join(seeds, ", ")
	for n := range 3 {
		name := fmt.Sprint("control-", n)
		s.add(dir, name, fmt.Sprintf(`roles: [control]
data: %s
control:
  links: 127.0.0.%d:%s
  api: %s
  discovery: {seeds: [%s], found: true, tolerate: 1}
`, filepath.Join(dir, name), n+2, links, s.api[n], list))
	}
	for n := range 2 {
		name := fmt.Sprint("gateway-", n)
		s.front[name], s.ready[name] = fmt.Sprintf("127.0.0.%d:%s", n+5, callers), fmt.Sprintf("127.0.0.%d:%s", n+5, ready)
		s.add(dir, name, fmt.Sprintf(`roles: [gateway]
drain: 8s
gateway: {callers: %q, ready: %q, seeds: [%s], links_port: %s, retry: {ratio: 0.2, slack: 50, window: 10s}}
`, s.front[name], s.ready[name], list, links))
	}
	for _, p := range s.processes {
		p.start()
	}
	return s
}

func (s *site) add(dir, name, part string) {
	p := &process{t: s.t, file: filepath.Join(dir, name+".yaml"), operators: freeport.Addr(s.t)}
	metrics := freeport.Addr(s.t)
	text := fmt.Sprintf("name: %s\nzone: z\noperators: %s\nmetrics: %s\nlog: {level: info}\ntokens: {trusted_network: true}\n%s", name, p.operators, metrics, part)
	s.metrics[name] = metrics
	assert.NilError(s.t, os.WriteFile(p.file, []byte(text), 0o600))
	s.processes[name] = p
}

func (s *site) close() {
	if _, err := os.Stat(s.dir); err != nil {
		s.t.Errorf("the folder is removed before the processes that write there have ended: %v", err)
	}
	close(s.stop)
	s.wg.Wait()
	for name, p := range s.processes {
		p.stop()
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, p.log.String())
		}
	}
}

// server starts a stand-in server that reports itself to any control replica.
func (s *site) server(service, id, role string) *standin.Backend {
	b, err := s.group.StartBackend("127.0.0.1:0", id, role, platform.Protocol.Headers)
	assert.NilError(s.t, err)
	s.t.Cleanup(b.Kill)
	s.mu.Lock()
	s.servers[id], s.services[id] = b, service
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			s.beat(id, "ready")
			select {
			case <-s.stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	return b
}

func (s *site) beat(id, state string) {
	s.mu.Lock()
	b, service, zone := s.servers[id], s.services[id], cmp.Or(s.zones[id], "z")
	s.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","coldRemainingMs":0,"slots":8,"state":%q,"stage":%q,"sequence":%d}`,
		service, b.Addr(), zone, state, b.Role, s.sequence.Add(1))
	for _, api := range s.api {
		if status, _, err := s.call("POST", "http://"+api+"/-/instances/"+id+"/heartbeat", body); err == nil && status == 200 {
			return
		}
	}
}

func (s *site) call(method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return standin.Call(ctx, http.DefaultClient, method, url, body)
}

const document = `{"version":VERSION,"routes":[
 {"name":"review","host":"h","pathPrefix":"/review/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":2000,"gapTargetMs":1000,"service":"llm","maxAttempts":1},
 {"name":"checkout","host":"h","pathPrefix":"/checkout/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"service":"app","maxAttempts":1},
 {"name":"rates","host":"h","pathPrefix":"/rates/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":500,"service":"app","maxAttempts":2}MORE],
 "services":[{"name":"app","healthCheck":"/health","maxConnections":100},
 {"name":"llm","healthCheck":"/health","maxConnections":100,"engine":{"slots":8,"kvTokens":100000,"kvHoldS":2,"roleSwitchS":1,"stride":1,"holdMs":2000,"moves":true}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func table(version int, more string) string {
	return strings.NewReplacer("VERSION", fmt.Sprint(version), "MORE", more).Replace(document)
}

// put gives a configuration to any replica until one has taken it.
func (s *site) put(text string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, api := range s.api {
			if status, _, err := s.call("POST", "http://"+api+"/-/config/put", text); err == nil && status == 200 {
				return poll.Success()
			}
		}
		return poll.Continue("nobody takes the configuration")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// isReady waits until a gateway calls itself ready, or not.
func (s *site) isReady(name string, want bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		status, _, err := s.call("GET", "http://"+s.ready[name]+"/-/ready", "")
		if (err == nil && status == 200) != want {
			return poll.Continue("%s: %d %v", name, status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// ask sends one request and returns the status and the body; a body that breaks
// off is an error.
func (s *site) ask(gateway, path, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.front[gateway]+path, bytes.NewReader([]byte("x")))
	if err != nil {
		return 0, "", err
	}
	h := platform.Protocol.Headers
	req.Host = "h"
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.Tokens, "1000,100")
	req.Header.Set(h.Role, "prefill") // forged
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// begin sends a request and leaves as soon as the head of the answer is there; it
// returns the status and when to come back.
func (s *site) begin(gateway, path, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.front[gateway]+path, bytes.NewReader([]byte("x")))
	if err != nil {
		return 0, ""
	}
	req.Host = "h"
	req.Header.Set(platform.Protocol.Headers.RequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// serves waits until a path is served by a gateway.
func (s *site) serves(gateway, path string, want int) {
	s.t.Helper()
	n := 0
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		n++
		status, body, err := s.ask(gateway, path, fmt.Sprint("wait-", gateway, path, n))
		if err != nil || status != want {
			return poll.Continue("%d %s %v", status, body, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// reads waits until a gateway has prompts read by a prefill engine: it hears of servers one
// after the other, and a decode engine that is known alone reads for itself.
func (s *site) reads(gateway, path string, prefill *standin.Backend) {
	before := len(prefill.Arrivals())
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		_, _, _ = s.ask(gateway, path, fmt.Sprintf("warm-%s-%d", gateway, time.Now().UnixNano()))
		if len(prefill.Arrivals()) == before {
			return poll.Continue("%s knows no prefill engine", gateway)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (s *site) each(kind string) []*process {
	var out []*process
	for name, p := range s.processes {
		if strings.HasPrefix(name, kind) {
			out = append(out, p)
		}
	}
	return out
}
