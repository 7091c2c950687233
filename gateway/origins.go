package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

const (
	// maxOwnOrigins bounds the streams of each service that a gateway keeps; they take about 2 MB.
	maxOwnOrigins = 1 << 14
	// uncertainFor is how long a stream is kept by its server. A server that has been silent for
	// longer gets no streams, so its restart makes no older ones uncertain.
	uncertainFor = 10 * time.Second
	// originsPerReport bounds the streams in one report.
	originsPerReport = 1 << 12
)

// origins holds where the streams of this gateway's callers began. They are reported to the hub
// only where another gateway could not know without a record: if the servers of a service have
// differed in version, or if callers of a route may be served by several services.
type origins struct {
	clock  *clock.Clock
	mu     sync.Mutex
	tables map[string]*origin.Table // by service
	// started are the newest streams by the name of their server.
	started map[string][]startedStream
	// routeServices are the services by which each route has been served recently: routes in place
	// of services, and services in place of versions. shared are the services of routes that have
	// had several.
	routeServices origin.Versions
	shared        map[string]bool
	table         *route.Table
	// sentTo is the link over which streams were last reported, and sentUpTo the number of changes
	// of each service's table sent over it.
	sentTo   *wire.Link
	sentUpTo map[string]uint64
	// questions are the questions to the replicas that have no answer yet.
	questions map[origin.Key]*question
	// open counts the streams in progress.
	open map[origin.Origin]int
}

// startedStream is a stream that a server has begun or continued.
type startedStream struct {
	service string
	key     origin.Key
	at      time.Time
}

// question is a question to the replicas about one attempt.
type question struct {
	// waiting are the replicas that have not answered.
	waiting []string
	// done is closed when one of them knows the attempt or all have answered. The fields below are
	// set then.
	done            chan struct{}
	known, recorded bool
	origin          origin.Origin
	doubt           origin.Doubt
}

func newOrigins(c *clock.Clock) *origins {
	return &origins{
		clock: c, tables: map[string]*origin.Table{}, started: map[string][]startedStream{}, shared: map[string]bool{},
		sentUpTo: map[string]uint64{}, questions: map[origin.Key]*question{}, open: map[origin.Origin]int{},
	}
}

// note records that a server has begun or continued the stream of an attempt. server is empty if the
// incarnation of the server was confirmed, so that the stream stays certain if the server restarts.
func (o *origins) note(k origin.Key, at origin.Origin, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.tableOf(at.Service).Add(now, k, at)
	if server != "" {
		o.started[server] = append(o.started[server], startedStream{at.Service, k, now})
	}
}

// noteDoubtful records that a server has begun the stream of an attempt, if it is still the incarnation
// that its reports named.
func (o *origins) noteDoubtful(k origin.Key, at origin.Origin, d origin.Doubt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tableOf(at.Service).AddDoubtful(o.clock.Now(), k, at, d)
}

// tableOf returns the table of a service. The caller holds o.mu.
func (o *origins) tableOf(service string) *origin.Table {
	t := o.tables[service]
	if t == nil {
		t = origin.NewTable(maxOwnOrigins)
		o.tables[service] = t
	}
	return t
}

// settle makes certain what is in doubt about a server incarnation, as far as settled allows.
func (o *origins) settle(server string, settled func(origin.Doubt) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.tables {
		t.Settle(o.clock.Now(), server, settled)
	}
}

// markDoubtfulAmbiguous records that a server incarnation may have ended before the streams began that
// are in doubt about it.
func (o *origins) markDoubtfulAmbiguous(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.tables {
		t.MarkDoubtfulAmbiguous(o.clock.Now(), server)
	}
}

// doubtfulServers returns the server incarnations that records are in doubt about.
func (o *origins) doubtfulServers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, t := range o.tables {
		out = append(out, t.DoubtfulServers()...)
	}
	return out
}

// findDoubtful returns where an attempt seems to have begun, if its record is in doubt.
func (o *origins) findDoubtful(k origin.Key) (at origin.Origin, d origin.Doubt, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.tables {
		if at, d, ok = t.FindDoubtful(k); ok {
			return at, d, true
		}
	}
	return origin.Origin{}, origin.Doubt{}, false
}

// markUncertain records that a server has restarted with another version some time after it was
// last known to run. Streams that it has begun or continued since may be of either version.
func (o *origins) markUncertain(server string, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.started[server] {
		if t := o.tables[s.service]; t != nil && !s.at.Before(since) {
			t.MarkAmbiguous(o.clock.Now(), s.key)
		}
	}
	delete(o.started, server)
}

// find returns where an attempt began, and whether it is recorded here. If its version is
// ambiguous or in doubt, it is recorded but not known.
func (o *origins) find(k origin.Key) (at origin.Origin, known, recorded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.tables {
		if at, known, recorded = t.Find(k); recorded {
			return at, known, true
		}
	}
	return origin.Origin{}, false, false
}

// countOpen changes the number of streams in progress by n.
func (o *origins) countOpen(at origin.Origin, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[at] += n
	if o.open[at] <= 0 {
		delete(o.open, at)
	}
}

// openStreams returns the number of streams in progress by service and version.
func (o *origins) openStreams() map[origin.Origin]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[origin.Origin]int, len(o.open))
	for at, n := range o.open {
		out[at] = n
	}
	return out
}

// setTable records the services of the routes of a table.
func (o *origins) setTable(t *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table = t
	o.updateRoutes(o.clock.Now())
}

// updateRoutes records the services of the routes in force and forgets those of earlier ones. The
// caller holds o.mu.
func (o *origins) updateRoutes(now time.Time) {
	clear(o.shared)
	if o.table == nil {
		return
	}
	o.routeServices.Sweep(now)
	for i := range o.table.Routes {
		r := &o.table.Routes[i]
		if r.Kind != route.Stream || !r.Resumable {
			continue
		}
		for _, w := range r.Services {
			if w.Weight > 0 {
				o.routeServices.Note(now, routeName(r), w.Service)
			}
		}
		if !o.routeServices.Mixed(routeName(r)) {
			continue
		}
		for _, s := range o.routeServices.Of(routeName(r)) {
			o.shared[s] = true
		}
	}
}

// routeName identifies a route by what callers see of it.
func routeName(r *route.Route) string { return r.Host + r.Prefix }

// mayDiffer reports whether streams of a route may have begun at several services.
func (o *origins) mayDiffer(r *route.Route) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routeServices.Mixed(routeName(r))
}

// unsent returns the streams that have not yet been reported over a link: all of them if the link
// is new, since the replica may have restarted. mixed reports whether the servers of a service
// differ in version.
func (o *origins) unsent(l *wire.Link, mixed func(service string) bool) origin.Records {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sentTo != l {
		o.sentTo = l
		clear(o.sentUpTo)
	}
	var out origin.Records
	for service, t := range o.tables {
		if o.sentUpTo[service] == t.Changes() || !o.shared[service] && !mixed(service) {
			continue
		}
		var list origin.Records
		list, o.sentUpTo[service] = t.Since(o.clock.Now(), o.sentUpTo[service], originsPerReport)
		out.Append(list)
	}
	return out
}

// sweep forgets old streams.
func (o *origins) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, t := range o.tables {
		if t.Sweep(now); t.Len() == 0 {
			delete(o.tables, service)
			delete(o.sentUpTo, service)
		}
	}
	for server, list := range o.started {
		list = slices.DeleteFunc(list, func(s startedStream) bool { return now.Sub(s.at) > uncertainFor })
		if o.started[server] = list; len(list) == 0 {
			delete(o.started, server)
		}
	}
	o.updateRoutes(now)
}

// ask asks the given replicas where an attempt began, by calling send for each, and waits until one
// knows it, all have answered or ctx is done. A record that is in doubt comes with the doubt, and isn't
// known.
func (o *origins) ask(ctx context.Context, k origin.Key, replicas []string, send func()) (at origin.Origin, d origin.Doubt, known, recorded bool) {
	o.mu.Lock()
	q := o.questions[k]
	if q == nil {
		q = &question{waiting: slices.Clone(replicas), done: make(chan struct{})}
		o.questions[k] = q
		defer o.forget(k, q)
	} else {
		send = func() {} // another request has asked
	}
	o.mu.Unlock()
	send()
	select {
	case <-q.done:
		return q.origin, q.doubt, q.known, q.recorded
	case <-ctx.Done():
		return origin.Origin{}, origin.Doubt{}, false, false
	}
}

func (o *origins) forget(k origin.Key, q *question) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.questions[k] == q {
		delete(o.questions, k)
	}
}

// handleAnswer records a replica's answer to questions.
func (o *origins) handleAnswer(replica string, m *wire.Origins) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range m.Began {
		b := &m.Began[i]
		for _, k := range origin.SplitKeys(b.Keys) {
			if q := o.questions[k]; q != nil {
				q.origin, q.known, q.recorded = origin.Origin{Service: b.Service, Version: b.Version}, !b.Ambiguous, true
				close(q.done)
				delete(o.questions, k)
			}
		}
	}
	for i := range m.Doubtful {
		b := &m.Doubtful[i]
		for _, k := range origin.SplitKeys(b.Keys) {
			if q := o.questions[k]; q != nil {
				q.origin, q.recorded = origin.Origin{Service: b.Service, Version: b.Version}, true
				q.doubt = origin.Doubt{Server: b.Server, Begun: o.clock.Now().Add(-b.Age)}
				close(q.done)
				delete(o.questions, k)
			}
		}
	}
	for _, k := range origin.SplitKeys(m.Unknown) { // after those in doubt, which it contains
		o.endWaiting(k, replica)
	}
}

// endWaiting records that a replica doesn't know an attempt, or can't answer any more. The caller
// holds o.mu.
func (o *origins) endWaiting(k origin.Key, replica string) {
	q := o.questions[k]
	if q == nil {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(a string) bool { return a == replica })
	if len(q.waiting) == 0 {
		close(q.done)
		delete(o.questions, k)
	}
}

// noteLinkDown ends the wait for the answers of a replica.
func (o *origins) noteLinkDown(replica string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.questions {
		o.endWaiting(k, replica)
	}
}

// noteRestartedVersion records that a server incarnation has been replaced by one that may have
// another version. What has reached the server since its last report may have reached either.
func (g *Gateway) noteRestartedVersion(s *dispatch.Server) {
	g.origins.settle(s.ID, func(d origin.Doubt) bool { return d.SettledBy(s.ReportedAt()) })
	newest, ok := g.fleet.newestNamed(s.StableName())
	same := ok && newest.Version == s.Version
	if same && !g.fleet.mixed(s.Service) {
		g.origins.settle(s.ID, func(origin.Doubt) bool { return true })
		return
	}
	// Between two incarnations of one version there may have been one of another.
	g.origins.markDoubtfulAmbiguous(s.ID)
	if same {
		return
	}
	g.origins.markUncertain(s.StableName(), s.ReportedAt())
}
