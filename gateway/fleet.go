package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// fleet is the lock around the decisions about servers, and the queue of the
// requests that wait for room at an engine.
type fleet struct {
	clock *clock.Clock
	mu    sync.Mutex
	view  *dispatch.Fleet
	// bounds are the retry bounds that hold for each service by itself.
	bounds  dispatch.Budget
	budgets map[string]*dispatch.Budget
	// runTimes are how long runs took of late, by service.
	runTimes map[string]dispatch.RunTimes
	// queue are the requests that wait for room, placed where each gets its engines.
	queue   dispatch.Queue
	placed  map[*dispatch.QueuedRequest]chan dispatch.Pair
	pending pendingLoads
	limited limitedServers
	paused  pausedServers
	// told is closed by the next report of servers; nil if nobody waits for it.
	updated chan struct{}
}

func newFleet(c *clock.Clock, name, zone string, regions map[string]string, bounds dispatch.Budget) *fleet {
	if bounds.Since.IsZero() {
		bounds.Since = c.Now()
	}
	view := dispatch.NewFleet(name, zone)
	view.SetRegions(regions)
	return &fleet{clock: c, view: view, bounds: bounds, budgets: map[string]*dispatch.Budget{}, runTimes: map[string]dispatch.RunTimes{}, paused: pausedServers{logged: map[string]bool{}}, placed: map[*dispatch.QueuedRequest]chan dispatch.Pair{}}
}

// budget returns the retry budget of a service. Callers hold the lock.
func (f *fleet) budget(service string) *dispatch.Budget {
	b := f.budgets[service]
	if b == nil {
		copied := f.bounds
		b = &copied
		f.budgets[service] = b
	}
	return b
}

// comeBack returns how long a caller that finds no room stays away.
func (f *fleet) retryAfter(service string, read time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return dispatch.RetryAfter(f.runTimes[service].Total, read, rand.Float64())
}

// update takes reports of servers, which of them have reported themselves with
// nothing new, and how many there are. It returns the starts of servers that have ended,
// since a later one has come.
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

// news is closed by the next report of servers.
func (f *fleet) updates() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updated == nil {
		f.updated = make(chan struct{})
	}
	return f.updated
}

// ended tells whether a start of a server has been replaced by a later one.
func (f *fleet) replaced(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Replaced(id)
}

// away takes which engines are changing their role.
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

// evacuate takes which availability zones get no new work.
func (f *fleet) setEvacuated(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetEvacuated(f.clock.Now(), zones)
	f.serveQueue()
}

// sweep forgets old servers, and returns those whose pauses are over.
func (f *fleet) sweep(now time.Time) []dispatch.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Sweep(now)
	f.limited.present.Store(f.view.CountLimited(now) > 0)
	f.serveQueue()
	return f.expiredPauses(now)
}

// share takes what is known of the other gateways.
func (f *fleet) setOthers(others dispatch.OtherGateways) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetOthers(f.clock.Now(), others)
	f.serveQueue()
}

// touch makes the reservations go out again, to another replica.
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

// usable returns the servers of a service that may get new work, and are near enough to be
// asked for something before a request goes out.
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

// plain chooses a server of a plain service and counts the request there.
func (f *fleet) choosePlain(w dispatch.Work, avoid dispatch.Avoid) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.ChoosePlain(f.clock.Now(), w, avoid)
	if s == nil {
		return dispatch.Server{}, false
	}
	return f.startRequest(f.clock.Now(), s), true
}

// listed tells whether a server may get new work now.
func (f *fleet) available(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Available(f.clock.Now(), id)
}

// done ends a request that plain has counted.
func (f *fleet) endRequest(id string, o dispatch.Outcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.view.Get(id); s != nil {
		s.Open--
	}
	f.noteOutcomeLocked(id, o, took)
	if len(f.limited.waiting) > 0 && f.paused.present.Load() {
		f.servePlainQueue() // a server that is back takes more with each request that it has served
	}
}

// note tells how a request to an engine went.
func (f *fleet) noteOutcome(id string, o dispatch.Outcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteOutcomeLocked(id, o, took)
}

// noteLocked tells how a request went; one that failed is told to the other gateways
// at once. Callers hold the lock.
func (f *fleet) noteOutcomeLocked(id string, o dispatch.Outcome, took time.Duration) {
	f.view.NoteOutcome(f.clock.Now(), id, o, took)
	f.pending.ended = true
	if o == dispatch.Failure || o == dispatch.Unreachable || o == dispatch.Busy && f.view.Paused(f.clock.Now(), id) {
		f.pending.changed = true
	}
}

// noteHandover tells how decode engines took a KV cache.
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

// request counts a request to a service.
func (f *fleet) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.budget(service).CountRequest(now)
	f.view.CountRequest(now, service)
}

// retry takes further sends from the budget of a service.
func (f *fleet) reserveRetries(service string, sends int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Take(f.clock.Now(), f.view.Others.Gateways, sends)
}

// spend counts a send that was turned away and had not to be paid before.
func (f *fleet) countRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Spend(f.clock.Now(), 1)
}

// ruled tells what rules engines out for a request now.
func (f *fleet) exclusion(w dispatch.Work, e *route.Engine) dispatch.Exclusion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Exclusion(f.clock.Now(), w, e)
}

// noteRead tells how long an engine took to read a prompt.
func (f *fleet) notePrefill(id string, took time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.NotePrefill(f.clock.Now(), id, took, tokens)
}

// endRead takes back the booking at the engine that reads a prompt.
func (f *fleet) releasePrefill(id string, w dispatch.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.EndPrefill(id, w)
	f.pending.changed = true
	f.serveQueue()
}

// release takes back the booking at the decode engine.
func (f *fleet) releaseDecode(id string, w dispatch.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Release(id, w)
	f.pending.changed = true
	f.serveQueue()
}

// grow books what a run at a decode engine has made. It returns the work as it
// is booked now, and why the run should go on elsewhere, if it should.
func (f *fleet) growReservation(id string, w dispatch.Work, e *route.Engine, generated int) (dispatch.Work, dispatch.MigrationReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, longer := f.view.Grow(id, w, generated)
	f.pending.grown = true
	f.pending.changed = f.pending.changed || longer
	return w, f.view.MigrationReason(f.clock.Now(), id, e, rand.Float64())
}

// migrationTarget books an engine that a run can move to.
func (f *fleet) migrationTarget(from string, w dispatch.Work, e *route.Engine) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserve(f.view.MigrationTarget(f.clock.Now(), from, w, e, rand.Float64()), w)
}

// reserve books a run at an engine that was chosen, if one was. Callers hold the
// lock.
func (f *fleet) reserve(s *dispatch.Server, w dispatch.Work) (dispatch.Server, bool) {
	if s == nil {
		return dispatch.Server{}, false
	}
	f.view.Reserve(s.ID, w)
	f.view.NoteSent(f.clock.Now(), s.ID)
	f.pending.changed = true
	return *s, true
}

// lease takes which cold servers this gateway may send requests to.
func (f *fleet) renewLeases(list []wire.ColdLease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		f.view.RenewLease(f.clock.Now(), l.Server, l.Most, l.For)
	}
	f.serveQueue()
}

// setCold takes what the services of a table say of their cold servers.
func (f *fleet) setColdSettings(services []route.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]dispatch.ColdSettings{}
	for _, s := range services {
		out[s.Name] = dispatch.ColdSettings{Bounded: s.ColdRate > 0, Duration: s.ColdStart}
	}
	f.view.SetColdSettings(out)
}

// noteConnect takes how long a connection to a server took to open.
func (f *fleet) noteConnect(id string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.NoteConnect(id, took)
}

// trip returns the time of a round trip to a zone.
func (f *fleet) roundTrip(zone string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.RoundTrip(zone)
}

// bearsLittle tells whether a server bears fewer requests than usual now.
func (f *fleet) hasReducedCapacity(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.view.Get(id), f.clock.Now()
	return s != nil && (f.view.IsCold(now, s) || f.view.IsLimited(now, s))
}

// noteRun takes how long a request took, how long it took from room to its first event,
// and how long the tokens of its answer.
func (f *fleet) noteRun(service string, total, first, answer time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runTimes[service]
	r.Note(total, first, answer, tokens)
	f.runTimes[service] = r
}

// pace returns the time that a token of an answer took of late; zero if that is
// not known.
func (f *fleet) timePerToken(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runTimes[service].Token
}

// patience returns how long a request waits for room at most, to be served within a
// time.
func (f *fleet) queueTimeout(w dispatch.Work, within time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.QueueTimeout(f.clock.Now(), w, within, f.queue.Len(), f.runTimes[w.Service])
}

// sharing returns the number of gateways that work with a server.
func (f *fleet) gatewaysPerServer(s *dispatch.Server) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.GatewaysPerServer(s.Service, s.Role)
}
