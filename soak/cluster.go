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

// quotaSettings are the settings by which token limits are enforced, with the bounds that
// checkLimits uses.
var quotaSettings = fmt.Sprintf("quota: {window: %s, overshoot: %g, slack: %d}", quotaWindow, quotaOvershoot, quotaSlack)

// headers are the header names that the callers and servers of a run use.
var headers = platform.Protocol.Headers

// Services of a run.
const (
	engineService = "llm"
	appService    = "app"
)

// Availability zones of a run. nearZone has all processes and most servers, farZone the last server
// of each kind.
const (
	nearZone = "z"
	farZone  = "y"
)

func serviceOf(k RequestKind) string {
	if k.isStream() {
		return engineService
	}
	return appService
}

func gatewayName(n int) string { return fmt.Sprint(gatewayPrefix, n) }
func controlName(n int) string { return fmt.Sprint(controlPrefix, n) }

// Prefixes of process names.
const (
	gatewayPrefix = "gateway-"
	controlPrefix = "control-"
)

// server is a stand-in backend server behind a proxy. A killed server returns as another
// incarnation.
type server struct {
	service, role string
	// name is the server's name in all its incarnations.
	name string
	zone string
	// restartMu is held by the step of a plan that ends and starts the server.
	restartMu sync.Mutex

	mu        sync.Mutex
	backend   *standin.Backend
	proxy     *proxy
	disturber *disturber
	leaving   bool
	// version is the software version of the current incarnation of an engine, nextVersion that of
	// the next one.
	version, nextVersion string
	// startMillis is the start time of the current incarnation in Unix milliseconds.
	startMillis int64
	// coldUntil is the time until which the server is cold.
	coldUntil time.Time
}

func (s *server) current() (*standin.Backend, *proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend, s.proxy
}

// cluster is a deployment of real processes and stand-in servers, with the observations made of
// them.
type cluster struct {
	rec      *recorder
	shape    Shape
	dir      string
	binaries [2]string
	// initialBuild is the build on which all processes start.
	initialBuild build
	processes    map[string]*process
	// callerAddresses, readinessAddresses and apiAddresses are the addresses of the gateways'
	// listeners for callers and for readiness checks, and of control's API.
	callerAddresses, readinessAddresses, apiAddresses []string
	group                                             *standin.BackendGroup
	servers                                           []*server
	backends                                          []*standin.Backend
	backendsMu                                        sync.Mutex
	zones                                             map[string]string // by ID of an incarnation, under backendsMu
	incarnations                                      atomic.Int64
	sequence                                          atomic.Int64
	client                                            *http.Client
	// wg counts crashed servers that will be started again; closing prevents further starts.
	wg      sync.WaitGroup
	closing atomic.Bool
	// marksCold is set once the run has begun, if restarted servers are to be cold.
	marksCold atomic.Bool
}

// loopbackHost returns a loopback address for the n-th process, so that all processes can use the
// same ports.
func loopbackHost(n int) string { return fmt.Sprintf("127.0.1.%d", n+1) }

// freePort returns a port that is free on the given number of loopback hosts.
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

// newCluster writes the settings of all processes and starts all processes and servers.
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

// treeControlSettings are settings of control that the production build may not know. The fleet's
// version rises only on request, so that a downgrade stays possible.
var treeControlSettings = "  upgrade: {after: 0s}\n" + coldSettings

// addProcess adds a process to the cluster. treeSettings apply to the tree's build only.
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
			// A soak that runs at the same time may get the address of a server that has ended, so
			// names must differ between soaks.
			srv := &server{service: service, role: role, name: fmt.Sprintf("%s-s%d-%d", service, len(cl.servers), os.Getpid()), zone: nearZone, nextVersion: firstVersion}
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

// Speed and capacity of the stand-in servers.
const (
	prefillTime = 25 * time.Millisecond
	eventTime   = 25 * time.Millisecond
	engineSlots = 16
)

// startServer starts a new incarnation of a server.
func (cl *cluster) startServer(srv *server) error {
	id := fmt.Sprintf("%s-%d", srv.service, cl.incarnations.Add(1))
	b, err := cl.group.StartBackend("127.0.0.1:0", id, srv.role, headers)
	if err != nil {
		return err
	}
	b.SetPace(prefillTime, eventTime, streamEvents)
	srv.mu.Lock()
	version := srv.nextVersion
	srv.mu.Unlock()
	b.SetText(versionText(version))
	d := newDisturber(srv.name, version, cl.incarnations.Load(), cl.rec.countDisturbance)
	b.SetMiddleware(d.wrap)
	if srv.role == "decode" {
		b.SetSlots(engineSlots)
	}
	p, err := newProxy(b.Addr(), cl.rec.countDisturbance)
	if err != nil {
		return err
	}
	b.SetSenderLookup(func(remote string) string { return cl.sender(p, remote) })
	b.Name = srv.name
	b.SetPoisonRequest(deadlyContent, func() { cl.restartCrashed(srv, b) })
	if srv.role == "decode" {
		cl.crashOnPoisonParts(srv, b)
	}
	cl.markCold(srv, b.ID)
	cl.group.Alias(p.addr(), b)
	cl.backendsMu.Lock()
	cl.backends = append(cl.backends, b)
	cl.zones[b.ID] = srv.zone
	cl.backendsMu.Unlock()
	srv.mu.Lock()
	srv.backend, srv.proxy, srv.disturber, srv.leaving, srv.version = b, p, d, false, version
	srv.startMillis = max(time.Now().UnixMilli(), srv.startMillis+1)
	b.SetBorn(srv.startMillis)
	srv.mu.Unlock()
	return nil
}

// crashRestartDelay is how long a server that a request has crashed stays down.
const crashRestartDelay = 500 * time.Millisecond

// restartCrashed starts a server again that a request has crashed, unless a step of the plan has
// done so.
func (cl *cluster) restartCrashed(srv *server, crashed *standin.Backend) {
	cl.wg.Go(func() {
		time.Sleep(crashRestartDelay)
		srv.restartMu.Lock()
		defer srv.restartMu.Unlock()
		if now, _ := srv.current(); now != crashed || cl.closing.Load() {
			return
		}
		srv.kill()
		_ = cl.startServer(srv)
	})
}

// setLeaving sets whether the server has reported that it leaves.
func (s *server) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// kill ends a server immediately.
func (s *server) kill() {
	b, p := s.current()
	p.close()
	b.Kill()
}

// callTimeout is the timeout of a call to control.
const callTimeout = time.Second

func (cl *cluster) call(ctx context.Context, method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return standin.Call(ctx, cl.client, method, url, body)
}

// close ends all processes and servers.
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

// wipeDisk deletes the data of a stopped process and sets in its settings that it does not found a
// new cluster.
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
