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
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// Config configures an entry.
type Config struct {
	Name string
	Zone string
	// Upstream are the addresses of control replicas or relays, tried one after the other.
	Upstream []string
	// Peers are addresses of processes of the site that have settings. They are used
	// if control is unreachable when the entry starts.
	Peers []string
	// Token is the bearer token that all peers share.
	Token string
	// TLS configures the links that the entry opens; nil for plain TCP.
	TLS *tls.Config
	// Platform is the address of the platform's list of VMs; empty if this
	// entry receives the leaving VMs from its relay.
	Platform string
	// SettingsFile stores the settings; nil if the VM has no disk.
	SettingsFile *spread.File
	Log          *slog.Logger
}

// Times and limits of an entry.
const (
	heartbeatInterval = 2 * time.Second
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 2 * time.Second
	// reconnectTimeout is how long the work at an agent is kept after its link broke.
	reconnectTimeout = time.Second
	// controlTimeout is how long a starting entry waits for control before it
	// requests the settings of its peers.
	controlTimeout = 3 * time.Second
	maxRecords     = 4096
)

// Entry is an entry process.
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
	// fleetLimits are the limits of the fleet, and limitsByModel those of each model in the
	// first pool of this zone that prefills it. They are computed once for each revision.
	fleetLimits    settings.Effective
	limitsByModel  map[string]settings.Effective
	flows          map[string]*Flow
	agents         map[string]*agentLink
	downstream     map[*wire.Link]bool // links of the entries that use this one as a relay
	upstream       *wire.Link
	leaving        map[string]bool
	flowsByKey     map[string]*Flow // open requests by customer and Idempotency-Key
	pendingClaims  map[string]*pendingClaim
	pendingRecords map[string]*pendingRecord // by attempt
	// recordTimeout is how long an outcome waits for a majority of the voters: claimTimeout,
	// except in tests.
	recordTimeout time.Duration
	pendingCalls  map[string]*pendingCall
	// accepting is the number of calls of Submit and Call that have not returned.
	accepting int
	draining  bool
	// drainBegun is done once the entry refuses new work; beginDrain ends it.
	drainBegun        context.Context
	beginDrain        context.CancelFunc
	started           time.Time
	persistSignal     chan struct{}  // signals that settings must be written to the disk
	callRecords       *decision.Ring // records of plain calls
	zoneCapacity      []wire.ZoneFree
	borrowed          map[string]time.Time // until when servers of other zones are borrowed
	shortages         map[string]time.Time // when this zone last had no capacity for a model
	holder            *quota.Holder
	broker            *quota.Broker
	sharesRequestedAt time.Time // time of the last request outside of the heartbeats
	removalPending    bool      // a server that was removed from the settings still has work
	heartbeats        int
}

// Start starts an entry. Close stops it.
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
	e.drainBegun, e.beginDrain = context.WithCancel(context.Background())
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

// Handler serves the links of the entries that use this one as a relay.
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

// Drain refuses new work and waits until all open requests have ended or ctx
// is done.
func (e *Entry) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.core.SetDraining()
	e.beginDrain()
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

// OpenRequests returns the number of requests, calls, claims and outcomes in progress. An answer
// that is complete, but not yet written to its caller, isn't counted.
func (e *Entry) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepting + len(e.flows) + len(e.pendingCalls) + len(e.pendingClaims) + len(e.pendingRecords)
}

// Draining is done once the entry refuses new work.
func (e *Entry) Draining() context.Context { return e.drainBegun }

// accept refuses new work of an entry that can't serve it. Otherwise, the work counts as open until
// release is called.
func (e *Entry) accept() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.unavailable(); err != nil {
		return err
	}
	e.accepting++
	return nil
}

func (e *Entry) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepting--
}

// unavailable returns the refusal of new work by an entry that is draining or has no settings; nil
// if it accepts work. Callers hold the lock.
func (e *Entry) unavailable() error {
	if !e.settingsUsable() {
		return fault.New(fault.NotReady, fault.StepAdmit, e.cfg.Name, "no confirmed settings yet")
	}
	if e.draining {
		return fault.New(fault.Draining, fault.StepAdmit, e.cfg.Name, "this entry is draining")
	}
	return nil
}

// Close stops the entry immediately.
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

// sendHeartbeats sends a heartbeat on every link, which renews all leases of this entry at the
// agents.
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

// runPeriodicTasks runs the tasks that are due every few heartbeats. Callers hold the lock.
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

// sendSummary sends the summary of this zone to control, if this entry has a link to
// control. Callers hold the lock.
func (e *Entry) sendSummary() {
	if e.upstream != nil && e.upstream.Peer.Role == wire.RoleControl && e.settingsUsable() {
		_ = e.upstream.Send(&wire.Message{Summary: e.summary()})
	}
}

// Heartbeats between two summaries, and between two requests for shares.
const (
	summaryHeartbeats = 2
	shareHeartbeats   = 1
)

// Ready reports whether the entry can serve, and if not, why. A degraded entry
// is ready, and the text says that it is degraded.
func (e *Entry) Ready() (bool, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return false, "draining"
	case !e.settingsUsable():
		return false, "no confirmed settings yet"
	case e.degraded:
		return true, "degraded: the settings come from peers of the site, control is unreachable"
	}
	return true, ""
}

// Explain returns this entry's record of a request or call.
func (e *Entry) Explain(id string) (decision.Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec, ok := e.core.Explain(id); ok {
		return rec, true
	}
	return e.callRecords.Find(id)
}
