// Package dispatch chooses backend servers for the requests of a gateway.
//
// It is plain state: it takes the time as an argument and has no clock, lock or
// socket. It knows the servers from the registry, what this gateway has under
// way at each of them, what the other gateways say that they have, and how the
// last requests went.
package dispatch

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/selfreport"
	"github.com/ledgepin/ledgepin/subset"
)

// Load is what is under way at an engine.
type Load struct {
	// Tokens are the tokens of KV cache that the runs will have at their end.
	Tokens int
	// Prefill are prompt tokens that wait to be read.
	Prefill int
	// Runs are the requests that run.
	Runs int
	// Held are the tokens of KV cache that the runs have now.
	Held int
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill, Runs: l.Runs + o.Runs, Held: l.Held + o.Held}
}

// Others is what a gateway knows of the other gateways.
type OtherGateways struct {
	// Gateways is the number of gateways that share the servers, and Known that
	// of those whose loads are known; both count this one.
	Gateways, Known int
	// Queued is the number of their requests that wait for room.
	Queued int
	// Loads is what they have reserved, by engine.
	Loads map[string]Load
	// Seen is how their requests went of late, by server, where some failed.
	Evidence map[string]Evidence
}

// Server is one backend server as a gateway sees it.
type Server struct {
	registry.Server
	// Open are the requests of this gateway that wait for its answer.
	Open int
	// Own is what this gateway has reserved, Others what all others have.
	Own, Others Load
	// refusals counts those in a row that may be this engine's fault.
	refusals int
	health   health
	// seen is how the requests of this gateway went of late, OthersSeen how those of
	// the others did; left tells whether the fleet leaves the server alone.
	ownEvidence evidence
	OthersSeen  Evidence
	ejection    ejection
	// rank is the server's number at this gateway.
	rank       uint64
	reportedAt time.Time
	// leavingAt is when this gateway heard that it leaves.
	leavingSince time.Time
	gone         bool
	// ended tells that a later start of the server has replaced this one.
	replaced bool
	// evacuated tells that its availability zone gets no new work.
	evacuated bool
	cold      cold
	limit     limit
	// pause is for how long the server wants no requests of this gateway.
	pause selfreport.Pause
	// saidLeaving tells that the server has said in an answer that it leaves, toldLeaving that
	// control was told so.
	leavingReported, leavingSent bool
	// region is that of its availability zone; empty if that is not known.
	region string
	// rival is another incarnation at the same address, which counts in its place.
	supersededBy *Server
	// away is the role that an engine is changing to, if it is; it is back no
	// sooner than backAt, and is used as it is after awayUntil.
	targetRole                             string
	roleChangeEarliest, roleChangeDeadline time.Time
}

// Fleet is all servers that a gateway knows.
type Fleet struct {
	// key is the number of the gateway's name.
	gatewayKey   uint64
	servers      map[string]*Server
	incarnations *registry.Incarnations
	// groups are the servers by service and role, made anew when one comes,
	// goes or changes its role; cursor is where the next choice starts to look.
	groups map[group][]*Server
	cursor int
	// hidden are the numbers of servers of each group that get no new work since their
	// availability zone is being evacuated, or since they want a pause; the first of these is
	// back at backAt, zero if there is none.
	excluded     map[group]int
	nextPauseEnd time.Time
	// Zone is the gateway's own availability zone.
	Zone string
	// regions are those of the availability zones, and trips the times of a round trip to each.
	regions    map[string]string
	roundTrips map[string]time.Duration
	// Others is what is known of the other gateways.
	Others OtherGateways
	// sizes are the numbers of servers of all groups, also of those that this
	// gateway does not work with.
	groupSizes map[group]int
	// evacuated are the availability zones that get no new work.
	evacuated map[string]bool
	// coldServers is what services say of their cold servers.
	coldSettings map[string]ColdSettings
	// Alone tells that nobody issues tokens to this gateway.
	Standalone bool
	// meters count the requests to each service.
	meters map[string]*ratelimit.Meter
	// earlyLimits are limits of servers that are not known yet.
	pendingLimits map[string]ratelimit.Observation
	// readRates are the paces at which prefill engines read, by service.
	prefillRates map[string]float64
}

// SetSize takes the number of servers of a service and role.
func (f *Fleet) SetGroupSize(service, role string, n int) { f.groupSizes[group{service, role}] = n }

// Sharing returns the number of gateways that work with one server of a service
// and role: all of them, unless each has a part of the servers.
func (f *Fleet) GatewaysPerServer(service, role string) int {
	return subset.GatewaysPerServer(f.groupSizes[group{service, role}], f.Others.Gateways)
}

// group is the servers of a service that do the same work.
type group struct{ service, role string }

// The servers that one choice looks at: a part of a group, so that gateways that
// choose at the same time, on what they heard some tens of milliseconds ago, do
// not all take the same one; and never more than a bound, so that the cost of a
// choice does not grow with the fleet.
const (
	choiceDivisor = 4
	minChoices    = 4
	maxChoices    = 24
)

// search calls fits for some servers of a group, others each time, and if none of
// them fits for all of it, or as many as a choice may look at.
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

// mostLooked is how many servers of a group a choice looks at if it finds none: all of them where
// some name limits, since a token is for one server.
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

// regroup makes the groups anew. Servers that have fallen silent are left out:
// control may have given them to other gateways, and a choice that looked at
// them only would find none.
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

// rank orders servers differently at each gateway.
func (f *Fleet) rank(id string) uint64 { return mix.Pair(f.gatewayKey, mix.Name(id)) }

// NewFleet returns a fleet without servers.
func NewFleet(name, zone string) *Fleet {
	return &Fleet{gatewayKey: mix.Name(name), servers: map[string]*Server{}, incarnations: registry.NewIncarnations(), groupSizes: map[group]int{}, prefillRates: map[string]float64{}, meters: map[string]*ratelimit.Meter{}, pendingLimits: map[string]ratelimit.Observation{}, roundTrips: map[string]time.Duration{}, Zone: zone, Others: OtherGateways{Gateways: 1, Known: 1}}
}

// SetOthers takes what is known of the other gateways.
func (f *Fleet) SetOthers(now time.Time, o OtherGateways) {
	f.Others = o
	for id, s := range f.servers {
		s.Others = o.Loads[id]
		s.OthersSeen = o.Evidence[id]
	}
	f.ejectFailing(now)
}

// Get returns a server, or nil.
func (f *Fleet) Get(id string) *Server { return f.servers[id] }

// Avoid names servers that a request has tried already.
type Avoid map[string]bool

// Plain chooses a server of a plain service: the one with the least expected
// time, by what this gateway has open there and how the last requests went. It
// returns nil if there is none.
func (f *Fleet) ChoosePlain(now time.Time, w Work, avoid Avoid) *Server {
	var best *Server
	bestScore := 0.0
	f.search(now, w.Service, "", func(s *Server) bool {
		if avoid[s.ID] || !s.available(now) || !s.pause.MayChoose(now) || !f.coldAllows(now, s) || !f.limitAllows(now, s) || !w.permits(s) {
			return false
		}
		score := f.score(now, s)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
		return true
	})
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

// Seen returns how this gateway's requests went of late, by server.
func (f *Fleet) Evidence(now time.Time) map[string]Evidence {
	out := map[string]Evidence{}
	for id, s := range f.servers {
		if e := s.ownEvidence.sum(now); e != (Evidence{}) {
			out[id] = e
		}
	}
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
