package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/registry"
)

// Times and bounds of generation.
const (
	// readShare is the part of the target by which the prompt should have been
	// read. An answer that is a little late is worth as much as one that comes
	// after a refusal, and more if the queue is shorter than it looks.
	readShare = 1.5
	// maxRounds bounds how often a request is placed.
	maxRounds = 3
	// kvMargin is taken off the time that an engine keeps a prefill result.
	kvMargin = 100 * time.Millisecond
)

// errLeft tells that a decode engine began to leave while the prompt was read.
var errLeft = errors.New("gateway: the engine is leaving")

// generation is a request to a model engine on its way.
type generation struct {
	g    *Gateway
	q    *request
	pair dispatch.Pair
	// booked is the decode engine whose memory is reserved, reader the engine at
	// which the prompt is booked to be read; empty if none.
	booked, reader string
	// placedAt is when they were booked.
	placedAt time.Time
	// hold is the room that the engine booked has set aside; empty if none.
	hold   string
	kv     backend.KV
	kvFrom dispatch.Server
	kvAt   time.Time
	// handover is how decode engines took the newest KV cache.
	handover dispatch.Handover
	stream   *streamWriter
	// prefills and decodes count what has reached engines of each role.
	prefills, decodes int
	mover             mover
}

// generate serves a request of a model engine: a decode engine's memory is
// reserved first, then the prompt is read, then the answer is made.
func (g *Gateway) generate(ctx context.Context, w http.ResponseWriter, q *request) {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	n := &generation{g: g, q: q, stream: newStreamWriter(g, w, q)}
	n.stream.made = func(tokens int) { n.grow(ctx, tokens) }
	n.stream.memory = func(bytes int64) error { return takeMemory(ctx, q.memory, bytes) }
	defer n.unbook()
	var last result
	for round := range maxRounds {
		if round > 0 && !n.mayGoOn(last) {
			break
		}
		if round > 0 || q.resumed {
			q.work.Cached = g.findKept(q)
		}
		if n.stream.started {
			event.StreamGoesOn.Log(g.log, "id", q.id, "last", n.stream.order.Last(), "resumed", q.resumed, "moved", n.mover.count, "error", last.err)
		}
		if round > 0 && !g.keepToRegions(q) || !n.place(ctx) {
			if round == 0 {
				last = result{kind: notRun}
			}
			break
		}
		last = n.round(ctx)
		n.unbook()
		if last.kind == answered || ctx.Err() != nil || errors.Is(last.err, errBlocked) {
			break
		}
	}
	n.conclude(ctx, w, last)
}

// mayGoOn tells whether a request that a round has not finished may have
// another one.
func (n *generation) mayGoOn(last result) bool {
	if n.stream.started && !n.stream.canGoOn() {
		return false
	}
	// The prompt is read once more, and a decode engine is asked once more, if
	// either has been asked before.
	sends := min(n.prefills, 1) + min(n.decodes, 1)
	if last.kind == notSent {
		return sends == 0 || n.g.fleet.retry(n.q.service.Name, sends)
	}
	return n.g.again(n.q, last, max(sends, 1))
}

// place books a prefill and a decode engine.
func (n *generation) place(ctx context.Context) bool {
	q := n.q
	limit := n.g.fleet.patience(q.work, q.route.Target-n.g.clock.Since(q.arrived))
	if n.stream.started {
		limit = q.route.GapTarget
	}
	until := n.g.clock.Now().Add(limit)
	for {
		if left, ok := n.g.fleet.awaitsPause(q.work, registry.Decode); ok && left > n.g.clock.Until(until) {
			return false
		}
		wait := &dispatch.QueuedRequest{Priority: q.organisation.PriorityFor(q.route), Work: q.work, Engine: q.service.Engine, Avoid: q.tried}
		wait.Work.OverShare = n.g.limits.beyond(q)
		if !n.stream.started && q.route.Target > 0 {
			wait.Work.MaxPrefillTime = time.Duration(readShare*float64(q.route.Target)) - n.g.clock.Since(q.arrived)
		}
		pair, ok := n.g.fleet.place(ctx, wait, max(n.g.clock.Until(until), 0))
		if !ok {
			return false
		}
		n.pair, n.booked, n.reader = pair, pair.Decode.ID, pair.PrefillServer().ID
		n.placedAt = n.g.clock.Now()
		if kept := q.work.Cached[n.reader]; kept > 0 {
			metric.KeptTokens.WithLabelValues(q.service.Name).Add(float64(kept))
		}
		if n.takeHold(ctx) {
			return true
		}
		q.tried[pair.Decode.ID] = true
		n.unbook()
		if ctx.Err() != nil {
			return false
		}
	}
}

// round reads the prompt and makes the answer at the engines that are booked.
func (n *generation) round(ctx context.Context) result {
	n.handover = dispatch.Handover{}
	if !n.g.mayGo(n.q) {
		return result{kind: notSent, err: errBlocked}
	}
	if n.pair.Prefill == nil {
		return n.decode(ctx, n.pair.Decode, false)
	}
	r := n.prefill(ctx)
	n.endRead()
	if r.kind != answered {
		n.q.tried[n.pair.Prefill.ID] = true
		n.g.noteSend(ctx, n.q, n.pair.Prefill, r, n.g.clock.Since(n.placedAt))
		if r.kind == notRun || r.kind == misdirected {
			n.g.fleet.spend(n.q.service.Name)
		}
		if r.kind == broken || r.kind == late {
			r.kind = notRun // a prompt that was read is no run
		}
		return r
	}
	defer n.dropKV()
	r = result{kind: notSent, err: errLeft}
	if n.g.fleet.listed(n.pair.Decode.ID) {
		r = n.decode(ctx, n.pair.Decode, true)
	}
	switch r.kind {
	case notRun, notSent, misdirected:
		r = n.elsewhere(ctx, r)
	}
	if n.handover.AcceptedBy == "" {
		n.g.fleet.noteHandover(n.handover)
	}
	if r.kind != answered {
		n.noteWasted(wasteCause(ctx, r, n.handover.AcceptedBy != ""))
	}
	return r
}

// wasteCause tells why a prompt that was read has no whole answer; begun tells
// that a decode engine had taken it.
func wasteCause(ctx context.Context, r result, begun bool) string {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return "caller gone"
	case ctx.Err() != nil:
		return "deadline"
	case begun:
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
	metric.WastedTokens.WithLabelValues(n.q.service.Name, cause).Add(float64(n.kv.Tokens))
	event.PromptWasted.Log(n.g.log, "id", n.q.id, "cause", cause, "tokens", n.kv.Tokens, "made", n.q.work.Generated,
		"prefill", n.kvFrom.StableName(), "decode", n.pair.Decode.StableName())
}

// grow books what a run has made, and has it move on if its engine has no room
// for it any more.
func (n *generation) grow(ctx context.Context, made int) {
	if n.booked == "" {
		return
	}
	n.endRead()
	n.checkMigration()
	work, reason := n.g.fleet.grow(n.booked, n.q.work, n.q.service.Engine, made)
	n.q.work = work
	if reason != dispatch.Stay {
		n.moveOn(ctx, reason)
	}
}

func (n *generation) unbook() {
	n.endRead()
	n.dropHold()
	if n.booked != "" {
		n.g.fleet.release(n.booked, n.q.work)
		n.booked = ""
	}
}

// conclude gives the caller its final answer, if the stream has not.
func (n *generation) conclude(ctx context.Context, w http.ResponseWriter, last result) {
	g, q := n.g, n.q
	if errors.Is(ctx.Err(), context.Canceled) {
		event.CallerGone.Log(g.log, "id", q.id)
		panic(http.ErrAbortHandler)
	}
	if n.stream.started {
		if last.kind != answered {
			event.RequestFailed.Log(g.log, "id", q.id, "reason", "stream broken", "error", last.err)
			cut(w, q.chunks)
		}
		return
	}
	if last.kind == answered && last.header != nil {
		g.pass(w, q, last)
		return
	}
	if left := g.contents.blocked(q); left > 0 && !q.mayHaveRun {
		g.refuse(w, q.id, q.refuseContent(left))
		return
	}
	if !q.mayHaveRun {
		r := g.fleet.ruled(q.work, q.service.Engine)
		event.NoRoom.Log(g.log, "id", q.id, "rule", string(r.Rule), "prompt", q.work.Prompt, "expected", q.work.Expected, "engines", r.Engines,
			"ruled", r.Count, "read_ms", r.MinPrefillTime.Milliseconds(), "queued", r.Queued, "gateways_known", r.Known, "gateways", r.Gateways,
			"waited_ms", g.clock.Since(q.arrived).Milliseconds(), "prefills", n.prefills, "decodes", n.decodes)
		after := g.fleet.comeBack(q.service.Name, r.MinPrefillTime)
		if left, ok := g.fleet.awaitsPause(q.work, registry.Decode); ok {
			after = max(after, spread(left))
		}
		g.refuse(w, q.id, refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "no engine has room", retryAfter: after})
		return
	}
	g.conclude(w, q, last)
}
