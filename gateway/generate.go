package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/registry"
)

// Times and bounds of generation.
const (
	// prefillDeadlineRatio times the target is the time by which the prompt should have been
	// prefilled. An answer that is a little late has the same value as one that comes after a
	// refusal, and more if the queue is shorter than estimated.
	prefillDeadlineRatio = 1.5
	// maxRounds bounds how often a request is placed.
	maxRounds = 3
	// kvMargin is subtracted from the time that an engine keeps a prefill result.
	kvMargin = 100 * time.Millisecond
)

// errEngineLeaving: a decode engine started to leave while the prompt was prefilled.
var errEngineLeaving = errors.New("gateway: the engine is leaving")

// generation is a request to a model engine in progress. The generation of its answer at a decode
// engine is called a run.
type generation struct {
	g *Gateway
	q *request
	// class is the class that the request counts for. Its work has another urgency if it was
	// promoted.
	class    demand.Key
	promoted bool
	pair     dispatch.Pair
	// decodeReserved is the decode engine whose memory is reserved, prefillReserved the engine that
	// is reserved for the prefill; empty if none.
	decodeReserved, prefillReserved string
	// reservedAt is when both were reserved.
	reservedAt time.Time
	// hold is the ID of the capacity that the decode engine itself has reserved; empty if none.
	hold      string
	kv        backend.KV
	kvSource  dispatch.Server
	kvReadyAt time.Time
	// handover records how decode engines responded to the newest KV cache.
	handover dispatch.Handover
	stream   *streamWriter
	// prefills and decodes count the sends that reached an engine of each role.
	prefills, decodes int
	migrations        migrationState
	// survivalNotedAt is when the run last cleared the parts of its prompt.
	survivalNotedAt time.Time
	// paceNoted is set once the pace of the run has been recorded.
	paceNoted bool
}

// generate serves a request to a model engine: it reserves memory at a decode engine, has the
// prompt prefilled, and then has the answer generated.
func (g *Gateway) generate(ctx context.Context, w http.ResponseWriter, q *request) {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	n := &generation{g: g, q: q, class: demand.Key{Service: q.work.Service, Urgency: q.work.Urgency}, stream: newStreamWriter(g, w, q)}
	if q.work, n.promoted = g.fleet.countArrival(q.work); n.promoted {
		q.promote()
	}
	n.stream.onTokens = func(tokens int) {
		n.noteProgress()
		n.growReservation(ctx, tokens)
	}
	n.stream.reserve = func(bytes int64) error { return reserveMemory(ctx, q.memory, bytes) }
	defer n.releaseReservations()
	var last result
	for round := range maxRounds {
		if round > 0 && !n.mayRetry(last) {
			break
		}
		if round > 0 || q.resumed {
			q.work.Cached = g.findCached(q)
		}
		if n.stream.started {
			event.StreamResumed.Log(g.log, "id", q.id, "last", n.stream.order.Last(), "resumed", q.resumed, "version", n.stream.from.Version, "moved", n.migrations.count, "error", last.err)
		}
		if n.stream.started && !g.versionCertain(ctx, q) {
			break
		}
		if round > 0 {
			g.links.awaitCurrent(ctx)
		}
		if round > 0 && !g.narrowRegions(q) || !n.place(ctx) {
			if round == 0 {
				last = result{kind: notRun}
			}
			break
		}
		last = n.round(ctx)
		n.releaseReservations()
		if last.kind == answered || ctx.Err() != nil || errors.Is(last.err, errBlocked) {
			break
		}
	}
	n.conclude(ctx, w, last)
}

// mayRetry reports whether a request that is not done after a round may have another round.
func (n *generation) mayRetry(last result) bool {
	if n.stream.started && !n.stream.canResume() {
		return false
	}
	// A retry calls a prefill engine and a decode engine once more, each only if one was reached
	// before.
	sends := min(n.prefills, 1) + min(n.decodes, 1)
	if last.kind == notSent {
		return sends == 0 || n.g.fleet.reserveRetries(n.q.service.Name, sends)
	}
	return n.g.mayResend(n.q, last, max(sends, 1))
}

// place reserves a prefill and a decode engine.
func (n *generation) place(ctx context.Context) bool {
	q := n.q
	waitCtx, stop := n.g.contents.watch(ctx, q)
	defer stop()
	limit := n.g.fleet.queueTimeout(q.work, min(q.route.Target-n.g.clock.Since(q.arrived), q.remaining()))
	if n.stream.started {
		limit = q.route.GapTarget
	}
	until := n.g.clock.Now().Add(limit)
	for {
		if !n.g.fleet.versionServed(q.work) {
			return false
		}
		if remaining, ok := n.g.fleet.minPauseRemaining(q.work, registry.Decode); ok && remaining > n.g.clock.Until(until) {
			return false
		}
		waiting := &dispatch.QueuedRequest{Work: q.work, Engine: q.service.Engine, Avoid: q.tried}
		waiting.Work.OverShare = n.g.limits.overFairShare(q)
		if !n.stream.started && q.route.Target > 0 {
			waiting.Until = until
			waiting.Work.MaxPrefillTime = q.maxPrefillTime()
		}
		pair, ok := n.g.fleet.place(waitCtx, waiting, max(n.g.clock.Until(until), 0))
		if !ok {
			return false
		}
		n.pair, n.decodeReserved, n.prefillReserved = pair, pair.Decode.ID, pair.PrefillServer().ID
		n.reservedAt = n.g.clock.Now()
		if cached := q.work.Cached[n.prefillReserved]; cached > 0 {
			metric.CachedPromptTokens.WithLabelValues(q.service.Name).Add(float64(cached))
		}
		if n.acquireHold(ctx) {
			return true
		}
		q.tried[pair.Decode.ID] = true
		n.releaseReservations()
		if ctx.Err() != nil {
			return false
		}
	}
}

// round has the reserved engines prefill the prompt and generate the answer.
func (n *generation) round(ctx context.Context) result {
	n.handover, n.q.firstEventAt = dispatch.Handover{}, time.Time{}
	if !n.g.contentAllowed(n.q) {
		return result{kind: notSent, err: errBlocked}
	}
	if n.pair.Prefill == nil {
		return n.decode(ctx, n.pair.Decode, false)
	}
	r := n.prefill(ctx)
	n.releasePrefill()
	if errors.Is(r.err, errBlocked) {
		return r
	}
	if r.kind != answered {
		n.q.tried[n.pair.Prefill.ID] = true
		n.g.noteSend(ctx, n.q, n.pair.Prefill, r, n.g.clock.Since(n.reservedAt))
		if r.kind == notRun || r.kind == misdirected {
			n.g.fleet.countRetry(n.q.service.Name)
		}
		if r.kind == broken || r.kind == late {
			r.kind = notRun // a prefill is not a run
		}
		return r
	}
	defer n.freeKV()
	r = result{kind: notSent, err: errEngineLeaving}
	if n.g.fleet.available(n.pair.Decode.ID) {
		r = n.decode(ctx, n.pair.Decode, true)
	}
	switch {
	case errors.Is(r.err, errBlocked):
	case r.kind == notRun || r.kind == notSent || r.kind == misdirected:
		r = n.decodeElsewhere(ctx, r)
	}
	if n.handover.AcceptedBy == "" {
		n.g.fleet.noteHandover(n.handover)
	}
	if r.kind != answered {
		n.noteWasted(wasteCause(ctx, r, n.handover.AcceptedBy != ""))
	}
	return r
}

// wasteCause returns why a prompt that was prefilled has no complete answer; accepted means that a
// decode engine had accepted it.
func wasteCause(ctx context.Context, r result, accepted bool) string {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return "caller gone"
	case ctx.Err() != nil:
		return "deadline"
	case accepted:
		return "engine lost"
	case r.kind == broken:
		return "answer lost"
	case r.kind == notRun:
		return "refused"
	default:
		return "not reached"
	}
}

func (n *generation) noteWasted(cause string) {
	metric.WastedPromptTokens.WithLabelValues(n.q.service.Name, cause).Add(float64(n.kv.Tokens))
	event.PrefillWasted.Log(n.g.log, "id", n.q.id, "cause", cause, "tokens", n.kv.Tokens, "made", n.q.work.Generated,
		"prefill", n.kvSource.StableName(), "decode", n.pair.Decode.StableName())
}

// growReservation adds the generated tokens to the reservation of the run, and migrates the run if
// its engine has no capacity for it any more.
func (n *generation) growReservation(ctx context.Context, generated int) {
	if n.decodeReserved == "" {
		return
	}
	if events := n.stream.events; events >= paceEvents && !n.paceNoted {
		n.paceNoted = true
		n.g.fleet.notePace(n.q.service.Name, n.g.clock.Since(n.stream.firstAt), (events-1)*n.q.service.Engine.EventTokens)
	}
	n.releasePrefill()
	n.checkMigration()
	work, reason := n.g.fleet.growReservation(n.decodeReserved, n.q.work, n.q.service.Engine, generated)
	n.q.work = work
	if reason != dispatch.Stay {
		n.startMigration(ctx, reason)
	}
}

func (n *generation) releaseReservations() {
	n.releasePrefill()
	n.releaseHold()
	if n.decodeReserved != "" {
		n.g.fleet.releaseDecode(n.decodeReserved, n.q.work)
		n.decodeReserved = ""
	}
}

// conclude sends the caller its final answer, unless the answer was streamed.
func (n *generation) conclude(ctx context.Context, w http.ResponseWriter, last result) {
	g, q := n.g, n.q
	if errors.Is(ctx.Err(), context.Canceled) {
		event.CallerDisconnected.Log(g.log, "id", q.id)
		abortAnswer(w, q.chunked)
	}
	if n.stream.started {
		if last.kind != answered {
			event.RequestFailed.Log(g.log, "id", q.id, "reason", "stream broken", "error", last.err)
			abortAnswer(w, q.chunked)
		}
		return
	}
	if last.kind == answered && last.header != nil {
		g.passAnswer(w, q, last)
		return
	}
	if remaining := g.contents.blocked(q); remaining > 0 && !q.mayHaveRun {
		g.refuse(w, q.id, q.refuseContent(remaining))
		return
	}
	if !q.mayHaveRun && !g.fleet.versionServed(q.work) {
		g.refuse(w, q.id, *q.refuseContinuation(noServerOfVersion))
		return
	}
	if !q.mayHaveRun {
		r := g.fleet.exclusion(q.work, q.service.Engine)
		pause, ok := g.fleet.minPauseRemaining(q.work, registry.Decode)
		if ok {
			pause = jitter(pause)
		}
		work := q.work
		work.Urgency = n.class.Urgency // the retry may not be promoted
		rejected := dispatch.Rejected{Work: work, Prefill: r.MinPrefillTime, Within: q.route.Target - g.clock.Since(q.arrived)}
		after, choice := g.fleet.retryAfter(rejected, pause)
		event.NoCapacity.Log(g.log, "id", q.id, "rule", string(r.Rule), "prompt", q.work.Prompt, "expected", q.work.Expected, "engines", r.Engines,
			"ruled", r.Count, "level", math.Round(100*g.fleet.meanFullLevel(q.service))/100, "read_ms", r.MinPrefillTime.Milliseconds(), "queued", r.Queued, "ahead", r.Position.Ahead, "behind", r.Position.Behind, "unknown", r.Position.Unknown,
			"organisation_priority", q.work.Urgency.Organisation, "route_priority", q.work.Urgency.Route, "promoted", n.promoted, "gateways_known", r.Known, "gateways", r.Gateways,
			"waited_ms", g.clock.Since(q.arrived).Milliseconds(), "prefills", n.prefills, "decodes", n.decodes, "retry", string(choice))
		g.refuse(w, q.id, refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "no engine has room", retryAfter: after})
		return
	}
	g.conclude(w, q, last)
}
