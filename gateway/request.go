package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/route"
)

// request is one request of a caller on its way.
type request struct {
	id      string
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
	// mayHaveRun tells that a server may have worked on it.
	mayHaveRun bool
	// size is what it counts against the limit of its organisation, charged that it
	// was counted.
	size    float64
	charged bool
	tried   dispatch.Avoid
	sends   int
	// digest names its content, once that was asked for.
	digest poison.Digest
	// looked is closed once it is known whether the server of the newest send has ended;
	// nil if that is no question.
	looked chan struct{}
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
	q, ref := g.read(table, r)
	defer g.settle(q)
	if ref != nil {
		g.refuse(w, q.id, *ref)
		return
	}
	if left := g.contents.blocked(q); left > 0 {
		g.refuse(w, q.id, q.refuseContent(left))
		return
	}
	if end := g.endsAt.Load(); end != nil && !q.endBy(*end) {
		g.refuse(w, q.id, q.elsewhere("the gateway is stopping"))
		return
	}
	if end := g.stopsAt.Load(); end != nil && q.outlasts(g.clock.Until(*end), g.fleet.pace(q.service.Name)) {
		g.refuse(w, q.id, q.elsewhere("the stream would outlast the gateway"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.left())
	defer cancel()
	g.fleet.request(q.service.Name)
	if q.service.Engine != nil && q.route.Kind == route.Stream {
		g.generate(ctx, w, q)
		return
	}
	g.forward(ctx, w, q)
}

// read finds the route of a request and takes its body.
func (g *Gateway) read(table *route.Table, r *http.Request) (*request, *refusal) {
	h := &g.cfg.Protocol.Headers
	q := &request{id: r.Header.Get(h.RequestID), clock: g.clock, arrived: g.clock.Now(), tried: dispatch.Avoid{}}
	q.route = table.Lookup(r.Host, r.URL.Path)
	if q.route == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if ref := g.identify(table, q, r.Header); ref != nil {
		return q, ref
	}
	q.service = table.Service(q.route.Pick(pick()))
	if q.service == nil {
		return q, &notReady
	}
	prompt, most := tokensOf(r.Header.Get(h.Tokens))
	if ref := g.charge(q, prompt+most); ref != nil {
		return q, ref
	}
	body, err := readBody(r, table.Limits.BodyBytes)
	if err != nil {
		refused := bodyRefusal(err)
		refused.route = q.route.Name
		return q, refused
	}
	q.deadline = q.arrived.Add(deadlineOf(r.Header.Get(h.Deadline), q.route.Timeout))
	q.send = backend.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarded(g.private, r.Header), Body: body, ID: q.id,
	}
	g.name(table, q)
	if q.service.Engine != nil {
		q.work = workOf(h, r.Header, q.service)
		q.resumed = r.Header.Get(h.LastEventID) != ""
		if parse := g.cfg.Protocol.ParseParts; parse != nil {
			q.parts = parse(r.Header.Get(h.PromptParts))
		}
	}
	return q, nil
}

var errTooLarge = errors.New("gateway: the body is too large")

// Times of a gateway that is about to end.
const (
	// leastTargets and leastTime are the time, in targets of the route and at
	// least, that a request must have to be taken.
	leastTargets = 4
	leastTime    = time.Second
)

// endBy bounds a request by the end of the gateway. It returns false if the
// request may not be done by then.
func (q *request) endBy(end time.Time) bool {
	if q.route.Kind == route.Stream || q.clock.Until(end) < max(leastTargets*q.route.Target, leastTime) {
		return false
	}
	if end.Before(q.deadline) {
		q.deadline = end
	}
	return true
}

// outlasts tells whether a stream will probably run for longer than a time, at the
// time that tokens of its service took of late.
func (q *request) outlasts(left, perToken time.Duration) bool {
	return q.route.Kind == route.Stream && time.Duration(q.work.Expected)*perToken+q.route.Target > left
}

// elsewhereRetry is when a caller should come back to a gateway that stops: at once,
// since the others have room, and the platform sends new connections to them.
const elsewhereRetry = 50 * time.Millisecond

// elsewhere refuses a request that the end of the gateway would cut.
func (q *request) elsewhere(reason string) refusal {
	return refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: elsewhereRetry, closing: true,
	}
}

// readBody reads a body of at most limit bytes; no limit if it is zero.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = 1 << 30
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	return body, err
}

func bodyRefusal(err error) *refusal {
	if errors.Is(err, errTooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closing: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body could not be read", closing: true}
}

// deadlineOf is the time that a request may take: what the caller waits, and at
// most what the operator allows.
func deadlineOf(field string, timeout time.Duration) time.Duration {
	out := min(defaultDeadline, timeout)
	ms, err := strconv.ParseFloat(field, 64)
	if err != nil || ms < 0 {
		return out
	}
	return min(time.Duration(ms*float64(time.Millisecond)), timeout)
}

// hopByHop are fields that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// forwarded returns the fields of a caller that go to a server: not those of
// the connection, nor the private ones that are no caller's to set.
func forwarded(private []string, in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	drop := perConnection(in)
	for name, values := range in {
		if !hopByHop[name] && !drop[name] {
			out[name] = values
		}
	}
	for _, name := range private {
		out.Del(name)
	}
	return out
}

// perConnection returns the fields that a Connection field names.
func perConnection(in http.Header) map[string]bool {
	var out map[string]bool
	for _, field := range in["Connection"] {
		for _, name := range strings.Split(field, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// Estimates of the length of answers.
const (
	// hintFactor is the mean length over the median, which the hint gives.
	hintFactor = 1.12
	// unknownAnswer is the expected length without a hint, in tokens.
	unknownAnswer = 1000
)

// workOf reads what a request will need at an engine.
func workOf(h *backend.Headers, in http.Header, s *route.Service) dispatch.Work {
	prompt, most := tokensOf(in.Get(h.Tokens))
	w := dispatch.Work{Service: s.Name, Expected: unknownAnswer, Prompt: prompt}
	if hint, err := strconv.ParseFloat(in.Get(h.LengthHint), 64); err == nil && hint > 0 {
		w.Expected = int(hint * hintFactor)
	}
	if most > 0 {
		w.Expected = min(w.Expected, most)
	}
	return w
}

// tokensOf reads the tokens of a prompt and the most tokens of its answer; what can't be
// read is zero.
func tokensOf(field string) (prompt, most int) {
	first, second, _ := strings.Cut(field, ",")
	return count(first), count(second)
}

func count(field string) int {
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// left is the time that remains for a request.
func (q *request) left() time.Duration { return q.clock.Until(q.deadline) }

// to returns the request as it goes to one server.
func (q *request) to(h *backend.Headers, s *dispatch.Server, limit time.Duration, sharing int) backend.Request {
	out := q.send
	out.Address = s.Address
	out.Header = q.send.Header.Clone()
	out.Header.Set(h.Deadline, strconv.FormatInt(max(limit.Milliseconds(), 1), 10))
	out.Header.Set(h.ExpectInstance, s.Called())
	out.Server = s.ID
	out.MaxConnections = connectionShare(q.service.MaxConnections, sharing)
	return out
}

// connectionShare is the part of a server's connections that one gateway opens.
func connectionShare(most, sharing int) int {
	if most <= 0 {
		return 0
	}
	// Servers still count connections of gateways that have lost power, and take
	// fewer while their queue is long.
	const use = 0.5
	return max(int(use*float64(most)/float64(max(sharing, 1))), 1)
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// route is the name of the route, if one was found.
	route string
	// retryAfter tells the caller when to come back; zero if not useful.
	retryAfter time.Duration
	// closing ends the connection, since the rest of the request is unread.
	closing bool
}

var notReady = refusal{status: http.StatusServiceUnavailable, reason: "no routing table yet", retryAfter: 500 * time.Millisecond}

// refuse answers a request that no server has answered.
func (g *Gateway) refuse(w http.ResponseWriter, id string, r refusal) {
	head := w.Header()
	if id != "" {
		head.Set(g.cfg.Protocol.Headers.RequestID, id)
	}
	if r.retryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if r.closing {
		head.Set("Connection", "close")
	}
	metric.RouteRequests.WithLabelValues(r.route, r.reason).Inc()
	event.RequestRefused.Log(g.log, "id", id, "route", r.route, "status", r.status, "reason", r.reason, "retry_after_ms", r.retryAfter.Milliseconds())
	body := r.reason + "\n"
	if r.status == http.StatusUnauthorized {
		head.Set("WWW-Authenticate", "Bearer")
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, body)
}

// copyHead puts the fields of a server's answer before the caller.
func copyHead(w http.ResponseWriter, in http.Header) {
	out := w.Header()
	drop := perConnection(in)
	for name, values := range in {
		if !hopByHop[name] && !drop[name] {
			out[name] = values
		}
	}
	if _, ok := in["Content-Type"]; !ok {
		out["Content-Type"] = nil // none is guessed
	}
}
