package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// quotaSettings tell how the use of limits is judged, as checkLimits does.
var quotaSettings = fmt.Sprintf("quota: {window: %s, overshoot: %g, slack: %d}", quotaWindow, quotaOvershoot, quotaSlack)

// headers are the names that the run's callers and servers use.
var headers = platform.Protocol.Headers

// The services of a run.
const (
	engineService = "llm"
	appService    = "app"
)

// The availability zones of a run: that of all processes and most servers, and that of the last
// server of each kind.
const (
	nearZone = "z"
	farZone  = "y"
)

func serviceOf(k RequestKind) string {
	if k == Review || k == Desk {
		return engineService
	}
	return appService
}

func gatewayName(n int) string { return fmt.Sprint(gatewayPrefix, n) }
func controlName(n int) string { return fmt.Sprint(controlPrefix, n) }

// What the names of processes begin with.
const (
	gatewayPrefix = "gateway-"
	controlPrefix = "control-"
)

// server is a stand-in backend server behind a proxy. A server that was killed
// comes back as another incarnation.
type server struct {
	service, role string
	// name is what the server calls itself in all its starts.
	name string
	// zone is its availability zone.
	zone string
	// life is held by the step of a plan that ends and starts the server.
	life sync.Mutex

	mu      sync.Mutex
	backend *standin.Backend
	proxy   *proxy
	trouble *trouble
	leaving bool
	// born is when its present start was, in Unix milliseconds.
	born int64
	// coldUntil is when it is warm.
	coldUntil time.Time
}

func (s *server) now() (*standin.Backend, *proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend, s.proxy
}

// site is a deployment: real processes of the system, stand-in servers, and what
// was seen of them.
type site struct {
	rec      *recorder
	shape    Shape
	dir      string
	binaries [2]string
	// first is the build that all processes start on.
	first     build
	processes map[string]*process
	// front, ready and api are the addresses of callers, readiness and control.
	front, ready, api []string
	group             *standin.BackendGroup
	servers           []*server
	past              []*standin.Backend
	pastMu            sync.Mutex
	zoneOf            map[string]string // of each start of a server, under pastMu
	incarnations      atomic.Int64
	sequence          atomic.Int64
	client            *http.Client
	// wg are the servers that start again, closing ends that.
	wg      sync.WaitGroup
	closing atomic.Bool
	// started tells that a run has begun in which servers that start again are cold.
	started atomic.Bool
}

// host returns an address of the loopback range for the n-th process, so that
// the ports of all processes can be alike.
func host(n int) string { return fmt.Sprintf("127.0.1.%d", n+1) }

// freePort returns a port that is free at each of some hosts.
func freePort(hosts int) (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", host(0)+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		_ = ln.Close()
		free := true
		for n := range hosts {
			other, err := net.Listen("tcp", net.JoinHostPort(host(n), port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			return port, nil
		}
	}
	return "", fmt.Errorf("soak: no free port")
}

// newSite writes the settings of all processes and starts everything.
func newSite(o Options, rec *recorder) (*site, error) {
	shape := o.Shape
	s := &site{
		rec: rec, shape: shape, dir: o.Dir, binaries: [2]string{o.Production, o.Binary}, first: tree, processes: map[string]*process{}, group: standin.NewBackendGroup(), zoneOf: map[string]string{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if o.Production != "" {
		s.first = production
	}
	ports := make([]string, 5)
	for i := range ports {
		p, err := freePort(shape.Processes())
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	links, api, callers, ready, operators := ports[0], ports[1], ports[2], ports[3], ports[4]
	var seeds []string
	for n := range shape.Controls {
		s.api = append(s.api, net.JoinHostPort(host(n), api))
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", s.api[n]))
		}
	}
	list := strings.Join(seeds, ", ")
	for n := range shape.Controls {
		name := controlName(n)
		part := fmt.Sprintf("roles: [control]\ndata: %q\ncontrol:\n  links: %q\n  api: %q\n  discovery: {seeds: [%s], found: true, tolerate: %d}\n  engines: {prefill_share: 0.33, order_lease: 3s}\n  "+quotaSettings+"\n",
			s.data(name), net.JoinHostPort(host(n), links), s.api[n], list, (shape.Controls-1)/2)
		if err := s.add(name, net.JoinHostPort(host(n), operators), part, treeControl); err != nil {
			return nil, err
		}
	}
	for n := range shape.Gateways {
		h := host(shape.Controls + n)
		s.front = append(s.front, net.JoinHostPort(h, callers))
		s.ready = append(s.ready, net.JoinHostPort(h, ready))
		part := fmt.Sprintf("roles: [gateway]\ndrain: 8s\nmemory: %dMB\ngateway: {callers: %q, ready: %q, seeds: [%s], links_port: %s, retry: {ratio: %g, slack: %d, window: %s}, "+quotaSettings+"}\n",
			gatewayMemory, s.front[n], s.ready[n], list, links, budgetRatio, budgetSlack, budgetWindow)
		if err := s.add(gatewayName(n), net.JoinHostPort(h, operators), part, ""); err != nil {
			return nil, err
		}
	}
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, s.startServers()
}

func (s *site) data(name string) string { return filepath.Join(s.dir, name+".data") }

// treeControl are settings of control that the production build may not know: the fleet's
// version rises only when it is asked for, so that going back stays possible.
var treeControl = "  upgrade: {after: 0s}\n" + coldSettings

// add makes a process; treePart are settings for the tree's build alone.
func (s *site) add(name, operators, part, treePart string) error {
	text := fmt.Sprintf("name: %s\nzone: z\noperators: %q\nlog: {level: info, format: json}\ntokens: {trusted_network: true}\n%s", name, operators, part)
	p, err := newProcess(s.binaries, s.dir, name, [2]string{text, text + treePart})
	if err != nil {
		return err
	}
	p.operators = operators
	p.use(s.first)
	p.onExit = func(name string, err error) {
		s.rec.add(func(h *History) { h.Exits = append(h.Exits, fmt.Sprintf("%s: %v", name, err)) })
	}
	s.processes[name] = p
	return nil
}

func (s *site) startServers() error {
	start := func(n int, service, role string) error {
		for i := range n {
			// Soaks beside this one may get the address of a server that has ended: no name of
			// theirs is like one of its own.
			v := &server{service: service, role: role, name: fmt.Sprintf("%s-s%d-%d", service, len(s.servers), os.Getpid()), zone: nearZone}
			if i > 0 && i == n-1 {
				v.zone = farZone
			}
			s.servers = append(s.servers, v)
			if err := s.raise(v); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start(s.shape.Prefills, engineService, "prefill"); err != nil {
		return err
	}
	if err := start(s.shape.Decodes, engineService, "decode"); err != nil {
		return err
	}
	return start(s.shape.Apps, appService, "")
}

// Paces of the stand-in servers.
const (
	prefillTime = 25 * time.Millisecond
	eventTime   = 25 * time.Millisecond
	engineSlots = 16
)

// raise starts a server again, under its name.
func (s *site) raise(v *server) error {
	id := fmt.Sprintf("%s-%d", v.service, s.incarnations.Add(1))
	b, err := s.group.StartBackend("127.0.0.1:0", id, v.role, headers)
	if err != nil {
		return err
	}
	b.SetPace(prefillTime, eventTime, streamEvents)
	b.SetText(textOf)
	tr := newTrouble(v.name, s.incarnations.Load(), s.rec.count)
	b.SetAround(tr.around)
	if v.role == "decode" {
		b.SetSlots(engineSlots)
	}
	p, err := newProxy(b.Addr(), s.rec.count)
	if err != nil {
		return err
	}
	b.Name = v.name
	b.SetDeadly(deadlyContent, func() { s.again(v, b) })
	s.chill(v, b.ID)
	s.group.Alias(p.addr(), b)
	s.pastMu.Lock()
	s.past = append(s.past, b)
	s.zoneOf[b.ID] = v.zone
	s.pastMu.Unlock()
	v.mu.Lock()
	v.backend, v.proxy, v.trouble, v.leaving = b, p, tr, false
	v.born = max(time.Now().UnixMilli(), v.born+1)
	v.mu.Unlock()
	return nil
}

// crashTime is how long a server that a request has ended is away.
const crashTime = 500 * time.Millisecond

// again starts a server again that a request has ended, unless a step of the plan does.
func (s *site) again(v *server, ended *standin.Backend) {
	s.wg.Go(func() {
		time.Sleep(crashTime)
		v.life.Lock()
		defer v.life.Unlock()
		if now, _ := v.now(); now != ended || s.closing.Load() {
			return
		}
		v.end()
		_ = s.raise(v)
	})
}

// leave sets whether the server has said that it leaves.
func (v *server) leave(leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = leaving
}

// end ends a server at once.
func (v *server) end() {
	b, p := v.now()
	p.close()
	b.Kill()
}

// callTimeout bounds a call to control.
const callTimeout = time.Second

func (s *site) call(ctx context.Context, method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return standin.Call(ctx, s.client, method, url, body)
}

// close ends all that was started.
func (s *site) close() {
	s.closing.Store(true)
	s.wg.Wait()
	var wg sync.WaitGroup
	for _, p := range s.processes {
		wg.Go(func() {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGKILL)
		})
	}
	for _, v := range s.servers {
		wg.Go(v.end)
	}
	wg.Wait()
}

// wipe empties the disk of a process that has ended, and tells it that this is
// no first start.
func (s *site) wipe(name string) error {
	if err := os.RemoveAll(s.data(name)); err != nil {
		return err
	}
	for _, b := range s.processes[name].builds {
		text, err := os.ReadFile(b.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(b.settings, []byte(strings.Replace(string(text), "found: true", "found: false", 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}
