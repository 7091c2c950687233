package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/membudget"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/overload"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/route"
)

// request is a request of a caller in progress.
type request struct {
	// confirmedBy is the engine incarnation that has confirmed itself when the origin of the stream was
	// looked for, at confirmedAt.
	confirmedBy string
	confirmedAt time.Time
	// began is where the stream seems to have begun, or was continued last, and doubt what that depends
	// on.
	began   origin.Origin
	doubt   origin.Doubt
	id      string
	path    string
	route   *route.Route
	service *route.Service
	// organisation is the organisation of the caller; nil where no key is required.
	organisation *route.Organisation
	// send is what is sent to servers; the server's own fields are added for each send.
	send     backend.Request
	clock    *clock.Clock
	arrived  time.Time
	deadline time.Time
	work     dispatch.Work
	// carried is the number of bytes received and sent for the request, and served is set once its answer
	// is complete.
	carried int
	served  bool
	// ownDelay is how long a round trip waited in the gateway itself when the request arrived.
	ownDelay time.Duration
	// parts are the parts of the prompt; resumed is set if the caller already has a part of the
	// answer.
	parts   []route.PromptPart
	resumed bool
	// continues is set if the caller asks for the rest of a stream that may be resumed, and resumes
	// names its attempt that began the stream; empty if the caller does not say.
	continues bool
	resumes   string
	// chunked is set if the caller reads chunked answers, whose end is explicit.
	chunked bool
	// mayHaveRun is set if a server may have worked on the request.
	mayHaveRun bool
	// cost is what counts against the limit of the organisation; charged is set if it was counted.
	cost    float64
	charged bool
	tried   dispatch.Avoid
	sends   int
	// priority is what engines are told about the urgency; empty if nothing.
	priority string
	// memory is the account of the memory held for the request.
	memory *membudget.Account
	// digest identifies its content, and sharedParts the parts of its prompt that other prompts may
	// have too, once computed.
	digest      poison.Digest
	sharedParts []poison.Digest
	// trials are the blocked parts that the request tries.
	trials []trial
	// firstEventAt is when the first event of its newest run arrived, zero if none has.
	firstEventAt time.Time
	// checked is closed once the check of the server of the newest send is done; nil if there is no
	// check.
	checked chan struct{}
}

// defaultDeadline applies to callers that send none.
const defaultDeadline = 30 * time.Second

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Date"] = nil
	table := g.awaitTable(r.Context())
	if table == nil {
		g.refuse(w, r.Header.Get(g.cfg.Protocol.Headers.RequestID), notReady)
		return
	}
	q, refused := g.read(w, table, r)
	defer q.memory.Close()
	defer g.refund(q)
	if refused != nil {
		g.refuse(w, q.id, *refused)
		return
	}
	if remaining := g.contents.admit(q); remaining > 0 {
		g.refuse(w, q.id, q.refuseContent(remaining))
		return
	}
	defer g.contents.endTrials(q)
	if end := g.finishBy.Load(); end != nil && !q.capDeadline(*end) {
		g.refuse(w, q.id, q.refuseStopping("the gateway is stopping"))
		return
	}
	if end := g.stopsAt.Load(); end != nil && q.outlasts(g.clock.Until(*end), g.fleet.timePerToken(q.service.Name)) {
		g.refuse(w, q.id, q.refuseStopping("the stream would outlast the gateway"))
		return
	}
	g.fleet.countRequest(q.service.Name)
	g.noteCarried(q, overload.ReceiveCost+len(q.send.Body))
	if q.outdated() || !g.admit(q) {
		g.refuse(w, q.id, g.refuseOverload(q))
		return
	}
	defer g.endAdmitted(q)
	ctx, cancel := context.WithTimeout(r.Context(), q.remaining())
	defer cancel()
	if q.service.Engine != nil && q.route.Kind == route.Stream {
		g.generate(ctx, w, q)
		return
	}
	g.forward(ctx, w, q)
}

// read finds the route of a request and reads its body.
func (g *Gateway) read(w http.ResponseWriter, table *route.Table, r *http.Request) (*request, *refusal) {
	h := &g.cfg.Protocol.Headers
	q := &request{id: r.Header.Get(h.RequestID), path: r.URL.Path, chunked: r.ProtoAtLeast(1, 1), clock: g.clock, ownDelay: g.ownDelay(), tried: dispatch.Avoid{}}
	// It has waited to be read for about half of a round trip, and its answer will wait for the other half.
	q.arrived = g.clock.Now().Add(-q.ownDelay / 2)
	q.route = table.Lookup(r.Host, r.URL.Path)
	if q.route == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refused := g.identify(table, q, r.Header); refused != nil {
		return q, refused
	}
	service := q.route.Pick(random())
	var began origin.Origin
	if q.route.Kind == route.Stream && q.route.Resumable && r.Header.Get(h.LastEventID) != "" {
		q.continues, q.resumes = true, r.Header.Get(h.Resumes)
		var refused *refusal
		if began, refused = g.resolveOrigin(r.Context(), table, q); refused != nil {
			return q, refused
		}
		service = began.Service
	}
	if q.service = table.Service(service); q.service == nil {
		return q, &notReady
	}
	prompt, maxOutput := parseTokens(r.Header.Get(h.Tokens))
	regions, ok := q.route.RegionsFor(q.organisation)
	if !ok {
		return q, &refusal{route: q.route.Name, status: http.StatusForbidden, reason: "no region is allowed to both the route and the organisation"}
	}
	if refused := g.charge(q, prompt+maxOutput); refused != nil {
		return q, refused
	}
	q.memory = g.memory.Open(organisationName(q.organisation), func() { abortWrite(w) })
	body, err := readBody(r, table.Limits.BodyBytes, q.memory)
	if errors.Is(err, errNoMemory) {
		return q, g.refuseNoMemory(q)
	}
	if err != nil {
		refused := bodyRefusal(err)
		refused.route = q.route.Name
		return q, refused
	}
	q.deadline = q.arrived.Add(requestTimeout(r.Header.Get(h.Deadline), q.route.Timeout) - q.ownDelay/2)
	q.send = backend.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: g.forwardedHeader(r.Header), Body: body, ID: q.id,
	}
	g.setOrganisation(table, q)
	q.work = dispatch.Work{Service: q.service.Name, Regions: regions}
	if q.route.Kind == route.Stream && !q.memory.TryReserve(streamMemory) {
		return q, g.refuseNoMemory(q)
	}
	if q.service.Engine != nil {
		q.work = parseWork(h, r.Header, q.service)
		if p, ok := table.ServerPriority(q.route, q.service.Name); ok {
			q.priority = strconv.Itoa(p)
		}
		q.work.Regions, q.work.Urgency = regions, q.organisation.UrgencyFor(q.route)
		q.resumed = r.Header.Get(h.LastEventID) != ""
		if parse := g.cfg.Protocol.ParseParts; parse != nil {
			q.parts = parse(r.Header.Get(h.PromptParts))
		}
	}
	if q.continues {
		q.work.Pinned, q.work.Version = true, began.Version
		if refused := g.requireVersion(r.Context(), q); refused != nil {
			return q, refused
		}
	}
	return q, nil
}

// promote tells engines the priority by which the request is placed, so that they don't preempt its
// run in favour of requests that came after it.
func (q *request) promote() {
	if own, err := strconv.Atoi(q.priority); err == nil {
		q.priority = strconv.Itoa(min(own, max(q.work.Urgency.Route, 0)))
	}
}

// Times of a gateway that is about to stop.
const (
	// A request is accepted only if minTargets times the target of its route and minTime remain.
	minTargets = 4
	minTime    = time.Second
)

// minUsefulTime is the time below which nothing is sent to a server.
const minUsefulTime = 20 * time.Millisecond

// outdated reports whether a request has waited in the gateway itself, or will, until it is too late to send
// it to a server.
func (q *request) outdated() bool {
	return q.ownDelay > 0 && q.remaining()-q.ownDelay < minUsefulTime
}

// capDeadline limits a request to the end of the gateway. It returns false if the request may not
// be done by then.
func (q *request) capDeadline(end time.Time) bool {
	if q.route.Kind == route.Stream || q.clock.Until(end) < max(minTargets*q.route.Target, minTime) {
		return false
	}
	if end.Before(q.deadline) {
		q.deadline = end
	}
	return true
}

// outlasts reports whether a stream will probably run for longer than the remaining time, given the
// recent time per token of its service.
func (q *request) outlasts(remaining, perToken time.Duration) bool {
	return q.route.Kind == route.Stream && time.Duration(q.work.Expected)*perToken+q.route.Target > remaining
}

// stoppingRetry is the Retry-After of a stopping gateway: short, since the others have capacity,
// and the platform routes new connections to them.
const stoppingRetry = 50 * time.Millisecond

// refuseStopping refuses a request that the end of the gateway would cut.
func (q *request) refuseStopping(reason string) refusal {
	return refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: stoppingRetry, closing: true,
	}
}

// requestTimeout returns the time that a request may take: as long as the caller waits, but at most
// what the operator allows.
func requestTimeout(field string, timeout time.Duration) time.Duration {
	out := min(defaultDeadline, timeout)
	ms, ok := parseNonNegative(field)
	switch {
	case !ok:
		return out
	case ms >= float64(timeout)/float64(time.Millisecond):
		return timeout // compared before the conversion, which would overflow into the past
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Estimates of the length of answers.
const (
	// hintFactor is the ratio of the mean length to the median, which the hint gives.
	hintFactor = 1.12
	// defaultAnswerTokens is the expected length without a hint.
	defaultAnswerTokens = 1000
	// maxTokens bounds the number of tokens that a caller states: more than any engine can hold,
	// and small enough that no sum overflows.
	maxTokens = 1 << 30
)

// parseWork determines from a request's header fields what it will need at an engine.
func parseWork(h *backend.Headers, in http.Header, s *route.Service) dispatch.Work {
	prompt, maxOutput := parseTokens(in.Get(h.Tokens))
	w := dispatch.Work{Service: s.Name, Expected: defaultAnswerTokens, Prompt: prompt}
	if hint, ok := parseNonNegative(in.Get(h.LengthHint)); ok && hint > 0 {
		w.Expected = int(min(hint*hintFactor, maxTokens))
	}
	if maxOutput > 0 {
		w.Expected = min(w.Expected, maxOutput)
	}
	return w
}

// parseTokens parses the number of tokens of a prompt and the maximum number of tokens of its
// answer; a number that can't be parsed is zero.
func parseTokens(field string) (prompt, maxOutput int) {
	first, second, _ := strings.Cut(field, ",")
	return parseTokenCount(first), parseTokenCount(second)
}

// parseTokenCount parses a number of tokens. A number that is too large becomes maxTokens rather
// than zero, because it counts against the limit of an organisation.
func parseTokenCount(field string) int {
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// parseNonNegative parses a non-negative number, which may be infinite.
func parseNonNegative(field string) (float64, bool) {
	n, err := strconv.ParseFloat(field, 64)
	return n, (err == nil || errors.Is(err, strconv.ErrRange)) && n >= 0
}

// maxPrefillTime returns the time in which the prompt should be prefilled: until the answer would be
// too late, if it isn't yet, and at most until the deadline. What an engine makes for a caller whose
// deadline passes meanwhile is made in vain, and nobody frees it.
func (q *request) maxPrefillTime() time.Duration {
	out, remaining := time.Duration(prefillDeadlineRatio*float64(q.route.Target))-q.clock.Since(q.arrived), q.remaining()
	if out <= 0 || remaining < out {
		return max(remaining, 1)
	}
	return out
}

// remaining returns the time until the deadline of a request.
func (q *request) remaining() time.Duration { return q.clock.Until(q.deadline) }

// toServer returns the request as it is sent to one server, over a bounded number of connections. The server
// may work on it until a time, less what a round trip to it waits in the gateway itself.
func (g *Gateway) toServer(q *request, s *dispatch.Server, until time.Time, connections int) backend.Request {
	h := &g.cfg.Protocol.Headers
	out := q.send
	out.Address = s.Address
	out.Header = q.send.Header.Clone()
	g.noteCarried(q, overload.SendCost+len(q.send.Body))
	out.Remaining = func() time.Duration { return g.clock.Until(until) - g.ownDelay() }
	out.Header.Set(h.ExpectInstance, s.StableName())
	out.Server, out.Admitted = s.ID, true // counted when the server was chosen
	out.MaxConnections = connections
	return out
}
