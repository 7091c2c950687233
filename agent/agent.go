package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/service"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

// Config configures an agent.
type Config struct {
	// Name is the name of its backend server in the settings.
	Name string
	Zone string
	// Engine and Service are the addresses of its backend server; one of them is set.
	Engine, Service string
	// Token is the bearer token that all peers share.
	Token string
	// TLS configures the links that the agent opens; nil for plain TCP.
	TLS *tls.Config
	Log *slog.Logger
	// AssumeNewClaimGroup makes the claim voter vote without copying the grants of the
	// other members, although it can't know that its group has none. It is for
	// development and for tests only.
	AssumeNewClaimGroup bool
}

// Times and limits of an agent.
const (
	tickInterval   = 20 * time.Millisecond
	cancelInterval = 500 * time.Millisecond
	// orphanTimeout is how long entries may resume the runs that the engine had
	// when the agent restarted.
	orphanTimeout = time.Second
	// initialLease is the lease time until the agent has received the settings.
	initialLease = 5 * time.Second
	maxRecords   = 2048
)

// job is the work of one attempt for an entry: a prefill, a decode or a call.
type job struct {
	owner    string
	priority int
	tokens   int
	cancel   context.CancelFunc
	// next is the index of the next token that a decode sends.
	next int
	// importing is set while a KV cache is transferred to this server.
	importing bool
	result    *wire.Prefilled
}

// Agent is the agent process of one backend server.
type Agent struct {
	cfg    Config
	log    *slog.Logger
	dialer wire.Dialer
	epoch  int64
	engine engine.Engine
	svc    *service.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu             sync.Mutex
	store          spread.Store
	work           *lease.Table
	kv             *lease.Table
	jobs           map[lease.ID]*job
	links          map[string]*wire.Link // by owner
	gate           order.Gate
	voter          *claim.Voter
	claimGroup     claimGroupKey
	models         []string
	assets         []string
	role, software string
	engineOK       bool
	failedReports  int
	lastPrefillEnd time.Time // end of the last prefill at the engine
	cacheSeq       uint64
	cacheHints     []uint64
	orphans        map[lease.ID]time.Time
	calls          map[lease.ID]time.Time
	records        *decision.Ring
	registry       *keyRegistry
	// draining is set permanently by Drain, and unlisted while the server is not in
	// the settings. The server is leaving if one of them is set.
	draining, unlisted bool
	pulledAt           time.Time // when settings were last pulled
	disconnectedAt     map[string]time.Time
	heartbeatAt        time.Time // time of the last heartbeat
	heartbeatUsed      int       // slots in use at the last heartbeat
}

// Start starts an agent. Close stops it.
func Start(cfg Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	opts := lease.Options{TTL: initialLease, CancelInterval: cancelInterval}
	a := &Agent{
		cfg: cfg, log: cfg.Log.With("role", "agent", "name", cfg.Name), epoch: clock.WallTime().UnixNano(),
		ctx: ctx, cancel: cancel, work: lease.New(0, opts), kv: lease.New(maxKVResults, opts),
		jobs: map[lease.ID]*job{}, links: map[string]*wire.Link{}, orphans: map[lease.ID]time.Time{},
		calls: map[lease.ID]time.Time{}, disconnectedAt: map[string]time.Time{}, records: decision.NewRing(maxRecords), registry: newKeyRegistry(),
	}
	a.dialer.Log = a.log
	if cfg.Engine != "" {
		a.engine = engine.NewClient(cfg.Engine)
		a.work.SetRecovering(true)
		a.wg.Go(a.recoverLoop)
		a.wg.Go(a.engineLoop)
	}
	if cfg.Service != "" {
		a.svc = service.NewClient(cfg.Service)
	}
	a.wg.Go(a.tickLoop)
	a.wg.Go(a.heartbeatLoop)
	event.Started.Log(a.log)
	return a
}

// maxKVResults is the maximum number of prefill results that wait at one engine.
const maxKVResults = 4096

// Handler serves the links of entries and peers.
func (a *Agent) Handler() http.Handler {
	return wire.Handler(a.log, wire.Options{Hello: a.hello, Token: a.cfg.Token, TLS: a.cfg.TLS}, a.serve)
}

func (a *Agent) hello() wire.Hello {
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.Hello{Name: a.cfg.Name, Role: wire.RoleAgent, Zone: a.cfg.Zone, Epoch: a.epoch, Revision: a.store.Revision()}
}

// Drain reports to all entries that the server is leaving, and waits until its
// work has ended and its results are sent, or ctx is done.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.work.SetLeaving(true)
	a.mu.Unlock()
	a.sendHeartbeats()
	event.ServerLeaving.Log(a.log)
	wait.For(ctx, leaveSettleTime)
	for ctx.Err() == nil && a.busy() {
		wait.For(ctx, tickInterval)
	}
	for _, l := range a.openLinks() {
		l.Flush(ctx)
	}
}

// leaveSettleTime is the time for which a draining agent refuses new work before it may stop. The
// outcome of a call that reached no agent is unknown to its entry, so entries must have received
// the report, and the agent what they sent before.
const leaveSettleTime = 500 * time.Millisecond

func (a *Agent) openLinks() []*wire.Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Values(a.links))
}

// leaving reports whether the server accepts no new work. Callers hold the lock.
func (a *Agent) leaving() bool { return a.draining || a.unlisted }

func (a *Agent) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.work.Used() > 0 || a.kv.Used() > 0 || len(a.jobs) > 0
}

// Close stops the agent immediately. The next agent of the server recovers the runs
// of its engine.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}

func (a *Agent) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			now := clock.VM.Now()
			a.tick(now)
		}
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, until := range a.orphans {
		if now.After(until) {
			delete(a.orphans, id)
			event.OrphanCancelled.Log(a.log, "request", id.Req)
			a.perform(a.work, a.work.CancelOrphan(now, id))
		}
	}
	for owner, at := range a.disconnectedAt {
		if now.Sub(at) > reconnectTimeout {
			delete(a.disconnectedAt, owner)
			a.perform(a.work, a.work.ExpireOwner(now, owner))
			a.perform(a.kv, a.kv.ExpireOwner(now, owner))
		}
	}
	a.perform(a.work, a.work.Tick(now))
	a.perform(a.kv, a.kv.Tick(now))
	a.sendHeartbeatsEarly(now)
	if a.voter != nil {
		a.voter.Tick(now)
	}
}

// addStep adds a step to the record of a request. Callers hold the lock.
func (a *Agent) addStep(id lease.ID, kind decision.Kind, detail string) {
	a.records.GetOrCreate(id.Req).Add(decision.Step{
		At: clock.WallTime(), Kind: kind, Attempt: id.Attempt, Process: a.cfg.Name, Server: a.cfg.Name, Detail: detail,
	})
}

// Explain returns this agent's record of a request.
func (a *Agent) Explain(id string) (decision.Record, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records.Find(id)
}
