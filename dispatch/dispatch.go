// Package dispatch chooses backend servers for the requests of a gateway.
//
// It keeps plain state: callers pass the time as an argument, and the package has no clock,
// lock or socket. It uses the servers from the registry, what this gateway has under way at
// each of them, the loads that the other gateways report, and the outcomes of recent
// requests.
package dispatch

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
	"github.com/ledgepin/ledgepin/subset"
)

// Load is what is under way at an engine. A gateway's dump writes its fields under their Go
// names.
type Load struct {
	// Tokens is the size in tokens that the KV caches of the runs will have at their end.
	Tokens int
	// Prefill is the number of prompt tokens that wait for their prefill.
	Prefill int
	// Runs is the number of running requests.
	Runs int
	// Held is the current size in tokens of the KV caches of the runs.
	Held int
}

// Add returns the sum of l and o.
func (l Load) Add(o Load) Load {
	return Load{Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill, Runs: l.Runs + o.Runs, Held: l.Held + o.Held}
}

// OtherGateways is what a gateway knows about the other gateways.
type OtherGateways struct {
	// Gateways is the number of gateways that share the servers, and Known the number of
	// those whose loads are known. Both count this gateway.
	Gateways, Known int
	// Queued is the number of their requests that wait for capacity.
	Queued int
	// Own is the number of requests of this gateway's callers in 1,000 s, Requests that of the other
	// known ones. Complete reports that there are no unknown ones.
	Own, Requests int
	Complete      bool
	// total is the recent maximum of the requests of all gateways while they were all known, in 1,000 s;
	// zero if they were not.
	total int
	// Demand is what waits there and what has recently arrived, by service and urgency. Requests
	// that are counted in Queued and not in Demand are of gateways of an older build.
	Demand []demand.Class
	// Loads is what they have reserved, by engine.
	Loads map[string]Load
	// Evidence is the outcomes of their recent requests, by server, where some failed.
	Evidence map[string]Evidence
}

// Server is a backend server as one gateway sees it. A gateway's dump writes its exported
// fields under their Go names.
type Server struct {
	registry.Server
	// Open is the number of requests of this gateway that wait for the server's answer.
	Open int
	// Own is what this gateway has reserved, Others what all other gateways have.
	Own, Others Load
	// refusals is the number of refusals in a row that may be this engine's fault.
	refusals int
	health   health
	// ownEvidence counts the outcomes of this gateway's recent requests, OthersSeen those of
	// the other gateways. ejection is the time for which gateways send the server no requests
	// because of these outcomes.
	ownEvidence evidence
	OthersSeen  Evidence
	ejection    ejection
	// losses is what is known about the answers that the server has lost, in all its
	// incarnations; nil if it has lost none recently.
	losses *losses
	// rank is the server's position in this gateway's order of the servers.
	rank uint64
	// seenRuns is the number of its runs by the last update of the other gateways, slotsSince
	// when that number last changed.
	seenRuns   int
	slotsSince time.Time
	reportedAt time.Time
	// leavingSince is when this gateway was notified that the server leaves.
	leavingSince time.Time
	gone         bool
	// replaced is true once a later incarnation of the server has replaced this one.
	replaced bool
	// evacuated is true while the server's availability zone gets no new work.
	evacuated bool
	cold      cold
	limit     limit
	// pause is the time for which the server has asked this gateway to send no requests.
	pause selfreport.Pause
	// leavingReported is true once the server has reported in an answer that it leaves,
	// leavingSent once control was notified of that.
	leavingReported, leavingSent bool
	// region is the region of the server's availability zone; empty if it is not known.
	region string
	// supersededBy is another incarnation at the same address, which is used in place of this
	// one.
	supersededBy *Server
	// targetRole is the role that an engine is changing to; empty if it changes none. The
	// engine is not used before roleChangeEarliest, and is used with the role that it reports
	// after roleChangeDeadline.
	targetRole                             string
	roleChangeEarliest, roleChangeDeadline time.Time
}

// Fleet holds all servers that a gateway has received reports of.
type Fleet struct {
	// gatewayKey is the hash of the gateway's name.
	gatewayKey   uint64
	servers      map[string]*Server
	incarnations *registry.Incarnations
	// groups holds the servers by service and role. It is rebuilt after a server has come,
	// left or changed its role; nil marks it as outdated. cursor is where the next choice
	// begins.
	groups map[group][]*Server
	cursor int
	// excluded is the number of servers in each group that get no new work, because their
	// availability zone is being evacuated or because they have asked for a pause.
	// nextPauseEnd is the earliest end of these pauses; zero if there is none.
	excluded     map[group]int
	nextPauseEnd time.Time
	// Zone is the gateway's own availability zone.
	Zone string
	// regions holds the region of each availability zone, roundTrips the round-trip time to
	// each zone.
	regions    map[string]string
	roundTrips map[string]time.Duration
	// Others is what is known about the other gateways, total the rate of all requests.
	Others OtherGateways
	total  recentMax
	// groupSizes is the number of servers in each group, including servers that this gateway
	// does not work with.
	groupSizes map[group]int
	// evacuated holds the availability zones that get no new work.
	evacuated map[string]bool
	// coldSettings holds the settings of each service for its cold servers.
	coldSettings map[string]ColdSettings
	// Warm, if set, reports whether the gateway has a connection to a plain server that can carry
	// any further request.
	Warm func(s *Server) bool
	// Standalone is true while no control replica issues tokens to this gateway.
	Standalone bool
	// meters counts the requests to each service.
	meters map[string]*ratelimit.Meter
	// pendingLimits holds the limits of servers that are not known yet.
	pendingLimits map[string]ratelimit.Observation
	// prefillRates is the rate of the prefill engines of each service, in prompt tokens a
	// millisecond.
	prefillRates map[string]float64
	// losses holds the servers that have recently lost answers, by their stable names.
	// lossChanges are the changes of the use of engines among them that were not logged yet.
	losses      map[string]*losses
	lossChanges []LossChange
	// tokenTimes is the observed time per generated token of a run, by service.
	tokenTimes map[string]time.Duration
	// headroom is what requests to each service leave free for more urgent ones.
	headroom map[string]Headroom
	// versions are the software versions of the servers of each service.
	versions origin.Versions
	// promotions holds how often the classes of requests to each service are served.
	promotions map[string]*promotion
}

// SetGroupSize sets the number of servers of a service and role.
func (f *Fleet) SetGroupSize(service, role string, n int) { f.groupSizes[group{service, role}] = n }

// GatewaysPerServer returns the number of gateways that work with one server of a service and
// role: all of them, unless each works with a subset of the servers.
func (f *Fleet) GatewaysPerServer(service, role string) int {
	return subset.GatewaysPerServer(f.groupSizes[group{service, role}], f.Others.Gateways)
}

// group identifies the servers of a service that have the same role.
type group struct{ service, role string }

// One choice looks at a quarter of a group, at least minChoices servers, so that gateways
// that choose at the same time by loads that are some tens of milliseconds old don't all
// choose the same server. It looks at no more than maxChoices, so that the cost of a choice
// doesn't grow with the fleet.
const (
	choiceDivisor = 4
	minChoices    = 4
	maxChoices    = 24
)

// search calls fits for some servers of a group, for different ones in each call. If none of
// them fits, it looks at more, up to the number that a choice may look at.
func (f *Fleet) search(now time.Time, service, role string, fits func(s *Server) bool) {
	list := f.group(now, service, role)
	n := min(max(len(list)/choiceDivisor, minChoices), maxChoices)
	found := false
	visit := func(s *Server) { found = fits(s) || found }
	f.visit(list, n, visit)
	if !found && n < len(list) {
		f.visit(list, f.maxSearched(now, list), visit)
	}
}

// maxSearched returns the number of servers of a group that a choice may look at if it finds
// none: the whole group if some server reports a limit, since a token is valid for one server
// only.
func (f *Fleet) maxSearched(now time.Time, list []*Server) int {
	for _, s := range list {
		if f.IsLimited(now, s) {
			return len(list)
		}
	}
	return maxChoices
}

func (f *Fleet) group(now time.Time, service, role string) []*Server {
	if f.groups == nil || !f.nextPauseEnd.IsZero() && !now.Before(f.nextPauseEnd) {
		f.regroup(now)
	}
	return f.groups[group{service, role}]
}

func (f *Fleet) visit(list []*Server, n int, visit func(s *Server)) {
	if len(list) <= n {
		for _, s := range list {
			visit(s)
		}
		return
	}
	f.cursor += n
	for i := range n {
		visit(list[(f.cursor+i)%len(list)])
	}
}

// regroup builds the groups. Servers that have been silent are left out: control may have
// assigned them to other gateways, and a choice that looked only at these would find none.
func (f *Fleet) regroup(now time.Time) {
	f.groups, f.excluded, f.nextPauseEnd = map[group][]*Server{}, map[group]int{}, time.Time{}
	for _, s := range f.servers {
		remaining := s.pause.Remaining(now)
		if !s.gone && (s.evacuated || remaining > 0) {
			f.excluded[group{s.Service, s.Role}]++
		}
		if resumeAt := now.Add(remaining); remaining > 0 && (f.nextPauseEnd.IsZero() || resumeAt.Before(f.nextPauseEnd)) {
			f.nextPauseEnd = resumeAt
		}
		if !s.gone && !s.evacuated && remaining == 0 && s.supersededBy == nil && s.State == registry.Ready && s.alive(now) {
			k := group{s.Service, s.Role}
			f.groups[k] = append(f.groups[k], s)
		}
	}
	for _, list := range f.groups {
		sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	}
}

// rank returns a server's position in an order that differs from gateway to gateway.
func (f *Fleet) rank(id string) uint64 { return stablehash.Pair(f.gatewayKey, stablehash.Name(id)) }

// NewFleet returns a fleet without servers, for the gateway with the given name in a zone.
func NewFleet(name, zone string) *Fleet {
	return &Fleet{gatewayKey: stablehash.Name(name), servers: map[string]*Server{}, incarnations: registry.NewIncarnations(), groupSizes: map[group]int{}, prefillRates: map[string]float64{}, losses: map[string]*losses{}, headroom: map[string]Headroom{}, promotions: map[string]*promotion{}, meters: map[string]*ratelimit.Meter{}, pendingLimits: map[string]ratelimit.Observation{}, roundTrips: map[string]time.Duration{}, Zone: zone, Others: OtherGateways{Gateways: 1, Known: 1}}
}

// SetOthers sets what is known about the other gateways, and ejects servers that fail by all
// evidence.
func (f *Fleet) SetOthers(now time.Time, o OtherGateways) {
	sameGateways := o.Known == f.Others.Known
	if o.Complete {
		f.total.note(now, o.Own+o.Requests)
	}
	o.total = f.total.read(now)
	f.Others = o
	for id, s := range f.servers {
		s.Others = o.Loads[id]
		s.OthersSeen = o.Evidence[id]
		s.noteSlots(now)
	}
	f.ejectFailing(now)
	f.setOthersLost()
	f.updateLosses(now, sameGateways)
}

// Get returns a server, or nil if it is not known.
func (f *Fleet) Get(id string) *Server { return f.servers[id] }

// Avoid is the set of server IDs that a request has tried already.
type Avoid map[string]bool

// ChoosePlain chooses a server of a plain service: the one with the least expected time, by
// the requests that this gateway has open there and the outcomes of recent ones. A server with a
// warm connection is chosen instead if it is as good within warmTolerance. It returns nil if there
// is none.
func (f *Fleet) ChoosePlain(now time.Time, w Work, avoid Avoid) *Server {
	var best, bestWarm *Server
	bestScore, bestWarmScore := 0.0, 0.0
	f.search(now, w.Service, "", func(s *Server) bool {
		if avoid[s.ID] || !s.available(now) || !s.pause.MayChoose(now) || !f.coldAllows(now, s) || !f.limitAllows(now, s) || !w.permits(s) {
			return false
		}
		score := f.score(now, s)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
		if f.Warm != nil && (bestWarm == nil || score < bestWarmScore) && f.Warm(s) {
			bestWarm, bestWarmScore = s, score
		}
		return true
	})
	if bestWarm != nil && bestWarmScore <= bestScore*(1+warmTolerance) {
		return bestWarm
	}
	return best
}

// Loads returns what this gateway has reserved, by server.
func (f *Fleet) Loads() map[string]Load {
	out := map[string]Load{}
	for id, s := range f.servers {
		if s.Own != (Load{}) {
			out[id] = s.Own
		}
	}
	return out
}

// Evidence returns the outcomes of this gateway's recent requests, by server.
func (f *Fleet) Evidence(now time.Time) map[string]Evidence {
	out := map[string]Evidence{}
	for id, s := range f.servers {
		if e := s.ownEvidence.sum(now); e != (Evidence{}) {
			out[id] = e
		}
	}
	f.ownLost(now, out)
	return out
}

// List returns all servers, for the dump.
func (f *Fleet) List() []*Server {
	out := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		out = append(out, s)
	}
	return out
}
