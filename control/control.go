package control

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/internal/diskfile"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wal"
	"github.com/ledgepin/ledgepin/warmup"
	"github.com/ledgepin/ledgepin/wire"
)

// Config configures a control replica.
type Config struct {
	// Name is the replica's name in the settings.
	Name string
	// Zone is the replica's availability zone.
	Zone string
	// Members maps the names of the founding replicas, including this one, to their
	// addresses.
	Members map[string]string
	// Dir is the data folder. If it is empty, everything is kept in memory, for development
	// and tests.
	Dir string
	// Token authenticates links between processes.
	Token string
	// TLS is the configuration of links that the replica opens; nil for plain TCP.
	TLS *tls.Config
	// Log receives the replica's events.
	Log *slog.Logger
	// Files is the file system of Dir; nil for that of the operating system.
	Files diskfile.FS
	// Discovery is set if replicas find each other through seeds. Members is empty then,
	// and Name is the link address.
	Discovery *Discovery
	// Roles configures how engines that gateways drive get their roles.
	Roles RoleConfig
	// QuotaBounds bounds how the usage of limits is accounted.
	QuotaBounds quota.Bounds
	// ColdBounds bounds how much work cold servers get.
	ColdBounds warmup.Bounds
	// ParseTable parses the document of an operator's table; nil if there are no such
	// documents.
	ParseTable func(document []byte) (*route.Table, error)
	// Zones maps the availability zones of the deployment to their regions; empty if the
	// process does not know them.
	Zones map[string]string
	// Clock is the time source; nil for the clock of the VM.
	Clock *clock.Clock
	// ElectionMin is the minimum silence of a leader before an election, and HeartbeatEvery
	// the interval of a leader's heartbeats. Zero selects the default.
	ElectionMin, HeartbeatEvery time.Duration
	// UpgradeAfter is how long all members must have reported that they read the next fleet
	// version before it rises automatically. If it is zero, only an operator raises the
	// version.
	UpgradeAfter time.Duration
	// Versions is the range of versions that the replica reads and writes; zero for that of
	// the build.
	Versions compat.Range
	// SnapshotEvery is the number of entries after which the log is cut.
	SnapshotEvery int
	// SnapshotBytes is the size of the entries after which the log is cut as well, or the size of
	// the last snapshot if that is larger.
	SnapshotBytes int
}

// Intervals and timeouts of the replicated log.
const (
	tickEvery          = 20 * time.Millisecond
	heartbeatEvery     = 2 * time.Second
	raftHeartbeatEvery = 150 * time.Millisecond
	electionMin        = time.Second
	clockDrift         = 0.05
	reconcileEvery     = 500 * time.Millisecond
	zonesSendEvery     = 10 * time.Second

	// DefaultSnapshotEvery is the default number of entries between snapshots.
	DefaultSnapshotEvery = 1000
	// DefaultSnapshotBytes is the default size of the entries between snapshots.
	DefaultSnapshotBytes = 8 << 20
)

// Control is a control replica.
type Control struct {
	cfg    Config
	clock  *clock.Clock
	id     string
	log    *slog.Logger
	dialer wire.Dialer
	epoch  int64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// mu serialises the steps of the node and their disk writes, so that packets are sent
	// only after the state that they promise is synced.
	mu           sync.Mutex
	node         *consensus.Node // nil until the identity of the replica is known
	disk         *wal.Journal
	state        *fleet.State
	store        spread.Store
	waiters      map[string][]chan fleet.Result
	peerLinks    map[string]*peerLink // links to other replicas by name
	downstream   map[*wire.Link]bool  // links of relays and entries
	connected    map[string]int       // number of links that each identity has opened to this replica
	askedToFound map[string]bool      // founding members that have asked this one whether the group may be founded
	hub          *hub
	// proposals counts the proposals made here, for their IDs.
	proposals int
	// diskRetryAt is when a replica whose disk has failed tries to open it again.
	diskRetryAt   time.Time
	discoverAt    time.Time
	wasLeader     bool
	zoneSummaries map[string]*wire.Summary
	planner       order.Planner
	quotaBroker   *quota.Broker
	heartbeatAt   time.Time
	zonesSentAt   time.Time
	plannedAt     time.Time
	floorSentAt   time.Time
	// rejectionLog limits the log lines about rejected reports, packets and replicas.
	rejectionLog event.Limiter
	// gate decides when the fleet's version rises, while this replica leads.
	gate     compat.Gate
	gateTerm uint64
	// replicaLinks are the open links to other replicas in both directions. lastHello is
	// the last hello of each identity.
	replicaLinks map[*wire.Link]bool
	lastHello    map[string]wire.Hello
	// requiredVersion is the highest version that an entry of the log or the snapshot
	// requires of its readers.
	requiredVersion int
	// stopReason is set once the replica has stopped for good, because its data can't be
	// read by this build.
	stopReason string
}

// Limits of the log lines about rejected reports, packets and replicas: one a minute for
// each subject and reason, for at most as many of them as a large fleet has servers.
const (
	rejectionLogEvery   = time.Minute
	maxRejectionLogKeys = 1000
)

// Start opens the journal and returns a running replica.
func Start(cfg Config) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	c := &Control{
		cfg: cfg, clock: cfg.Clock, log: cfg.Log.With("role", "control", "name", cfg.Name), epoch: clock.WallTime().UnixNano(),
		ctx: ctx, cancel: cancel, state: fleet.New(), waiters: map[string][]chan fleet.Result{},
		peerLinks: map[string]*peerLink{}, downstream: map[*wire.Link]bool{}, connected: map[string]int{}, replicaLinks: map[*wire.Link]bool{}, lastHello: map[string]wire.Hello{}, requiredVersion: compat.Base, askedToFound: map[string]bool{}, zoneSummaries: map[string]*wire.Summary{},
		quotaBroker: quota.NewBroker(), hub: newHub(cfg.Clock, cfg.Zone, cfg.QuotaBounds), rejectionLog: event.Limiter{Interval: rejectionLogEvery, MaxKeys: maxRejectionLogKeys},
	}
	c.dialer.Log, c.hub.log = c.log, c.log
	c.hub.name, c.hub.coldBounds, c.hub.parseTable = cfg.Name, cfg.ColdBounds, cfg.ParseTable
	c.hub.limits = newLimits(cfg.Clock.Now(), cfg.Name)
	if cfg.Discovery != nil {
		c.wg.Go(c.bootDiscovered)
		return c, nil
	}
	disk, opened, err := c.openDisk()
	if err != nil {
		c.stopIfNewer(err)
		cancel()
		return nil, err
	}
	c.disk = disk
	c.wg.Go(func() { c.boot(opened) })
	return c, nil
}

// boot determines the identity of the replica, which may have to wait for other replicas,
// and then joins the group.
func (c *Control) boot(opened wal.OpenResult) {
	if err := c.restore(opened, false); err != nil {
		event.JournalFailed.Log(c.log, "error", fault.From(err))
		return
	}
	if c.ctx.Err() != nil {
		return
	}
	event.Started.Log(c.log, "id", c.id)
	c.mu.Lock()
	for name, addr := range c.cfg.Members {
		c.dialPeer(name, addr)
	}
	c.mu.Unlock()
	c.tickLoop()
}

// files returns the file system of the data folder.
func (c *Control) files() diskfile.FS {
	if c.cfg.Files == nil {
		return diskfile.OS
	}
	return c.cfg.Files
}

// openDisk opens and reads the journal. It returns nil if everything is kept in memory.
func (c *Control) openDisk() (*wal.Journal, wal.OpenResult, error) {
	if c.cfg.Dir == "" {
		return nil, wal.OpenResult{}, nil
	}
	j, o, err := wal.OpenChecked(c.cfg.Dir, c.files(), fleet.CheckSnapshot)
	if err != nil {
		if !fault.Is(err, fault.JournalNewer) {
			event.JournalCorrupt.Log(c.log, "error", fault.From(err))
		}
		return nil, wal.OpenResult{}, err
	}
	if o.TruncatedBytes > 0 {
		event.JournalTorn.Log(c.log, "bytes", o.TruncatedBytes)
	}
	return j, o, nil
}

// restore builds the replica from its disk. suspect reports that an earlier write to the disk
// has failed.
func (c *Control) restore(opened wal.OpenResult, suspect bool) error {
	identity, err := c.readIdentity()
	if err != nil {
		return err
	}
	onDisk := stored{name: c.cfg.Name, identity: identity, recorded: opened.Recorded, restored: opened.Restored}
	id, r, err := c.establishIdentity(onDisk, suspect)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
	return c.rebuild(r)
}

// rebuild builds the state machine and the consensus node from the contents of the disk.
// Callers hold c.mu.
func (c *Control) rebuild(r consensus.Restored) error {
	state, err := fleet.Restore(r.Snapshot.Data)
	if err != nil {
		return fault.Wrap(err, fault.JournalBroken, fault.StepJournal, c.cfg.Dir)
	}
	c.state = state
	if c.disk != nil {
		c.requiredVersion = max(c.requiredVersion, c.disk.Version())
	}
	if err := c.requireVersion(state.Version()); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(uint64(c.epoch), uint64(clock.WallTime().UnixNano())))
	c.node = consensus.New(c.raftConfig(c.id), r, r.Snapshot.Members, c.clock.Now(), rng)
	for id := range c.connected {
		c.markReplacedVoters(id)
	}
	c.publish(c.clock.Now())
	return nil
}

// raftConfig returns the configuration of the consensus node.
func (c *Control) raftConfig(id string) consensus.Config {
	minElection := cmp.Or(c.cfg.ElectionMin, electionMin)
	return consensus.Config{
		ID: id, HeartbeatInterval: cmp.Or(c.cfg.HeartbeatEvery, raftHeartbeatEvery), ElectionMin: minElection, ElectionMax: 2 * minElection, MaxClockDrift: clockDrift,
	}
}

// founders returns the first voters.
func (c *Control) founders() []string {
	if c.cfg.Discovery != nil {
		return slices.Clone(c.cfg.Discovery.Seeds)
	}
	return slices.Collect(maps.Keys(c.cfg.Members))
}

// baseName returns the name in the settings that belongs to an identity.
func baseName(id string) string {
	name, _, _ := strings.Cut(id, "~")
	return name
}

// Handler serves the links of replicas, relays, entries and gateways.
func (c *Control) Handler() http.Handler {
	return wire.Handler(c.log, c.options(), c.serve)
}

func (c *Control) options() wire.Options {
	o := wire.Options{Hello: c.hello, Token: c.cfg.Token, TLS: c.cfg.TLS, Versions: c.cfg.Versions}
	if c.cfg.Discovery != nil {
		o.Idle = discoveredIdleTimeout
	}
	return o
}

func (c *Control) hello() wire.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := wire.Hello{Name: c.id, Role: wire.RoleControl, Zone: c.cfg.Zone, Epoch: c.epoch, Revision: c.state.Revision()}
	if c.node != nil {
		h.Commit = c.node.Status(c.clock.Now()).Commit
	}
	return h
}

// Close stops the replica.
func (c *Control) Close() {
	c.cancel()
	c.mu.Lock()
	for _, p := range c.peerLinks {
		p.stop()
	}
	for l := range c.downstream {
		l.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
	if c.disk != nil {
		_ = c.disk.Close()
	}
	event.Stopped.Log(c.log)
}

func (c *Control) tickLoop() { wait.Every(c.ctx, c.clock, tickEvery, c.tick) }

func (c *Control) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Discovery != nil && !now.Before(c.diskRetryAt) && c.node.Failed() && c.stopReason == "" {
		c.reopenDisk(now)
	}
	c.node.Tick(now)
	c.processReady(now)
	c.updateLeadership(now)
	if now.Sub(c.heartbeatAt) >= c.heartbeatInterval() {
		c.heartbeatAt = now
		c.sendHeartbeats(now)
	}
	if now.Sub(c.plannedAt) >= reconcileEvery {
		c.plannedAt = now
		c.reconcile(now)
		c.issueOrders(now)
		c.raiseVersionIfReady(now)
	}
	if c.cfg.Discovery != nil && now.Sub(c.discoverAt) >= discoverEvery {
		c.discoverAt = now
		c.discover(now)
	}
	if now.Sub(c.zonesSentAt) >= zonesSendEvery {
		c.zonesSentAt = now
		c.sendZones()
	}
}

// discoverEvery is the interval between two steps of discovered membership.
const discoverEvery = 100 * time.Millisecond

func (c *Control) heartbeatInterval() time.Duration {
	if c.cfg.Discovery != nil {
		return discoveredHeartbeatEvery
	}
	return heartbeatEvery
}

func (c *Control) updateLeadership(now time.Time) {
	c.hub.setLeader(baseName(c.node.Leader()))
	leads := c.node.IsLeader(now)
	if leads == c.wasLeader {
		return
	}
	c.wasLeader = leads
	if leads {
		event.LeaderElected.Log(c.log, "term", c.node.Term())
		c.planner = order.Planner{}
		return
	}
	event.LeaderLost.Log(c.log, "term", c.node.Term())
}
