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
	lifeMu sync.Mutex

	mu        sync.Mutex
	backend   *standin.Backend
	proxy     *proxy
	disturber *disturber
	leaving   bool
	// born is when its present start was, in Unix milliseconds.
	born int64
	// coldUntil is when it is warm.
	coldUntil time.Time
}

func (srv *server) current() (*standin.Backend, *proxy) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.backend, srv.proxy
}

// site is a deployment: real processes of the system, stand-in servers, and what
// was seen of them.
type cluster struct {
	rec      *recorder
	shape    Shape
	dir      string
	binaries [2]string
	// first is the build that all processes start on.
	initialBuild build
	processes    map[string]*process
	// front, ready and api are the addresses of callers, readiness and control.
	callerAddresses, readinessAddresses, apiAddresses []string
	group                                             *standin.BackendGroup
	servers                                           []*server
	backends                                          []*standin.Backend
	backendsMu                                        sync.Mutex
	zones                                             map[string]string // of each start of a server, under pastMu
	incarnations                                      atomic.Int64
	sequence                                          atomic.Int64
	client                                            *http.Client
	// wg are the servers that start again, closing ends that.
	wg      sync.WaitGroup
	closing atomic.Bool
	// started tells that a run has begun in which servers that start again are cold.
	marksCold atomic.Bool
}

// host returns an address of the loopback range for the n-th process, so that
// the ports of all processes can be alike.
func loopbackHost(n int) string { return fmt.Sprintf("127.0.1.%d", n+1) }

// freePort returns a port that is free at each of some hosts.
func freePort(hosts int) (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", loopbackHost(0)+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		_ = ln.Close()
		free := true
		for n := range hosts {
			other, err := net.Listen("tcp", net.JoinHostPort(loopbackHost(n), port))
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
func newCluster(o Options, rec *recorder) (*cluster, error) {
	shape := o.Shape
	cl := &cluster{
		rec: rec, shape: shape, dir: o.Dir, binaries: [2]string{o.Production, o.Binary}, initialBuild: treeBuild, processes: map[string]*process{}, group: standin.NewBackendGroup(), zones: map[string]string{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if o.Production != "" {
		cl.initialBuild = productionBuild
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
		cl.apiAddresses = append(cl.apiAddresses, net.JoinHostPort(loopbackHost(n), api))
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", cl.apiAddresses[n]))
		}
	}
	list := strings.Join(seeds, ", ")
	for n := range shape.Controls {
		name := controlName(n)
		settings := fmt.Sprintf("roles: [control]\ndata: %q\ncontrol:\n  links: %q\n  api: %q\n  discovery: {seeds: [%s], found: true, tolerate: %d}\n  engines: {prefill_share: 0.33, order_lease: 3s}\n  "+quotaSettings+"\n",
			cl.dataDir(name), net.JoinHostPort(loopbackHost(n), links), cl.apiAddresses[n], list, (shape.Controls-1)/2)
		if err := cl.addProcess(name, net.JoinHostPort(loopbackHost(n), operators), settings, treeControlSettings); err != nil {
			return nil, err
		}
	}
	for n := range shape.Gateways {
		h := loopbackHost(shape.Controls + n)
		cl.callerAddresses = append(cl.callerAddresses, net.JoinHostPort(h, callers))
		cl.readinessAddresses = append(cl.readinessAddresses, net.JoinHostPort(h, ready))
		settings := fmt.Sprintf("roles: [gateway]\ndrain: 8s\nmemory: %dMB\ngateway: {callers: %q, ready: %q, seeds: [%s], links_port: %s, retry: {ratio: %g, slack: %d, window: %s}, "+quotaSettings+"}\n",
			gatewayMemoryMB, cl.callerAddresses[n], cl.readinessAddresses[n], list, links, budgetRatio, budgetSlack, budgetWindow)
		if err := cl.addProcess(gatewayName(n), net.JoinHostPort(h, operators), settings, ""); err != nil {
			return nil, err
		}
	}
	for _, p := range cl.processes {
		if err := p.start(); err != nil {
			cl.close()
			return nil, err
		}
	}
	return cl, cl.startServers()
}

func (cl *cluster) dataDir(name string) string { return filepath.Join(cl.dir, name+".data") }

// treeControl are settings of control that the production build may not know: the fleet's
// version rises only when it is asked for, so that going back stays possible.
var treeControlSettings = "  upgrade: {after: 0s}\n" + coldSettings

// add makes a process; treePart are settings for the tree's build alone.
func (cl *cluster) addProcess(name, operators, settings, treeSettings string) error {
	text := fmt.Sprintf("name: %s\nzone: z\noperators: %q\nlog: {level: info, format: json}\ntokens: {trusted_network: true}\n%s", name, operators, settings)
	p, err := createProcess(cl.binaries, cl.dir, name, [2]string{text, text + treeSettings})
	if err != nil {
		return err
	}
	p.operators = operators
	p.setBuild(cl.initialBuild)
	p.onExit = func(name string, err error) {
		cl.rec.update(func(h *History) { h.Exits = append(h.Exits, fmt.Sprintf("%s: %v", name, err)) })
	}
	cl.processes[name] = p
	return nil
}

func (cl *cluster) startServers() error {
	start := func(n int, service, role string) error {
		for i := range n {
			// Soaks beside this one may get the address of a server that has ended: no name of
			// theirs is like one of its own.
			srv := &server{service: service, role: role, name: fmt.Sprintf("%s-s%d-%d", service, len(cl.servers), os.Getpid()), zone: nearZone}
			if i > 0 && i == n-1 {
				srv.zone = farZone
			}
			cl.servers = append(cl.servers, srv)
			if err := cl.startServer(srv); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start(cl.shape.Prefills, engineService, "prefill"); err != nil {
		return err
	}
	if err := start(cl.shape.Decodes, engineService, "decode"); err != nil {
		return err
	}
	return start(cl.shape.Apps, appService, "")
}

// Paces of the stand-in servers.
const (
	prefillTime = 25 * time.Millisecond
	eventTime   = 25 * time.Millisecond
	engineSlots = 16
)

// raise starts a server again, under its name.
func (cl *cluster) startServer(srv *server) error {
	id := fmt.Sprintf("%s-%d", srv.service, cl.incarnations.Add(1))
	b, err := cl.group.StartBackend("127.0.0.1:0", id, srv.role, headers)
	if err != nil {
		return err
	}
	b.SetPace(prefillTime, eventTime, streamEvents)
	b.SetText(eventText)
	d := newDisturber(srv.name, cl.incarnations.Load(), cl.rec.countTrouble)
	b.SetAround(d.wrap)
	if srv.role == "decode" {
		b.SetSlots(engineSlots)
	}
	p, err := newProxy(b.Addr(), cl.rec.countTrouble)
	if err != nil {
		return err
	}
	b.Name = srv.name
	b.SetDeadly(deadlyContent, func() { cl.restartCrashed(srv, b) })
	cl.markCold(srv, b.ID)
	cl.group.Alias(p.addr(), b)
	cl.backendsMu.Lock()
	cl.backends = append(cl.backends, b)
	cl.zones[b.ID] = srv.zone
	cl.backendsMu.Unlock()
	srv.mu.Lock()
	srv.backend, srv.proxy, srv.disturber, srv.leaving = b, p, d, false
	srv.born = max(time.Now().UnixMilli(), srv.born+1)
	srv.mu.Unlock()
	return nil
}

// crashTime is how long a server that a request has ended is away.
const crashRestartDelay = 500 * time.Millisecond

// again starts a server again that a request has ended, unless a step of the plan does.
func (cl *cluster) restartCrashed(srv *server, crashed *standin.Backend) {
	cl.wg.Go(func() {
		time.Sleep(crashRestartDelay)
		srv.lifeMu.Lock()
		defer srv.lifeMu.Unlock()
		if now, _ := srv.current(); now != crashed || cl.closing.Load() {
			return
		}
		srv.kill()
		_ = cl.startServer(srv)
	})
}

// leave sets whether the server has said that it leaves.
func (srv *server) setLeaving(leaving bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.leaving = leaving
}

// end ends a server at once.
func (srv *server) kill() {
	b, p := srv.current()
	p.close()
	b.Kill()
}

// callTimeout bounds a call to control.
const callTimeout = time.Second

func (cl *cluster) call(ctx context.Context, method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return standin.Call(ctx, cl.client, method, url, body)
}

// close ends all that was started.
func (cl *cluster) close() {
	cl.closing.Store(true)
	cl.wg.Wait()
	var wg sync.WaitGroup
	for _, p := range cl.processes {
		wg.Go(func() {
			p.signal(syscall.SIGCONT)
			p.stop(syscall.SIGKILL)
		})
	}
	for _, srv := range cl.servers {
		wg.Go(srv.kill)
	}
	wg.Wait()
}

// wipe empties the disk of a process that has ended, and tells it that this is
// no first start.
func (cl *cluster) wipeDisk(name string) error {
	if err := os.RemoveAll(cl.dataDir(name)); err != nil {
		return err
	}
	for _, b := range cl.processes[name].builds {
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
