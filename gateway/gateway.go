// Package gateway is the entry for opaque requests: it takes any method, path
// and body, finds the route by host and path, and calls backend servers
// directly.
//
// The routing table and the list of servers come from control over links. A
// gateway without control goes on with what it has. All that decides about
// servers is in package dispatch; this package does the I/O around it.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	fleetstate "github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/membudget"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
)

// Config is what a gateway needs to know of itself.
type Config struct {
	Name, Zone string
	// Zones are the availability zones of the deployment with the region of each.
	Zones map[string]string
	// Seeds are link addresses of some control replicas.
	Seeds []string
	Token string
	// Protocol is what callers and servers speak.
	Protocol backend.Protocol
	// Retry bounds the sends beyond the first of each request.
	Retry dispatch.Budget
	// Quota tells how the use of limits is judged.
	Quota quota.Bounds
	// Memory bounds what is held for callers.
	Memory membudget.Limits
	// Clock is that of the VM if it is nil.
	Clock *clock.Clock
	Log   *slog.Logger
}

// Gateway is the process.
type Gateway struct {
	cfg    Config
	clock  *clock.Clock
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// private are the header fields that no caller may set.
	privateHeaders []string
	// forServers are the fields of callers that servers read.
	serverHeaders map[string]bool
	table         atomic.Pointer[route.Table]
	// tabled is closed when the first table is in force, since tabledAt.
	tableReady   chan struct{}
	tableReadyAt atomic.Pointer[time.Time]
	draining     atomic.Bool
	active       atomic.Int64
	// streams counts the streams under way. stopsAt is when a draining gateway
	// ends; endsAt is the same once it takes only what surely ends before.
	streams           atomic.Int64
	stopsAt, finishBy atomic.Pointer[time.Time]
	pool              *backend.Pool
	links             *links
	fleet             *fleet
	limits            *limits
	contents          *contents
	evacuated         evacuatedZones
	memory            *membudget.Budget
	// memoryFull bounds the log lines about requests for which there is no memory.
	memoryFull event.Limiter
	// unreadReports bounds the log lines about what servers say of themselves and can't be read.
	unreadReports event.Limiter
	// lookWait is how long a request waits for a look at the server before it: the
	// constant of that name, but in tests.
	checkWait time.Duration
	// kept is what engines keep of prompts, by service.
	cachedMu sync.Mutex
	cached   map[string]*cachedPrompts
	// keptWait is how long an engine may take to tell: keptTimeout, but in tests.
	cacheListTimeout time.Duration
}

// Start returns a running gateway; it is ready once control has told it the
// routing table.
func Start(cfg Config) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	log := cfg.Log.With("role", "gateway", "name", cfg.Name)
	g := &Gateway{
		cfg: cfg, clock: cfg.Clock, log: log, ctx: ctx, cancel: cancel,
		privateHeaders: cfg.Protocol.Headers.Private(), serverHeaders: canonicalNames(cfg.Protocol.Headers.ForServers()), tableReady: make(chan struct{}), pool: backend.NewPool(), fleet: newFleet(cfg.Clock, cfg.Name, cfg.Zone, cfg.Zones, cfg.Retry), cached: map[string]*cachedPrompts{}, cacheListTimeout: cacheListTimeout,
		limits: newLimits(cfg.Clock, cfg.Quota), contents: newContents(cfg.Clock, log), checkWait: checkWait,
		memory:        membudget.New(cfg.Memory, callerTimeout, cfg.Clock.Now),
		memoryFull:    event.Limiter{Every: memoryFullLogInterval, Most: 1},
		unreadReports: event.Limiter{Every: time.Minute, Most: maxReportLines},
	}
	g.pool.OnConnect = g.fleet.noteConnect
	g.pool.Admit = g.fleet.admit
	g.pool.OnAnswer = g.noteAnswer
	g.links = newLinks(g)
	g.links.setSeeds(cfg.Seeds)
	g.wg.Go(g.sweep)
	event.Started.Log(g.log)
	return g
}

// SetSeeds takes a new list of seeds.
func (g *Gateway) SetSeeds(seeds []string) { g.links.setSeeds(seeds) }

// takeTable puts an indexed routing table in force, unless it is older than the
// one that is: a gateway never goes back. Several links may bring the same one.
func (g *Gateway) setTable(t *route.Table) {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if g.table.CompareAndSwap(old, t) {
			if old == nil {
				now := g.clock.Now()
				g.tableReadyAt.Store(&now)
				close(g.tableReady)
			}
			g.limits.setTable(&g.table)
			g.fleet.setColdSettings(g.table.Load().Services)
			event.SettingsInForce.Log(g.log, "version", t.Version, "routes", len(t.Routes))
			return
		}
	}
}

// restarted ends what was under way at a start of a server that a later one has replaced.
func (g *Gateway) noteRestart(s *dispatch.Server) {
	event.ServerRestarted.Log(g.log, "server", s.StableName(), "address", s.Address)
	g.contents.noteRestart(s.ID)
	g.pool.End(s.ID, s.Address)
}

// firstTable is how long a request waits for the first table, and to be told for the
// first time what organisations have used: a gateway that has just started gets that
// within some tenths of a second.
const firstTableTimeout = 500 * time.Millisecond

// awaitTable returns the table in force; nil if there is none in time.
func (g *Gateway) awaitTable(ctx context.Context) *route.Table {
	g.links.awaitCurrent(ctx)
	if t := g.table.Load(); t != nil && (!t.Keyed || g.links.usageKnown()) {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, firstTableTimeout)
	defer cancel()
	select {
	case <-g.tableReady:
	case <-ctx.Done():
	}
	t := g.table.Load()
	if t != nil && t.Keyed {
		select {
		case <-g.links.usageReceived:
		case <-ctx.Done():
		}
	}
	return t
}

// firstServers is how long after the first table a request waits for a server of its
// service to be known: the table comes with the link to control, the servers with a later
// report of the replica that this gateway follows.
const firstServerTimeout = 500 * time.Millisecond

// firstServer chooses a server of a plain service for a request that was not sent yet.
func (g *Gateway) firstServer(ctx context.Context, q *request) (dispatch.Server, bool) {
	var expired <-chan time.Time
	for {
		if s, ok := g.fleet.choosePlain(q.work, q.tried); ok {
			return s, true
		}
		if reason, expected := g.fleet.waitReason(q); reason != waitForServer {
			return g.awaitServer(ctx, q, expected)
		}
		if expired == nil {
			remaining := firstServerTimeout
			if at := g.tableReadyAt.Load(); at != nil {
				remaining = g.clock.Until(at.Add(firstServerTimeout))
			}
			if remaining <= 0 {
				return dispatch.Server{}, false
			}
			t := time.NewTimer(remaining)
			defer t.Stop()
			expired = t.C
		}
		updated := g.fleet.updates()
		if s, ok := g.fleet.choosePlain(q.work, q.tried); ok { // told just before
			return s, true
		}
		select {
		case <-updated:
		case <-expired:
			return dispatch.Server{}, false
		case <-ctx.Done():
			return dispatch.Server{}, false
		}
	}
}

const sweepInterval = 250 * time.Millisecond

// sweep drops old connections and forgets old servers.
func (g *Gateway) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
			now := g.clock.Now()
			g.pool.Sweep(now)
			for _, s := range g.fleet.sweep(now) {
				event.PauseOver.Log(g.log, "server", s.StableName(), "service", s.Service)
			}
			g.contents.sweep(now)
		}
	}
}

// Ready tells whether the gateway takes requests, and if not, why.
func (g *Gateway) Ready() (bool, string) {
	if g.draining.Load() {
		return false, "draining"
	}
	if g.table.Load() == nil {
		return false, "no routing table yet"
	}
	return true, ""
}

// ReadyHandler answers 200 while the gateway is ready, else 503.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := g.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Drain calls the gateway not ready. It goes on serving until the listener is
// shut down, but takes no stream that would probably still run at the end.
func (g *Gateway) Drain(end time.Time) {
	g.stopsAt.Store(&end)
	g.draining.Store(true)
	event.Draining.Log(g.log, "requests", g.active.Load())
}

// Finish makes a draining gateway take no streams any more, and other requests
// only if there is time for them until it ends: what may take longer would be
// cut.
func (g *Gateway) Finish(end time.Time) { g.finishBy.Store(&end) }

// Streams returns the number of streams under way.
func (g *Gateway) Streams() int64 { return g.streams.Load() }

// Active returns the number of requests under way.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Close ends the gateway at once.
func (g *Gateway) Close() {
	g.cancel()
	g.links.close()
	g.wg.Wait()
	g.pool.Close()
	event.Stopped.Log(g.log)
}

// pick returns a random number in [0, 1).
func random() float64 { return rand.Float64() }

// Dump is the state of a gateway.
type Dump struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Version  uint64   `json:"table_version"`
	Draining bool     `json:"draining"`
	Active   int64    `json:"active"`
	Control  []string `json:"control"`
	// Blocked is how many contents are refused since servers ended under them.
	Blocked int `json:"blocked_contents"`
	// HeldBytes are held for callers.
	HeldBytes int64 `json:"held_bytes"`
	// Evacuated are the availability zones that get no new work.
	Evacuated []fleetstate.EvacuatedZone `json:"evacuated,omitempty"`
	// PausedMs are the servers that want no requests of this gateway, with the time that is left.
	PausedMs map[string]int64   `json:"paused_ms,omitempty"`
	Servers  []*dispatch.Server `json:"servers"`
}

// Dump returns the state of the gateway.
func (g *Gateway) Dump() any {
	d := Dump{Name: g.cfg.Name, Zone: g.cfg.Zone, Draining: g.draining.Load(), Active: g.active.Load(), Control: g.links.openPeers(), Blocked: g.contents.count(), Evacuated: g.evacuated.list(), HeldBytes: g.memory.Held()}
	if t := g.table.Load(); t != nil {
		d.Version = t.Version
	}
	d.Servers = g.fleet.list()
	d.PausedMs = g.fleet.pausesMs()
	return d
}

// Collect implements the operator's process interface; the counters of a
// gateway are kept as they arise.
func (g *Gateway) Collect() {
	metric.HeldBytes.WithLabelValues(g.cfg.Name).Set(float64(g.memory.Held()))
}
