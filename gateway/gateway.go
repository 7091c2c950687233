// Package gateway is the entry for opaque requests: it accepts any method, path and body, finds the
// route by host and path, and calls backend servers directly.
//
// The routing table and the list of servers come from control over links. A gateway that can't
// reach control continues with the state it has. All decisions about servers are made by package
// dispatch; this package does the I/O.
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
	"github.com/ledgepin/ledgepin/overload"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
)

// Config holds the settings of a gateway.
type Config struct {
	Name, Zone string
	// Zones maps each availability zone of the deployment to its region.
	Zones map[string]string
	// Seeds are the link addresses of some control replicas.
	Seeds []string
	Token string
	// Protocol is the protocol of callers and servers.
	Protocol backend.Protocol
	// Retry bounds the sends of each request beyond the first.
	Retry dispatch.Budget
	// Quota configures how the limits of organisations are enforced.
	Quota quota.Bounds
	// Memory bounds the memory used for callers' requests and answers.
	Memory membudget.Limits
	// Clock is the clock of the VM if nil.
	Clock *clock.Clock
	Log   *slog.Logger
}

// Gateway routes the requests of callers to backend servers.
type Gateway struct {
	cfg    Config
	clock  *clock.Clock
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// privateHeaders are the header fields that callers may not set.
	privateHeaders []string
	// serverHeaders are the header fields of callers that servers read.
	serverHeaders map[string]bool
	table         atomic.Pointer[route.Table]
	// tableReady is closed at tableReadyAt, when the first table is in force.
	tableReady   chan struct{}
	tableReadyAt atomic.Pointer[time.Time]
	draining     atomic.Bool
	active       atomic.Int64
	// streams counts the streams under way. stopsAt is when a draining gateway stops; finishBy is
	// the same time, set once the gateway accepts only requests that are sure to end before it.
	streams           atomic.Int64
	stopsAt, finishBy atomic.Pointer[time.Time]
	pool              *backend.Pool
	links             *links
	fleet             *fleet
	limits            *limits
	contents          *contents
	origins           *origins
	confirmations     confirmations
	evacuated         evacuatedZones
	memory            *membudget.Budget
	own               ownLoad
	// memoryFull limits the log lines about requests refused for lack of memory.
	memoryFull event.Limiter
	// overloadRefusals limits the log lines about requests refused for the gateway's own load.
	overloadRefusals event.Limiter
	// unreadReports limits the log lines about unreadable reports of servers.
	unreadReports event.Limiter
	// checkWait is how long a request waits for the check of its previous server: the constant of
	// that name, except in tests.
	checkWait time.Duration
	// inTouch reports whether control has recently been heard from: links.connected, except in
	// tests.
	inTouch func() bool
	// cached holds the prompts that engines keep cached, by service.
	cachedMu sync.Mutex
	cached   map[string]*cachedPrompts
	// cacheListTimeout bounds how long an engine may take to list them: the constant of that name,
	// except in tests.
	cacheListTimeout time.Duration
}

// Start returns a running gateway, which is ready once it has received the routing table from
// control.
func Start(cfg Config) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	log := cfg.Log.With("role", "gateway", "name", cfg.Name)
	g := &Gateway{
		cfg: cfg, clock: cfg.Clock, log: log, ctx: ctx, cancel: cancel,
		privateHeaders: cfg.Protocol.Headers.Private(), serverHeaders: canonicalNames(cfg.Protocol.Headers.ForServers()), tableReady: make(chan struct{}), pool: backend.NewPool(), fleet: newFleet(cfg.Clock, cfg.Name, cfg.Zone, cfg.Zones, cfg.Retry), cached: map[string]*cachedPrompts{}, cacheListTimeout: cacheListTimeout,
		limits: newLimits(cfg.Clock, cfg.Quota), contents: newContents(cfg.Clock, log, cfg.Name), origins: newOrigins(cfg.Clock), checkWait: checkWait,
		own:              ownLoad{limiter: overload.NewLimiter()},
		memory:           membudget.New(cfg.Memory, callerTimeout, cfg.Clock.Now),
		memoryFull:       event.Limiter{Interval: memoryFullLogInterval, MaxKeys: 1},
		overloadRefusals: event.Limiter{Interval: overloadLogInterval, MaxKeys: maxOverloadRoutes},
		unreadReports:    event.Limiter{Interval: time.Minute, MaxKeys: maxReportLines},
	}
	g.fleet.view.Warm = func(s *dispatch.Server) bool { return g.pool.HasClean(s.Address, cleanTime) }
	g.pool.OnConnect, g.pool.OnConnectTimeout, g.pool.OwnDelay = g.noteConnect, g.noteConnectTimeout, g.ownDelay
	g.pool.Admit = g.fleet.admit
	g.pool.OnAnswer = g.noteServerAnswer
	g.links = newLinks(g)
	g.inTouch = g.links.connected
	g.contents.parts, g.contents.gateways = g.sharedParts, g.fleet.gateways
	g.links.setSeeds(cfg.Seeds)
	g.wg.Go(g.sweep)
	g.wg.Go(g.measureOwnLoad)
	event.Started.Log(g.log)
	return g
}

// SetSeeds replaces the list of seeds.
func (g *Gateway) SetSeeds(seeds []string) { g.links.setSeeds(seeds) }

// setTable puts an indexed routing table in force, unless the one in force is at least as
// new: several links may deliver the same table, and a gateway never goes back to an older one.
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
			g.fleet.setServices(g.table.Load())
			g.origins.setTable(g.table.Load())
			event.SettingsInForce.Log(g.log, "version", t.Version, "routes", len(t.Routes))
			return
		}
	}
}

// noteRestart ends the requests at a server incarnation that a later one has replaced.
func (g *Gateway) noteRestart(s *dispatch.Server) {
	event.ServerRestarted.Log(g.log, "server", s.StableName(), "address", s.Address)
	g.contents.noteRestart(s.ID)
	g.noteRestartedVersion(s)
	g.pool.EndIncarnation(s.ID, s.Address)
}

// firstTableTimeout is how long a request waits for the first table, and for the first update on
// what organisations have used. A gateway that has just started gets both within a few tenths of a
// second.
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

// firstServerTimeout is how long after the first table a request waits until a server of its
// service is known: the table comes as soon as the link to control is open, the servers with a
// later report of the replica chosen as hub.
const firstServerTimeout = 500 * time.Millisecond

// firstServer chooses a server of a plain service for a request that has not been sent yet.
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
		if s, ok := g.fleet.choosePlain(q.work, q.tried); ok { // an update may have come in just before
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

// sweep closes old connections and removes old servers.
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
				event.ServerPauseEnded.Log(g.log, "server", s.StableName(), "service", s.Service)
			}
			g.noteLossChanges(now)
			g.contents.sweep(now)
			g.settleOrigins()
			g.origins.sweep(now)
		}
	}
}

// Ready reports whether the gateway accepts requests, and if not, why.
func (g *Gateway) Ready() (bool, string) {
	if g.draining.Load() {
		return false, "draining"
	}
	if g.table.Load() == nil {
		return false, "no routing table yet"
	}
	return true, ""
}

// ReadyHandler responds with 200 while the gateway is ready, and with 503 otherwise.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := g.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Drain makes the gateway report that it is not ready, and stop at end. It continues to serve until
// the listener is shut down, but refuses streams that would probably still run at end.
func (g *Gateway) Drain(end time.Time) {
	g.stopsAt.Store(&end)
	g.draining.Store(true)
	event.Draining.Log(g.log, "requests", g.active.Load())
}

// Finish makes a draining gateway refuse all streams, and other requests unless there is enough
// time for them before end, so that none is cut.
func (g *Gateway) Finish(end time.Time) { g.finishBy.Store(&end) }

// Streams returns the number of streams under way.
func (g *Gateway) Streams() int64 { return g.streams.Load() }

// Active returns the number of requests under way.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Close stops the gateway at once.
func (g *Gateway) Close() {
	g.cancel()
	g.links.close()
	g.wg.Wait()
	g.pool.Close()
	event.Stopped.Log(g.log)
}

// random returns a random number in [0, 1).
func random() float64 { return rand.Float64() }

// Dump is the state of a gateway.
type Dump struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Version  uint64   `json:"table_version"`
	Draining bool     `json:"draining"`
	Active   int64    `json:"active"`
	Control  []string `json:"control"`
	// Blocked is the number of contents that are refused because servers crashed under them.
	Blocked int `json:"blocked_contents"`
	// BlockedParts are the parts of prompts that are refused for the same reason.
	BlockedParts []blockedPart `json:"blocked_parts,omitempty"`
	// HeldBytes is the memory used for callers' requests and answers, in bytes.
	HeldBytes int64 `json:"held_bytes"`
	// Evacuated are the availability zones that get no new work.
	Evacuated []fleetstate.EvacuatedZone `json:"evacuated,omitempty"`
	// PausedMs are the servers that have asked for no requests, with the remaining time in
	// milliseconds.
	PausedMs map[string]int64   `json:"paused_ms,omitempty"`
	Servers  []*dispatch.Server `json:"servers"`
}

// Dump returns the state of the gateway.
func (g *Gateway) Dump() any {
	d := Dump{Name: g.cfg.Name, Zone: g.cfg.Zone, Draining: g.draining.Load(), Active: g.active.Load(), Control: g.links.openPeers(), Blocked: g.contents.count(), BlockedParts: g.contents.blockedParts(), Evacuated: g.evacuated.list(), HeldBytes: g.memory.Held()}
	if t := g.table.Load(); t != nil {
		d.Version = t.Version
	}
	d.Servers = g.fleet.list()
	d.PausedMs = g.fleet.pausesMs()
	return d
}

// Collect updates the gauges of held bytes, of waiting requests and of full levels when the metrics
// are read. It implements the process interface of the operator endpoint; the other metrics of a
// gateway are updated as they change.
func (g *Gateway) Collect() {
	g.fleet.collectWaiting()
	g.collectOwnLoad()
	metric.HeldBytes.WithLabelValues(g.cfg.Name).Set(float64(g.memory.Held()))
	metric.BlockedParts.WithLabelValues(g.cfg.Name).Set(float64(len(g.contents.blockedParts())))
	metric.OpenStreams.Reset()
	for at, n := range g.origins.openStreams() {
		metric.OpenStreams.WithLabelValues(at.Service, at.Version).Set(float64(n))
	}
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services {
			if s.Engine != nil {
				metric.FullLevel.WithLabelValues(g.cfg.Name, s.Name).Set(g.fleet.meanFullLevel(&s))
			}
		}
	}
}
