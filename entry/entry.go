package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// Config is what an entry needs to know of itself.
type Config struct {
	Name string
	Zone string
	// Upstream are the addresses of control replicas or relays, tried in turn.
	Upstream []string
	// Peers are addresses of processes of the site that hold settings, asked
	// when control is out of reach at the start.
	Peers []string
	// Token is the bearer token that peers share.
	Token string
	// TLS is for the links that it opens; nil for plain TCP.
	TLS *tls.Config
	// Platform is the address of the platform's list of VMs; empty if this
	// entry hears of leaving VMs from its relay.
	Platform string
	// Keep is where settings are kept; nil if the VM has no disk.
	SettingsFile *spread.File
	Log          *slog.Logger
}

// Times of the entry.
const (
	heartbeatInterval = 2 * time.Second
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 2 * time.Second
	// linkGrace is how long the work at an agent outlives the loss of its link.
	reconnectTimeout = time.Second
	// bootWait is how long an entry that starts waits for control before it
	// asks the peers of its site.
	controlTimeout = 3 * time.Second
	maxRecords     = 4096
)

// Entry is the process.
type Entry struct {
	cfg    Config
	log    *slog.Logger
	dialer wire.Dialer
	epoch  int64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	store    spread.Store
	degraded bool
	grants   map[string]settings.Grant
	core     *router.Core
	// fleet are the limits of the fleet, and limits those of each model in the
	// first pool of this zone that prefills it; worked out once a revision.
	fleetLimits    settings.Effective
	limitsByModel  map[string]settings.Effective
	flows          map[string]*Flow
	agents         map[string]*agentLink
	downstream     map[*wire.Link]bool // relay links to processes below
	upstream       *wire.Link
	leaving        map[string]bool
	flowsByKey     map[string]*Flow // open flows by customer and key
	pendingClaims  map[string]*pendingClaim
	pendingRecords map[string]*pendingRecord // by attempt
	// recordTimeout is how long an outcome waits to be taken: claimTimeout, but in tests.
	recordTimeout     time.Duration
	pendingCalls      map[string]*pendingCall
	draining          bool
	started           time.Time
	persistSignal     chan struct{}  // settings to write to the disk
	callRecords       *decision.Ring // records of plain calls
	zoneCapacity      []wire.ZoneFree
	borrowed          map[string]time.Time // servers of other zones, until when
	shortages         map[string]time.Time // when this zone last had no room for a model
	holder            *quota.Holder
	broker            *quota.Broker
	sharesRequestedAt time.Time // of the last wish out of turn
	removalPending    bool      // a server that is out of the settings still has work
	heartbeats        int
}

// Start returns a running entry.
func Start(cfg Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	now := clock.VM.Now()
	rng := rand.New(rand.NewPCG(uint64(now.UnixNano()), 1))
	e := &Entry{
		cfg: cfg, log: cfg.Log.With("role", "entry", "name", cfg.Name), epoch: now.UnixNano(),
		ctx: ctx, cancel: cancel, flows: map[string]*Flow{}, agents: map[string]*agentLink{},
		downstream: map[*wire.Link]bool{}, leaving: map[string]bool{}, flowsByKey: map[string]*Flow{},
		pendingClaims: map[string]*pendingClaim{}, pendingRecords: map[string]*pendingRecord{}, recordTimeout: claimTimeout, pendingCalls: map[string]*pendingCall{}, started: now,
		borrowed: map[string]time.Time{}, shortages: map[string]time.Time{},
		holder: quota.NewHolder(), broker: quota.NewBroker(), callRecords: decision.NewRing(maxRecords), persistSignal: make(chan struct{}, 1),
	}
	e.dialer.Log = e.log
	e.core = router.New(placement.NewView(cfg.Zone, rng), router.Options{
		Policy: router.DefaultPolicy(), MaxRecords: maxRecords, Name: cfg.Name,
		QueueLimit: 1, StallAfter: time.Second,
	})
	if cfg.SettingsFile != nil {
		e.loadPersisted()
		e.wg.Go(e.persistLoop)
	}
	e.wg.Go(e.upstreamLoop)
	e.wg.Go(e.tickLoop)
	e.wg.Go(e.heartbeatLoop)
	if len(cfg.Peers) > 0 {
		e.wg.Go(e.peerSettingsLoop)
	}
	if cfg.Platform != "" {
		e.wg.Go(e.platformLoop)
	}
	event.Started.Log(e.log)
	return e
}

// Handler serves the links of entries below, if this one is a relay.
func (e *Entry) Handler() http.Handler {
	return wire.Handler(e.log, e.options(), e.serveDownstream)
}

func (e *Entry) options() wire.Options {
	return wire.Options{Hello: e.hello, Token: e.cfg.Token, TLS: e.cfg.TLS}
}

func (e *Entry) hello() wire.Hello {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.Hello{Name: e.cfg.Name, Role: wire.RoleEntry, Zone: e.cfg.Zone, Epoch: e.epoch, Revision: e.store.Revision()}
}

// Drain refuses new work and waits until the open requests have ended or ctx
// is done.
func (e *Entry) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.core.SetDraining()
	e.mu.Unlock()
	event.Draining.Log(e.log)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for ctx.Err() == nil && e.OpenRequests() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			event.DrainTimeout.Log(e.log, "open", e.OpenRequests())
		}
	}
}

// OpenRequests counts the requests and calls in progress.
func (e *Entry) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows) + len(e.pendingCalls) + len(e.pendingClaims) + len(e.pendingRecords)
}

// Close ends the entry at once.
func (e *Entry) Close() {
	e.cancel()
	e.mu.Lock()
	for _, a := range e.agents {
		a.stop()
	}
	if e.upstream != nil {
		e.upstream.Close()
	}
	for l := range e.downstream {
		l.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
	event.Stopped.Log(e.log)
}

func (e *Entry) tickLoop() {
	t := time.NewTicker(router.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
			now := clock.VM.Now()
			e.mu.Lock()
			e.perform(now, e.core.Tick(now))
			e.mu.Unlock()
		}
	}
}

func (e *Entry) heartbeatLoop() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
			e.sendHeartbeats()
		}
	}
}

// beat sends one heartbeat on every link; it renews all leases of this entry.
func (e *Entry) sendHeartbeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	frame, err := wire.Marshal(&wire.Message{Heartbeat: &wire.Heartbeat{Revision: e.revisionInForce()}})
	if err != nil {
		return
	}
	for _, a := range e.agents {
		if a.link != nil {
			_ = a.link.SendFrame(frame)
		}
	}
	for l := range e.downstream {
		_ = l.SendFrame(frame)
	}
	if e.upstream != nil {
		_ = e.upstream.SendFrame(frame)
	}
	e.heartbeats++
	if e.settingsUsable() {
		e.runPeriodicTasks(clock.VM.Now())
	}
}

// slowBeat does what is due every few heartbeats. Callers hold the lock.
func (e *Entry) runPeriodicTasks(now time.Time) {
	if e.heartbeats%summaryHeartbeats == 0 {
		e.sendSummary()
	}
	if e.heartbeats%shareHeartbeats == 0 {
		e.requestShares(now)
	}
	e.borrowServers(now)
	if e.removalPending {
		e.applySettings(now)
	}
}

// tellSummary tells control what this zone has, if this entry has a link to it.
// Callers hold the lock.
func (e *Entry) sendSummary() {
	if e.upstream != nil && e.upstream.Peer.Role == wire.RoleControl && e.settingsUsable() {
		_ = e.upstream.Send(&wire.Message{Summary: e.summary()})
	}
}

// Heartbeats between two summaries and two wishes for shares.
const (
	summaryHeartbeats = 2
	shareHeartbeats   = 1
)

// Ready tells whether the entry can serve, and if not, why. A degraded entry
// is ready and says so.
func (e *Entry) Ready() (bool, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return false, "draining"
	case !e.settingsUsable():
		return false, "no confirmed settings yet"
	case e.degraded:
		return true, "degraded: settings from the site's peers, control is out of reach"
	}
	return true, ""
}

// Explain returns the record of a request at this entry.
func (e *Entry) Explain(id string) (decision.Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec, ok := e.core.Explain(id); ok {
		return rec, true
	}
	return e.callRecords.Find(id)
}
