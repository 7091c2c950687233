package control

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/subset"
	"github.com/ledgepin/ledgepin/warmup"
	"github.com/ledgepin/ledgepin/wire"
)

// Intervals and timeouts of the hub.
const (
	// serverTTL is how long a server stays listed without a report.
	serverTTL = 4500 * time.Millisecond
	// aliveEvery is the interval at which gateways are notified which servers have reported
	// recently. This keeps servers listed whose state has not changed.
	aliveEvery = time.Second
	loadsEvery = 50 * time.Millisecond
	// forwardEvery is the interval at which the other replicas are notified which servers
	// have reported to this one.
	forwardEvery = 200 * time.Millisecond
)

// hub holds the soft state that replicas give to gateways: the backend servers, the load
// that other gateways have reserved, and the newest routing table. It has a lock of its
// own, so that a stalled disk delays neither the report of a leaving server nor a committed
// table.
type hub struct {
	clock *clock.Clock
	log   *slog.Logger // nil in tests
	mu    sync.Mutex
	// zone is this replica's availability zone.
	zone     string
	servers  *registry.Registry
	gateways map[*wire.Link]*gatewayState
	// gatewaysByID indexes the gateways by gatewayState.id.
	gatewaysByID map[string]*gatewayState
	peers        map[*wire.Link]bool // links that other replicas have opened
	table        *route.Table
	replicas     []string
	leader       string
	away         map[string]awayEngine
	aliveAt      time.Time
	loadsAt      time.Time
	forwardedAt  time.Time
	// linkSeq counts the links that gateways have opened, for their IDs.
	linkSeq int
	// newGateways are gateways that have not received their subset of the servers.
	// countSent is set once all gateways have received the current number of gateways.
	newGateways []*wire.Link
	countSent   bool
	// localReports is the time of the last report of each server that reports to this
	// replica, by server ID. rosters are the servers that report to each other replica.
	localReports map[string]time.Time
	rosters      map[*wire.Link]*registry.Roster
	// pendingReports are reports that go to the other replicas in one message: of servers
	// that have started to report to this replica, and of leaving ones.
	pendingReports []registry.Server
	// updated are the IDs of servers with changes that gateways have not received.
	updated map[string]bool
	// groupSizes is the number of ready servers of each service and role. subsetsAt is when
	// gateways last got their subsets of them, which were computed for subsetSizes and
	// subsetGateways.
	groupSizes     map[serverGroup]int
	subsetSizes    map[serverGroup]int
	subsetGateways int
	subsetsAt      time.Time
	// ownLoads is what the gateways of this replica have reserved, and peerLoads what each
	// other replica reports about its gateways. totalLoads is the sum of both; changedLoads
	// are the engines whose total has changed since it was sent to the gateways.
	ownLoads     loadSummary
	peerLoads    map[*wire.Link]*loadSummary
	totalLoads   map[string]wire.EngineLoad
	changedLoads map[string]bool
	// sentToPeers is what the other replicas have received of ownLoads; changedOwnLoads are
	// the engines for which that may be outdated.
	sentToPeers     loadSummary
	changedOwnLoads map[string]bool
	// demandChanged is set if the demand of a gateway has changed since it was added up, and
	// lastTurn is the last rank that was given to a gateway (gatewayState.turns).
	demandChanged bool
	lastTurn      int
	// partitioned reports that this replica has no link to the majority of the replicas.
	partitioned bool
	// serversChanged reports that servers have changed since they were saved.
	serversChanged bool
	// peerUsageAt is when each replica last reported the usage of its gateways.
	peerUsageAt map[*wire.Link]time.Time
	// ledger accounts what organisations have used of their limits.
	ledger   *quota.Ledger[*wire.Link]
	contents contentsState
	origins  originsState
	// evacuated are the zones that are being evacuated; its Number is zero before the first
	// evacuation. evacuationEndedAt is when the evacuation of a zone was finished.
	evacuated         wire.Evacuated
	evacuationEndedAt map[string]time.Time
	// name is this replica's link address. broker leases its shares of cold servers within
	// coldBounds; coldCheckedAt is when that was last done.
	name          string
	broker        *warmup.Broker
	coldBounds    warmup.Bounds
	coldCheckedAt time.Time
	// hasColdLimits reports that some service of the table limits the rate of its cold
	// servers. unconfirmed are the servers of formerly evacuated zones that have not
	// reported themselves since.
	hasColdLimits bool
	unconfirmed   map[string]bool
	// limits holds the servers that report a limit of requests per second.
	limits limits
	// parseTable parses the document that a table was made from; nil to use the table of
	// the log.
	parseTable func(document []byte) (*route.Table, error)
}

// gatewayState is the hub's state of one gateway.
type gatewayState struct {
	link *wire.Link
	// id identifies the link, not the gateway: a restarted gateway has no record of what it
	// has sent before.
	id  string
	key subset.Key
	// sameZone reports that the gateway is in the replica's availability zone.
	sameZone bool
	// announcedVersion is the version of the newest table that the gateway was notified of,
	// tableVersion that of the newest one that it was sent.
	announcedVersion, tableVersion uint64
	confirmed                      bool
	// servers are those that the gateway works with, as they were sent to it.
	servers map[string]registry.Server
	// reportsLoads reports that the gateway sends its reservations to this replica; they
	// are in reserved. sentLoads is what it has received about the reservations of the
	// other gateways. needsAllLoads is set until it has received them for the first time.
	reportsLoads, needsAllLoads bool
	reserved                    map[string]wire.EngineLoad
	sentLoads                   loadSummary
	// lastMessageAt is the time of the gateway's last message.
	lastMessageAt time.Time
	// excluded maps servers that a gateway of an older build must not use to the time when
	// it was last notified of that.
	excluded map[string]time.Time
	// queued is the number of the gateway's requests that wait for capacity.
	queued int
	// requests is the number of requests of the gateway's callers in 1,000 s.
	requests int
	// demand is what the gateway's callers request, and turns its rank among the gateways of this
	// replica for each class with waiting requests.
	demand []demand.Class
	turns  map[demand.Key]int
	// limitsSent reports that the gateway has received all limits and gets changes of them.
	limitsSent bool
}

// subscribed reports whether the gateway gets its servers and tables from this replica.
// That holds for gateways of the replica's availability zone and for those that report
// their load to it. Other gateways only get what must reach all of them at once, so that a
// report crosses zones once for each replica and not once for each gateway.
func (g *gatewayState) subscribed() bool { return g.sameZone || g.reportsLoads }

func newHub(c *clock.Clock, zone string, bounds quota.Bounds) *hub {
	return &hub{
		clock: c, zone: zone,
		servers: registry.New(serverTTL), gateways: map[*wire.Link]*gatewayState{}, gatewaysByID: map[string]*gatewayState{}, peers: map[*wire.Link]bool{}, away: map[string]awayEngine{},
		groupSizes: map[serverGroup]int{}, ownLoads: newLoadSummary(), peerLoads: map[*wire.Link]*loadSummary{}, totalLoads: map[string]wire.EngineLoad{}, changedLoads: map[string]bool{},
		sentToPeers: newLoadSummary(), changedOwnLoads: map[string]bool{}, localReports: map[string]time.Time{}, updated: map[string]bool{}, rosters: map[*wire.Link]*registry.Roster{},
		peerUsageAt: map[*wire.Link]time.Time{}, ledger: quota.NewLedger[*wire.Link](c.Now(), bounds),
		contents: newContents(), origins: newOrigins(), evacuationEndedAt: map[string]time.Time{}, unconfirmed: map[string]bool{}, broker: warmup.NewBroker(c.Now()),
		limits: newLimits(c.Now(), ""),
	}
}

// addGateway adds the link of a gateway. The gateway's subset of the servers is sent at the
// next tick, together with those of all gateways that have connected until then: hundreds
// connect at once after a loss of power.
func (h *hub) addGateway(l *wire.Link, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkSeq++
	g := &gatewayState{
		link: l, id: fmt.Sprint(l.Peer.Name, "#", h.linkSeq), lastMessageAt: h.clock.Now(), key: subset.KeyOf(l.Peer.Name), sameZone: l.Peer.Zone == h.zone, servers: map[string]registry.Server{}, reserved: map[string]wire.EngineLoad{}, sentLoads: newLoadSummary(), excluded: map[string]time.Time{},
	}
	h.gateways[l], h.gatewaysByID[g.id] = g, g
	h.newGateways = append(h.newGateways, l)
	h.contents.sendToGateway(h.clock.Now(), l) // before the table, since a gateway serves as soon as it has one
	_ = l.Send(&wire.Message{Servers: &wire.Servers{Away: h.awayList(h.clock.Now())}})
	h.sendEvacuated(l)
	h.sendLimitObservations(l) // a gateway that was suspended may not know them
	h.sendVersionsTo(l)
	h.sendTable(l, g, current)
	h.countSent = false
}

// sendSubsets sends the new gateways their subsets of the servers. Callers hold h.mu.
func (h *hub) sendSubsets(now time.Time) {
	if len(h.newGateways) == 0 {
		return
	}
	list := h.candidates(now)
	for _, l := range h.newGateways {
		if g := h.gateways[l]; g != nil && g.subscribed() {
			h.sendSubset(l, g, list)
		}
	}
	h.newGateways = nil
}

func (h *hub) removeGateway(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[l]; g != nil {
		h.setReserved(g, nil, false)
		h.setQueued(g, 0)
		h.setRequests(g, 0)
		h.setDemand(g, nil)
		h.limits.broker.Forget(ratelimit.Requester{Name: g.id})
		delete(h.gatewaysByID, g.id)
	}
	delete(h.gateways, l)
	delete(h.contents.sentUpTo, l)
	h.countSent = false
}

// addPeer adds a link that another replica has opened, and sends it the state of this one.
func (h *hub) addPeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[l] = true
	_ = l.Send(&wire.Message{Replicas: h.replicasMessage()})
	sendServers(l, h.allServers(h.clock.Now()))
	_ = l.Send(&wire.Message{Loads: h.sentToPeers.fullMessage()})
	_ = l.Send(&wire.Message{Use: h.ledger.Snapshot(h.clock.Now())})
	h.sendLimitObservations(l)
	h.sendAllOrigins(l)
}

func (h *hub) removePeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, l)
	delete(h.contents.sentUpTo, l)
}

func (h *hub) sendToGateways(m *wire.Message) {
	frame, err := wire.Marshal(m)
	if err != nil {
		return
	}
	for l := range h.gateways {
		_ = l.SendFrame(frame)
	}
}

// setReplicas sets the addresses of the replicas and sends them to all gateways and
// replicas.
func (h *hub) setReplicas(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas = addresses
	h.sendReplicas()
}

// setLeader sets the leader's address and sends it to all gateways and replicas if it has
// changed.
func (h *hub) setLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == "" || address == h.leader {
		return
	}
	h.leader = address
	h.sendReplicas()
}

func (h *hub) sendReplicas() {
	m := &wire.Message{Replicas: h.replicasMessage()}
	h.sendToGateways(m)
	for l := range h.peers {
		_ = l.Send(m)
	}
}

// replicasMessage returns the message that describes this replica and the others.
func (h *hub) replicasMessage() *wire.Replicas {
	return &wire.Replicas{Addresses: h.replicas, Gateways: len(h.gateways), Leader: h.leader, Cut: h.partitioned}
}

// tick does the periodic work that is due.
func (h *hub) tick(now time.Time, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if partitioned := (1+len(h.peers))*2 <= len(h.replicas); partitioned != h.partitioned {
		h.partitioned, h.countSent = partitioned, false
	}
	for l, g := range h.gateways {
		h.sendTable(l, g, current)
	}
	h.sendVersions(now) // before the servers that have them
	h.sendUpdates(now)
	h.sendSubsets(now)
	if !h.countSent {
		h.countSent = true
		h.sendReplicas()
	}
	if now.Sub(h.forwardedAt) >= forwardEvery {
		h.forwardedAt = now
		h.forwardReports(now)
	}
	if now.Sub(h.aliveAt) >= aliveEvery {
		h.sendAlive(now)
		h.aliveAt = now
	}
	h.sendLoadsToPeers()
	h.sendUsageToPeers(now)
	h.sendContents(now)
	h.sendOriginsToPeers()
	h.leaseColdServers(now)
	h.tickLimits(now)
	if now.Sub(h.loadsAt) >= loadsEvery {
		h.loadsAt = now
		h.sendLoads()
		h.sendUsage(now)
	}
}

// sendHeartbeats keeps the links of gateways and replicas alive.
func (h *hub) sendHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := &wire.Message{Heartbeat: &wire.Heartbeat{}}
	h.sendToGateways(m)
	for l := range h.peers {
		_ = l.Send(m)
	}
}

// listServers returns all servers, for dumps.
func (h *hub) listServers() []registry.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.List(h.clock.Now())
}
