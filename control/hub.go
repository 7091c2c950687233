package control

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/subset"
	"github.com/ledgepin/ledgepin/warmup"
	"github.com/ledgepin/ledgepin/wire"
)

// Times of the hub.
const (
	// serverKeep is how long a server that says nothing stays listed.
	serverTTL = 4500 * time.Millisecond
	// aliveEvery is the time between two tellings of which servers have reported
	// themselves, which keep those listed that have nothing new to say.
	aliveEvery = time.Second
	loadsEvery = 50 * time.Millisecond
	// passEvery is the time between two tellings to the other replicas of which
	// servers have reported themselves here.
	forwardEvery = 200 * time.Millisecond
)

// hub holds the soft state that replicas give to gateways: which backend
// servers are there, what other gateways have reserved, and the newest routing
// table. It has a lock of its own, so that a disk that stalls holds up neither
// the report of a leaving server nor a table that is committed.
type hub struct {
	clock *clock.Clock
	log   *slog.Logger // nil in tests
	mu    sync.Mutex
	// zone is this replica's availability zone.
	zone     string
	servers  *registry.Registry
	gateways map[*wire.Link]*gatewayState
	// named are the gateways by ID.
	gatewaysByID map[string]*gatewayState
	peers        map[*wire.Link]bool // links that other replicas have opened
	table        *route.Table
	replicas     []string
	leader       string
	away         map[string]awayEngine
	aliveAt      time.Time
	loadsAt      time.Time
	forwardedAt  time.Time
	// welcomed counts the links of gateways so far.
	linkSeq int
	// joined are gateways that have not been told their part of the servers;
	// counted tells that all have been told how many gateways there are.
	newGateways []*wire.Link
	countSent   bool
	// home is when the servers that report to this replica have done so last, by name,
	// and rosters what each other replica tells of its own.
	localReports map[string]time.Time
	rosters      map[*wire.Link]*registry.Roster
	// waiting are reports that the other replicas get together: of servers that have
	// come to this replica, and of those that leave.
	pendingReports []registry.Server
	// news are the servers of which gateways have not heard what is new, by name.
	updated map[string]bool
	// groups is the number of servers of each service and role that take
	// requests; regroupedAt is when gateways got their parts of them, which was
	// for the sizes in shared and a number of gateways.
	groupSizes     map[serverGroup]int
	subsetSizes    map[serverGroup]int
	subsetGateways int
	subsetsAt      time.Time
	// own is what the gateways of this replica have reserved, and others what each
	// other replica tells of its own. sum is all of it; moved are the engines whose
	// sum has changed since the gateways were told.
	ownLoads     loadSummary
	peerLoads    map[*wire.Link]*loadSummary
	totalLoads   map[string]wire.EngineLoad
	changedLoads map[string]bool
	// toldPeers is what the other replicas were told of the sums of this one;
	// movedOwn are the engines for which that may have changed.
	sentToPeers     loadSummary
	changedOwnLoads map[string]bool
	// cut tells that this replica has no link to most of the others.
	partitioned bool
	// changed tells that servers have changed since they were kept.
	serversChanged bool
	// peerHeard is when each replica told last what its gateways use.
	peerUsageAt map[*wire.Link]time.Time
	// ledger is what organisations have used of their limits.
	ledger   *quota.Ledger[*wire.Link]
	contents contentsState
	// evacuated are the zones that are being evacuated; its number is zero before the first.
	// givenBack is when the evacuation of a zone was finished.
	evacuated         wire.Evacuated
	evacuationEndedAt map[string]time.Time
	// name is this replica's link address. broker lends its parts of cold servers, within
	// coldBounds; coldAt is when it looked at them last.
	name          string
	broker        *warmup.Broker
	coldBounds    warmup.Bounds
	coldCheckedAt time.Time
	// bounded tells that some service of the table bounds what its cold servers get, unsure
	// are the servers of zones that were given back and have not reported themselves since.
	hasColdLimits bool
	unconfirmed   map[string]bool
	// limits is about servers that name a limit of requests a second.
	limits limits
	// read reads the document that a table was made from; nil to go by what the log has.
	parseTable func(document []byte) (*route.Table, error)
}

// gatewayState is what the hub knows of one gateway.
type gatewayState struct {
	link *wire.Link
	// id names the link: a gateway that starts again knows nothing of what it has sent.
	id  string
	key subset.Key
	// near tells that the gateway is in the replica's availability zone.
	sameZone bool
	// told is the version of the newest table that the gateway was told of, has that
	// of the newest one that it was sent.
	announcedVersion, tableVersion uint64
	confirmed                      bool
	// servers are those that the gateway works with, as it was told of them.
	servers map[string]registry.Server
	// sharing tells that the gateway tells this replica what it reserves, which
	// is own; others is what it was told that the others do. fresh tells that it
	// began to share and has not been told anything since.
	reportsLoads, needsAllLoads bool
	reserved                    map[string]wire.EngineLoad
	sentLoads                   loadSummary
	// heard is when it has said something last.
	lastMessageAt time.Time
	// keptFrom is when a gateway of an older build was told to keep away from a server.
	excluded map[string]time.Time
	// queued are the gateway's requests that wait for room.
	queued int
	// limitsTold tells that the gateway was told which servers name limits, and hears what
	// changes of that.
	limitsSent bool
}

// follows tells whether the gateway gets its servers and tables from this replica:
// those of its availability zone, and those that share with it. To the others it tells
// only what must reach everybody at once, so that a report crosses zones once for each
// replica and not once for each gateway.
func (g *gatewayState) subscribed() bool { return g.sameZone || g.reportsLoads }

func newHub(c *clock.Clock, zone string, bounds quota.Bounds) *hub {
	return &hub{
		clock: c, zone: zone,
		servers: registry.New(serverTTL), gateways: map[*wire.Link]*gatewayState{}, gatewaysByID: map[string]*gatewayState{}, peers: map[*wire.Link]bool{}, away: map[string]awayEngine{},
		groupSizes: map[serverGroup]int{}, ownLoads: newLoadSummary(), peerLoads: map[*wire.Link]*loadSummary{}, totalLoads: map[string]wire.EngineLoad{}, changedLoads: map[string]bool{},
		sentToPeers: newLoadSummary(), changedOwnLoads: map[string]bool{}, localReports: map[string]time.Time{}, updated: map[string]bool{}, rosters: map[*wire.Link]*registry.Roster{},
		peerUsageAt: map[*wire.Link]time.Time{}, ledger: quota.NewLedger[*wire.Link](c.Now(), bounds),
		contents: newContents(), evacuationEndedAt: map[string]time.Time{}, unconfirmed: map[string]bool{}, broker: warmup.NewBroker(c.Now()),
		limits: newLimits(c.Now(), ""),
	}
}

// addGateway starts telling a gateway. Its part of the servers goes out at the
// next tick, together with those of all that have joined until then: they come
// by hundreds after a loss of power.
func (h *hub) addGateway(l *wire.Link, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkSeq++
	g := &gatewayState{
		link: l, id: fmt.Sprint(l.Peer.Name, "#", h.linkSeq), lastMessageAt: h.clock.Now(), key: subset.KeyOf(l.Peer.Name), sameZone: l.Peer.Zone == h.zone, servers: map[string]registry.Server{}, reserved: map[string]wire.EngineLoad{}, sentLoads: newLoadSummary(), excluded: map[string]time.Time{},
	}
	h.gateways[l], h.gatewaysByID[g.id] = g, g
	h.newGateways = append(h.newGateways, l)
	h.contents.send(h.clock.Now(), l, suspectEndings) // before the table, with which it serves
	_ = l.Send(&wire.Message{Servers: &wire.Servers{Away: h.awayList(h.clock.Now())}})
	h.sendEvacuated(l)
	h.sendTable(l, g, current)
	h.countSent = false
}

// welcome tells the gateways that have joined their parts of the servers.
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
		h.limits.broker.Forget(ratelimit.Requester{Name: g.id})
		delete(h.gatewaysByID, g.id)
	}
	delete(h.gateways, l)
	delete(h.contents.sentUpTo, l)
	h.countSent = false
}

// addPeer starts telling a replica that has opened a link.
func (h *hub) addPeer(l *wire.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[l] = true
	_ = l.Send(&wire.Message{Replicas: h.replicasMessage()})
	_ = l.Send(&wire.Message{Servers: h.allServers(h.clock.Now())})
	_ = l.Send(&wire.Message{Loads: h.sentToPeers.fullMessage()})
	_ = l.Send(&wire.Message{Use: h.ledger.Snapshot(h.clock.Now())})
	if observations := h.limitObservations(h.clock.Now()); len(observations) > 0 && l.Speaks() >= wire.KnowsLimits {
		_ = l.Send(&wire.Message{Limits: &wire.Limits{Observations: observations}})
	}
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

// tellReplicas tells all gateways and replicas where the replicas are.
func (h *hub) setReplicas(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas = addresses
	h.sendReplicas()
}

// setLeader takes which replica leads, and tells it on if it is news.
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

// replicasNow is what this replica tells of itself and the others.
func (h *hub) replicasMessage() *wire.Replicas {
	return &wire.Replicas{Addresses: h.replicas, Gateways: len(h.gateways), Leader: h.leader, Cut: h.partitioned}
}

// tick does what is due by time.
func (h *hub) tick(now time.Time, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if partitioned := (1+len(h.peers))*2 <= len(h.replicas); partitioned != h.partitioned {
		h.partitioned, h.countSent = partitioned, false
	}
	for l, g := range h.gateways {
		h.sendTable(l, g, current)
	}
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
	h.lendColdServers(now)
	h.tickLimits(now)
	if now.Sub(h.loadsAt) >= loadsEvery {
		h.loadsAt = now
		h.sendLoads()
		h.sendUsage(now)
	}
}

// beat shows life on the links of gateways and replicas.
func (h *hub) sendHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := &wire.Message{Heartbeat: &wire.Heartbeat{}}
	h.sendToGateways(m)
	for l := range h.peers {
		_ = l.Send(m)
	}
}

// list returns the servers for the dump.
func (h *hub) listServers() []registry.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.List(h.clock.Now())
}
