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
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/route"
)

// request is one request of a caller on its way.
type request struct {
	id      string
	path    string
	route   *route.Route
	service *route.Service
	// organisation is whose request it is; nil where no key is wanted.
	organisation *route.Organisation
	// send is what goes to a server; the server's own fields are added for
	// each send.
	send     backend.Request
	clock    *clock.Clock
	arrived  time.Time
	deadline time.Time
	work     dispatch.Work
	// parts are those of the prompt; resumed tells that the caller has a part of
	// the answer already.
	parts   []route.PromptPart
	resumed bool
	// chunks tells that the caller reads answers in chunks, which show their end.
	chunked bool
	// mayHaveRun tells that a server may have worked on it.
	mayHaveRun bool
	// size is what it counts against the limit of its organisation, charged that it
	// was counted.
	cost    float64
	charged bool
	tried   dispatch.Avoid
	sends   int
	// memory is what is held for it.
	memory *membudget.Account
	// digest names its content, once that was asked for.
	digest poison.Digest
	// looked is closed once it is known whether the server of the newest send has ended;
	// nil if that is no question.
	checked chan struct{}
}

// defaultDeadline is for callers that name none.
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
	if remaining := g.contents.blocked(q); remaining > 0 {
		g.refuse(w, q.id, q.refuseContent(remaining))
		return
	}
	if end := g.finishBy.Load(); end != nil && !q.capDeadline(*end) {
		g.refuse(w, q.id, q.refuseStopping("the gateway is stopping"))
		return
	}
	if end := g.stopsAt.Load(); end != nil && q.outlasts(g.clock.Until(*end), g.fleet.timePerToken(q.service.Name)) {
		g.refuse(w, q.id, q.refuseStopping("the stream would outlast the gateway"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.remaining())
	defer cancel()
	g.fleet.countRequest(q.service.Name)
	if q.service.Engine != nil && q.route.Kind == route.Stream {
		g.generate(ctx, w, q)
		return
	}
	g.forward(ctx, w, q)
}

// read finds the route of a request and takes its body.
func (g *Gateway) read(w http.ResponseWriter, table *route.Table, r *http.Request) (*request, *refusal) {
	h := &g.cfg.Protocol.Headers
	q := &request{id: r.Header.Get(h.RequestID), path: r.URL.Path, chunked: r.ProtoAtLeast(1, 1), clock: g.clock, arrived: g.clock.Now(), tried: dispatch.Avoid{}}
	q.route = table.Lookup(r.Host, r.URL.Path)
	if q.route == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refused := g.identify(table, q, r.Header); refused != nil {
		return q, refused
	}
	q.service = table.Service(q.route.Pick(random()))
	if q.service == nil {
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
	q.deadline = q.arrived.Add(requestTimeout(r.Header.Get(h.Deadline), q.route.Timeout))
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
		q.work.Regions = regions
		q.resumed = r.Header.Get(h.LastEventID) != ""
		if parse := g.cfg.Protocol.ParseParts; parse != nil {
			q.parts = parse(r.Header.Get(h.PromptParts))
		}
	}
	return q, nil
}

// Times of a gateway that is about to end.
const (
	// leastTargets and leastTime are the time, in targets of the route and at
	// least, that a request must have to be taken.
	minTargets = 4
	minTime    = time.Second
)

// endBy bounds a request by the end of the gateway. It returns false if the
// request may not be done by then.
func (q *request) capDeadline(end time.Time) bool {
	if q.route.Kind == route.Stream || q.clock.Until(end) < max(minTargets*q.route.Target, minTime) {
		return false
	}
	if end.Before(q.deadline) {
		q.deadline = end
	}
	return true
}

// outlasts tells whether a stream will probably run for longer than a time, at the
// time that tokens of its service took of late.
func (q *request) outlasts(remaining, perToken time.Duration) bool {
	return q.route.Kind == route.Stream && time.Duration(q.work.Expected)*perToken+q.route.Target > remaining
}

// elsewhereRetry is when a caller should come back to a gateway that stops: at once,
// since the others have room, and the platform sends new connections to them.
const stoppingRetry = 50 * time.Millisecond

// elsewhere refuses a request that the end of the gateway would cut.
func (q *request) refuseStopping(reason string) refusal {
	return refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: stoppingRetry, closing: true,
	}
}

// deadlineOf is the time that a request may take: what the caller waits, and at
// most what the operator allows.
func requestTimeout(field string, timeout time.Duration) time.Duration {
	out := min(defaultDeadline, timeout)
	ms, ok := parseNonNegative(field)
	switch {
	case !ok:
		return out
	case ms >= float64(timeout)/float64(time.Millisecond):
		return timeout // compared before the conversion, which turns what is too long into the past
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Estimates of the length of answers.
const (
	// hintFactor is the mean length over the median, which the hint gives.
	hintFactor = 1.12
	// unknownAnswer is the expected length without a hint, in tokens.
	defaultAnswerTokens = 1000
	// mostTokens bounds the tokens that a caller names: more than any engine keeps, and so
	// few that no sum of them overflows.
	maxTokens = 1 << 30
)

// workOf reads what a request will need at an engine.
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

// tokensOf reads the tokens of a prompt and the most tokens of its answer; what can't be
// read is zero.
func parseTokens(field string) (prompt, maxOutput int) {
	first, second, _ := strings.Cut(field, ",")
	return parseTokenCount(first), parseTokenCount(second)
}

// count reads a number of tokens. One that is too large is the most that there can be, and
// not none: it counts against the limit of an organisation.
func parseTokenCount(field string) int {
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// number reads a number from zero on, which may be infinite.
func parseNonNegative(field string) (float64, bool) {
	n, err := strconv.ParseFloat(field, 64)
	return n, (err == nil || errors.Is(err, strconv.ErrRange)) && n >= 0
}

// left is the time that remains for a request.
func (q *request) remaining() time.Duration { return q.clock.Until(q.deadline) }

// to returns the request as it goes to one server.
func (q *request) toServer(h *backend.Headers, s *dispatch.Server, limit time.Duration, sharing int) backend.Request {
	out := q.send
	out.Address = s.Address
	out.Header = q.send.Header.Clone()
	out.Header.Set(h.Deadline, strconv.FormatInt(max(limit.Milliseconds(), 1), 10))
	out.Header.Set(h.ExpectInstance, s.StableName())
	out.Server, out.Admitted = s.ID, true // counted when the server was chosen
	out.MaxConnections = connectionShare(q.service.MaxConnections, sharing)
	return out
}

// connectionShare is the part of a server's connections that one gateway opens.
func connectionShare(limit, sharing int) int {
	if limit <= 0 {
		return 0
	}
	// Servers still count connections of gateways that have lost power, and take
	// fewer while their queue is long.
	const use = 0.5
	return max(int(use*float64(limit)/float64(max(sharing, 1))), 1)
}
