package gateway

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/retryslots"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// fleet guards the decisions about servers with a lock, and holds the queue of the requests that
// wait for capacity at an engine.
type fleet struct {
	clock *clock.Clock
	mu    sync.Mutex
	view  *dispatch.Fleet
	// bounds are the retry bounds, which apply to each service separately.
	bounds  dispatch.Budget
	budgets map[string]*dispatch.Budget
	// runTimes are the recent durations of runs, by service.
	runTimes map[string]dispatch.RunTimes
	// engines are the engines of each service that has some. headrooms are the services at which
	// requests leave capacity free for more urgent ones.
	engines   map[string]*route.Engine
	headrooms map[string]bool
	// ranked are the services whose requests differ in urgency, or may differ because there are
	// organisations.
	ranked map[string]bool
	// times are how long engines take, by service.
	times map[string]*demand.EngineTimes
	// queue holds the requests that wait for capacity; placed has the channel on which each gets
	// its engines.
	queue   dispatch.Queue
	placed  map[*dispatch.QueuedRequest]chan dispatch.Pair
	pending pendingLoads
	// arrivals measures the new requests, trend the change of their rates at all gateways, and
	// promises has the retry times of rejected callers.
	arrivals demand.Meter
	trend    retryslots.Trend
	promises retryslots.Promises
	// requests measures the rate of all requests.
	requests demand.Rate
	limited  limitedServers
	paused   pausedServers
	// updated is closed by the next report of servers; nil if no request waits for it.
	updated chan struct{}
}

func newFleet(c *clock.Clock, name, zone string, regions map[string]string, bounds dispatch.Budget) *fleet {
	if bounds.Since.IsZero() {
		bounds.Since = c.Now()
	}
	view := dispatch.NewFleet(name, zone)
	view.SetRegions(regions)
	return &fleet{clock: c, view: view, bounds: bounds, budgets: map[string]*dispatch.Budget{}, runTimes: map[string]dispatch.RunTimes{}, times: map[string]*demand.EngineTimes{}, headrooms: map[string]bool{}, paused: pausedServers{logged: map[string]bool{}}, placed: map[*dispatch.QueuedRequest]chan dispatch.Pair{}}
}

// budget returns the retry budget of a service. The caller holds f.mu.
func (f *fleet) budget(service string) *dispatch.Budget {
	b := f.budgets[service]
	if b == nil {
		copied := f.bounds
		b = &copied
		f.budgets[service] = b
	}
	return b
}

// update applies a report of servers: their states, those that have reported again without a
// change, and the number of servers. It returns the server incarnations that have ended because a
// later one replaced them.
func (f *fleet) update(m *wire.Servers, alive []string) []*dispatch.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	replaced := f.view.Update(now, m.List)
	f.view.NoteHeartbeats(now.Add(-m.For), alive)
	f.limited.present.Store(f.view.CountLimited(now) > 0)
	for _, g := range m.Sizes {
		f.view.SetGroupSize(g.Service, g.Role, g.Size)
	}
	f.serveQueue()
	if f.updated != nil {
		close(f.updated)
		f.updated = nil
	}
	return replaced
}

// updates returns a channel that is closed by the next report of servers.
func (f *fleet) updates() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updated == nil {
		f.updated = make(chan struct{})
	}
	return f.updated
}

// replaced reports whether a server incarnation has been replaced by a later one.
func (f *fleet) replaced(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Replaced(id)
}

// beginRoleChanges records which engines are changing their role.
func (f *fleet) beginRoleChanges(list []wire.Away) {
	if len(list) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range list {
		f.view.BeginRoleChange(f.clock.Now(), a.Server, a.Role, a.For)
	}
}

// setEvacuated sets the availability zones that get no new work.
func (f *fleet) setEvacuated(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetEvacuated(f.clock.Now(), zones)
	f.serveQueue()
}

// sweep removes old servers, and returns those whose pauses have ended.
func (f *fleet) sweep(now time.Time) []dispatch.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Sweep(now)
	f.limited.present.Store(f.view.CountLimited(now) > 0)
	f.serveQueue()
	return f.expiredPauses(now)
}

// setOthers sets what is known about the other gateways.
func (f *fleet) setOthers(others dispatch.OtherGateways) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others.Own = f.requests.Read(f.clock.Now())
	f.view.SetOthers(f.clock.Now(), others)
	f.serveQueue()
	f.rejectLate()
}

// resendAll has everything that this gateway shares sent again, to another replica.
func (f *fleet) resendAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending.changed = true
	f.limited.resendAll(f.view)
	f.view.ResendLeaving()
}

func (f *fleet) list() []*dispatch.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*dispatch.Server
	for _, s := range f.view.List() {
		copied := *s
		out = append(out, &copied)
	}
	return out
}

// eligibleNearby returns the servers of a service that may get new work and are near enough to be
// queried before a request is sent.
func (f *fleet) eligibleNearby(service string) []dispatch.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []dispatch.Server
	now := f.clock.Now()
	for _, s := range f.view.EligibleServers(now, service) {
		if f.view.InRegion(s) && !f.view.IsLimited(now, s) {
			out = append(out, *s)
		}
	}
	return out
}

// choosePlain chooses a server of a plain service and counts the request there.
func (f *fleet) choosePlain(w dispatch.Work, avoid dispatch.Avoid) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.ChoosePlain(f.clock.Now(), w, avoid)
	if s == nil {
		return dispatch.Server{}, false
	}
	return f.startRequest(f.clock.Now(), s), true
}

// available reports whether a server may get new work now.
func (f *fleet) available(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Available(f.clock.Now(), id)
}

// trusted reports whether nothing suggests that a server might not answer.
func (f *fleet) trusted(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Trusted(f.clock.Now(), id)
}

// endRequest ends a request that choosePlain has counted.
func (f *fleet) endRequest(id string, o dispatch.Outcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.view.Get(id); s != nil {
		s.Open--
	}
	f.noteOutcomeLocked(id, o, took)
	if len(f.limited.waiting) > 0 && f.paused.present.Load() {
		f.servePlainQueue() // a server back from a pause accepts more with each request it has served
	}
}

// noteOutcome records the outcome of a request to an engine.
func (f *fleet) noteOutcome(id string, o dispatch.Outcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteOutcomeLocked(id, o, took)
}

// noteOutcomeLocked records the outcome of a request; a failure is published to the other gateways
// at once. The caller holds f.mu.
func (f *fleet) noteOutcomeLocked(id string, o dispatch.Outcome, took time.Duration) {
	f.view.NoteOutcome(f.clock.Now(), id, o, took)
	f.pending.ended = true
	if o == dispatch.Failure || o == dispatch.Lost || o == dispatch.Unreachable || o == dispatch.Busy && f.view.Paused(f.clock.Now(), id) {
		f.pending.changed = true
	}
}

// noteHandover records how decode engines responded to a KV cache.
func (f *fleet) noteHandover(h dispatch.Handover) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.NoteHandover(f.clock.Now(), h)
}

func (f *fleet) markGone(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.MarkGone(id)
}

// countRequest counts a request to a service.
func (f *fleet) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.requests.Add(now)
	f.budget(service).CountRequest(now)
	f.view.CountRequest(now, service)
}

// countArrival counts a request that needs an engine, for the demand that gateways share. It
// returns the request as it is to be placed, and whether that is with a higher urgency.
func (f *fleet) countArrival(w dispatch.Work) (dispatch.Work, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals.Add(f.clock.Now(), demand.Key{Service: w.Service, Urgency: w.Urgency}, w.Prompt, w.FinalTokens())
	out, promoted := f.view.Promote(w, random())
	if promoted {
		metric.PromotedRequests.WithLabelValues(w.Service, strconv.Itoa(w.Urgency.Organisation), strconv.Itoa(w.Urgency.Route)).Inc()
	}
	return out, promoted
}

// versionServed reports whether some server may continue a stream; true for other requests.
func (f *fleet) versionServed(w dispatch.Work) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.VersionServed(f.clock.Now(), w)
}

// mixed reports whether the servers of a service have had more than one version recently.
func (f *fleet) mixed(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Mixed(service)
}

// soleVersion returns the only version that servers of a service have had recently. It returns
// false if there was more than one or no server is known yet.
func (f *fleet) soleVersion(service string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.SoleVersion(service)
}

// noteVersions records versions that a replica knows, and reports whether one of them is new.
func (f *fleet) noteVersions(list []origin.SeenVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.NoteVersions(f.clock.Now(), list)
}

// incarnation returns a server incarnation by its ID.
func (f *fleet) incarnation(id string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.view.Get(id); s != nil {
		return *s, true
	}
	return dispatch.Server{}, false
}

// newestNamed returns the present incarnation of a server.
func (f *fleet) newestNamed(name string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.view.NewestNamed(name); s != nil {
		return *s, true
	}
	return dispatch.Server{}, false
}

// countServed counts a request of a class whose answer is complete.
func (f *fleet) countServed(class demand.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals.AddServed(f.clock.Now(), class)
}

// collectWaiting updates the gauges of the waiting requests.
func (f *fleet) collectWaiting() {
	f.mu.Lock()
	own, others := f.queue.Demand(), f.view.Others.Demand
	f.mu.Unlock()
	metric.WaitingRequests.Reset()
	for where, list := range map[string][]demand.Class{"here": own, "elsewhere": others} {
		for _, c := range list {
			metric.WaitingRequests.WithLabelValues(c.Service, strconv.Itoa(c.Organisation), strconv.Itoa(c.Route), where).Set(float64(c.Waiting))
		}
	}
}

// demand returns what this gateway's callers request. The caller holds f.mu.
func (f *fleet) demand(now time.Time) []demand.Class {
	arrived := f.arrivals.List(now)
	f.addWork(arrived)
	return f.promises.Report(now, demand.Add(arrived, f.queue.Demand()))
}

// gateways returns the number of gateways that share the servers.
func (f *fleet) gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Others.Gateways
}

// reserveRetries takes further sends from the retry budget of a service, and reports whether the
// budget allows them.
func (f *fleet) reserveRetries(service string, sends int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Take(f.clock.Now(), f.view.Others.Gateways, sends)
}

// countRetry charges the retry budget for a send that was rejected, which couldn't be charged in
// advance.
func (f *fleet) countRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Spend(f.clock.Now(), 1)
}

// exclusion returns which rules exclude engines for a request now.
func (f *fleet) exclusion(w dispatch.Work, e *route.Engine) dispatch.Exclusion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Exclusion(f.clock.Now(), w, e)
}

// meanFullLevel returns the mean share of the memory of a service's engines that runs may fill.
func (f *fleet) meanFullLevel(s *route.Service) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.MeanFullLevel(f.clock.Now(), s.Name, s.Engine)
}

// notePrefill records how long an engine took to prefill a prompt.
func (f *fleet) notePrefill(id string, took time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.NotePrefill(f.clock.Now(), id, took, tokens)
}

// releasePrefill releases the reservation at the engine that prefills a prompt.
func (f *fleet) releasePrefill(id string, w dispatch.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.EndPrefill(id, w)
	f.pending.changed = true
	f.serveQueue()
}

// releaseDecode releases the reservation at the decode engine.
func (f *fleet) releaseDecode(id string, w dispatch.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Release(id, w)
	f.pending.changed = true
	f.serveQueue()
}

// growReservation updates the reservation of a run at a decode engine with the tokens generated so
// far. It returns the work as reserved now, and the reason why the run should move to another
// engine, if it should.
func (f *fleet) growReservation(id string, w dispatch.Work, e *route.Engine, generated int) (dispatch.Work, dispatch.MigrationReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, longer := f.view.Grow(id, w, generated)
	f.pending.grown = true
	f.pending.changed = f.pending.changed || longer
	return w, f.view.MigrationReason(f.clock.Now(), id, e, rand.Float64())
}

// migrationTarget reserves memory at an engine to which a run can move.
func (f *fleet) migrationTarget(from string, w dispatch.Work, e *route.Engine) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserve(f.view.MigrationTarget(f.clock.Now(), from, w, e, rand.Float64()), w)
}

// reserve makes a reservation for a run at the chosen engine, if there is one. The caller holds
// f.mu.
func (f *fleet) reserve(s *dispatch.Server, w dispatch.Work) (dispatch.Server, bool) {
	if s == nil {
		return dispatch.Server{}, false
	}
	f.view.Reserve(s.ID, w)
	f.view.NoteSent(f.clock.Now(), s.ID)
	f.pending.changed = true
	return *s, true
}

// renewLeases sets the cold servers to which this gateway may send requests.
func (f *fleet) renewLeases(list []wire.ColdLease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		f.view.RenewLease(f.clock.Now(), l.Server, l.Most, l.For)
	}
	f.serveQueue()
}

// setServices sets the engines of the services of a table, how they treat their cold servers, and
// whether their requests differ in urgency.
func (f *fleet) setServices(t *route.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]dispatch.ColdSettings{}
	f.engines = map[string]*route.Engine{}
	for _, s := range t.Services {
		out[s.Name] = dispatch.ColdSettings{Bounded: s.ColdRate > 0, Duration: s.ColdStart}
		if s.Engine != nil {
			f.engines[s.Name] = s.Engine
		}
	}
	f.view.SetColdSettings(out)
	f.ranked = map[string]bool{}
	priorities := map[string]int{}
	for i := range t.Routes {
		for _, w := range t.Routes[i].Services {
			first, seen := priorities[w.Service]
			if !seen {
				priorities[w.Service], first = t.Routes[i].Priority, t.Routes[i].Priority
			}
			if t.Routes[i].Priority != first || len(t.Organisations) > 0 {
				f.ranked[w.Service] = true
			}
		}
	}
}

// noteConnect records how long a connection to a server took to open. It returns the server's zone.
func (f *fleet) noteConnect(id string, took time.Duration) (zone string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.NoteConnect(id, took)
	s := f.view.Get(id)
	if s == nil {
		return "", false
	}
	return s.Zone, true
}

// zoneOf returns the availability zone of a server.
func (f *fleet) zoneOf(id string) (zone string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.Get(id)
	if s == nil {
		return "", false
	}
	return s.Zone, true
}

// roundTrip returns the duration of a round trip to a zone.
func (f *fleet) roundTrip(zone string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.RoundTrip(zone)
}

// hasReducedCapacity reports whether a server accepts fewer requests than usual now.
func (f *fleet) hasReducedCapacity(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.view.Get(id), f.clock.Now()
	return s != nil && (f.view.IsCold(now, s) || f.view.IsLimited(now, s))
}

// noteRun records the total duration of a request, the time from its placement to its first event,
// and the time that the tokens of its answer took.
func (f *fleet) noteRun(service string, total, first, answer time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runTimes[service]
	r.Note(total, first, answer, tokens)
	f.runTimes[service] = r
	f.view.SetTokenTime(service, r.Token)
}

// timePerToken returns the recent time per generated token; zero if unknown.
func (f *fleet) timePerToken(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runTimes[service].Token
}

// queueTimeout returns how long a request waits for capacity at most, if it is to be served within
// a given time.
func (f *fleet) queueTimeout(w dispatch.Work, within time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.QueueTimeout(f.clock.Now(), w, within, f.queue.CountAhead(w), f.runTimes[w.Service])
}

// othersHaveLessLoad reports whether this gateway gets much more than an even part of all requests.
func (f *fleet) othersHaveLessLoad() bool {
	const uneven = 1.5
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LoadShare(f.requests.Read(f.clock.Now()))*float64(f.view.Others.Gateways) > uneven && f.view.Others.Known > 1
}

// connectionShare returns how many of a server's connections this gateway may open.
func (f *fleet) connectionShare(limit int, s *dispatch.Server) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := f.view.LoadShare(f.requests.Read(f.clock.Now()))
	return dispatch.ConnectionShare(limit, f.view.GatewaysPerServer(s.Service, s.Role), load)
}
