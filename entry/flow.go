package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/stream"
)

// ModelRequest is a model request as received from a caller.
type ModelRequest struct {
	Grant settings.Grant
	// Key is the caller's Idempotency-Key; empty if none.
	Key     string
	Request engine.Request
}

// maxBufferedChunks is the number of chunks that are buffered for a slow reader. A caller that
// falls further behind is disconnected.
const maxBufferedChunks = 256

// Flow is an open model request and the stream of its answer to the caller.
type Flow struct {
	// ID names the request in logs, records and the X-Request-Id header.
	ID string

	entry        *Entry
	key          string
	req          engine.Request
	asm          stream.Assembler
	chunks       chan stream.Chunk
	once         sync.Once
	err          error // set before chunks is closed
	decodeServer string
	finishReason string // of the last chunk
	claim        *onceClaim
	// arrive passes the request to the router; nil once that is done.
	arrive       func(now time.Time)
	class        string
	target       settings.Class
	arrivedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokenCount   int
	promptTokens int
}

// NewID returns a new request ID.
func NewID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Next returns the next chunk of the answer, or the error that ended the request; io.EOF
// after the last chunk.
func (f *Flow) Next(ctx context.Context) (stream.Chunk, error) {
	select {
	case c, ok := <-f.chunks:
		if ok {
			return c, nil
		}
		if f.err != nil {
			return stream.Chunk{}, f.err
		}
		return stream.Chunk{}, io.EOF
	case <-ctx.Done():
		return stream.Chunk{}, ctx.Err()
	}
}

// PromptTokens returns the estimated length of the prompt in tokens.
func (f *Flow) PromptTokens() int { return f.promptTokens }

// Cancel cancels the request because its caller disconnected. It may be called at any
// time.
func (f *Flow) Cancel() {
	if f.entry != nil { // nil for a recorded answer
		f.entry.callerDisconnected(f)
	}
}

// enqueue queues a chunk for the caller. It reports false if the queue is full.
func (f *Flow) enqueue(c stream.Chunk) bool {
	select {
	case f.chunks <- c:
		return true
	default:
		return false
	}
}

// close ends the stream of chunks. Only the first call has an effect.
func (f *Flow) close(err error) {
	f.once.Do(func() {
		f.err = err
		close(f.chunks)
	})
}

// countToken updates the token count and the times that are compared with the latency targets.
func (f *Flow) countToken(now time.Time, c stream.Chunk) {
	if c.Finish != "" {
		return
	}
	if f.tokenCount == 0 {
		f.firstTokenAt = now
	}
	f.tokenCount++
	f.lastTokenAt = now
}

// timePerToken returns the mean time between tokens.
func (f *Flow) timePerToken() time.Duration {
	if f.tokenCount < 2 {
		return 0
	}
	return f.lastTokenAt.Sub(f.firstTokenAt) / time.Duration(f.tokenCount-1)
}

// metTargets reports whether an answer that has ended met both targets.
func (f *Flow) metTargets() bool {
	return f.firstTokenAt.Sub(f.arrivedAt) <= f.target.TTFT.D() && f.timePerToken() <= f.target.TBT.D()
}

// request returns the request for the engine, with the answer so far.
func (f *Flow) request() engine.Request {
	r := f.req
	r.Sofar, r.SofarTokens = f.asm.Text(), f.asm.Next()
	return r
}

// EstimateTokens estimates the length of a text in tokens.
func EstimateTokens(text string) int { return max(len(text)/placement.BytesPerToken, 1) }

// Submit starts a request. A refusal is returned at once or by the first call of
// Next.
func (e *Entry) Submit(ctx context.Context, in ModelRequest) (*Flow, error) {
	if err := e.accept(); err != nil {
		return nil, err
	}
	defer e.release()
	id := NewID()
	c, done, err := e.claimRequest(ctx, in, id)
	if err != nil || done != nil {
		return done, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f, err := e.submit(in, id, c)
	if err != nil && c != nil {
		e.sendRecordLocked(&claim.Record{Key: c.ask.Key, Attempt: c.ask.Attempt}, c.members)
	}
	return f, err
}

func (e *Entry) submit(in ModelRequest, id string, c *onceClaim) (*Flow, error) {
	if err := e.unavailable(); err != nil {
		return nil, err
	}
	req, limit, err := e.routerRequest(&in)
	if err != nil {
		return nil, err
	}
	req.ID = id
	f := e.newFlow(in, req)
	f.claim = c
	e.supersedeOlder(f)
	e.flows[f.ID] = f
	if c != nil {
		e.abortBeforeExpiry(f)
	}
	f.arrive = func(now time.Time) { e.perform(now, e.core.Submit(f.arrivedAt, req, limit)) }
	if !e.register(f) {
		e.startFlow(f.arrivedAt, f)
	}
	e.requestSharesEarly(f.arrivedAt, req.Customer)
	return f, nil
}

func (e *Entry) newFlow(in ModelRequest, req router.Request) *Flow {
	f := &Flow{
		ID: req.ID, entry: e, req: in.Request, chunks: make(chan stream.Chunk, maxBufferedChunks),
		class: req.Class, arrivedAt: clock.VM.Now(), promptTokens: req.Tokens,
		target: e.store.Tree().Fleet.Classes[req.Class],
	}
	if in.Key != "" {
		f.key = in.Grant.Customer + "/" + in.Key
	}
	return f
}

// routerRequest returns the request for the router and the number of requests that the
// customer may have open at this entry. It bounds the output tokens of in and sets its priority.
func (e *Entry) routerRequest(in *ModelRequest) (router.Request, int, error) {
	tree := e.store.Tree()
	class, ok := tree.Fleet.Classes[in.Grant.Class]
	if !ok {
		return router.Request{}, 0, fault.New(fault.Unauthorized, fault.StepAuth, "", "the class of the token does not exist in the settings")
	}
	model, ok := tree.Fleet.Models[in.Request.Model]
	if !ok {
		return router.Request{}, 0, fault.New(fault.UnknownModel, fault.StepAdmit, "", "the settings have no model "+in.Request.Model)
	}
	cust := tree.Fleet.Customers[in.Grant.Customer]
	lim, ok := e.limitsByModel[in.Request.Model]
	if !ok {
		lim = e.fleetLimits
	}
	text := in.Request.Text()
	tokens := EstimateTokens(text)
	if tokens > lim.MaxPromptTokens {
		return router.Request{}, 0, fault.New(fault.PromptTooLong, fault.StepAdmit, "",
			fmt.Sprintf("the prompt has about %d tokens, the maximum is %d", tokens, lim.MaxPromptTokens))
	}
	want := in.Request.Sampling.MaxTokens
	if want == 0 || want > lim.MaxOutputTokens {
		in.Request.Sampling.MaxTokens = lim.MaxOutputTokens
	}
	in.Request.Priority = class.Priority
	return router.Request{
		Customer: in.Grant.Customer, Share: cust.ShareOrOne(), Class: in.Grant.Class,
		Model: in.Request.Model, Priority: class.Priority, Tokens: tokens, Prefixes: placement.Prefixes(text),
		KVBytes: int64(tokens) * int64(model.KVPerToken), TTFT: class.TTFT.D(), TBT: class.TBT.D(), Keep: class.KeepWhenGone,
	}, e.holder.Limit(in.Grant.Customer, lim.OpenLimit*cust.ShareOrOne()), nil
}

// callerDisconnected cancels a request whose caller disconnected.
func (e *Entry) callerDisconnected(f *Flow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[f.ID] == f {
		event.CallerDisconnected.Log(e.log, "request", f.ID)
		e.abort(clock.VM.Now(), f, fault.CallerGone)
	}
}

// abort cancels a request and ends its answer with an error.
func (e *Entry) abort(now time.Time, f *Flow, code *fault.Code) {
	if code == fault.CallerSlow {
		event.SlowCallerDisconnected.Log(e.log, "request", f.ID)
	}
	e.perform(now, e.core.Cancel(now, f.ID))
	e.endFlow(f, fault.New(code, fault.StepStream, "caller", code.Text))
}

// endFlow ends a flow. If the request has a claim, the stream is closed only once the
// voters have recorded the outcome. Callers hold the lock.
func (e *Entry) endFlow(f *Flow, err error) {
	delete(e.flows, f.ID)
	if recorded := e.recordOutcome(f, err); recorded != nil {
		go func() {
			<-recorded
			f.close(err)
		}()
	} else {
		f.close(err)
	}
	if e.flowsByKey[f.key] == f {
		delete(e.flowsByKey, f.key)
	}
	e.observe(f, err)
}

func (e *Entry) handleRefusal(x router.Refuse) {
	event.RequestRefused.Log(e.log, "request", x.Req, "code", x.Code.ID, "detail", x.Detail)
	if f := e.flows[x.Req]; f != nil {
		if x.Code == fault.TargetOutOfReach || x.Code == fault.NoServer {
			e.shortages[f.req.Model] = clock.VM.Now()
		}
		e.endFlow(f, refusal(x))
	}
}

func refusal(x router.Refuse) error {
	err := fault.New(x.Code, fault.StepAdmit, "", x.Detail)
	fault.From(err).RetryAfter = x.RetryAfter
	return err
}

func (e *Entry) handleFailure(x router.Fail) {
	event.RequestFailed.Log(e.log, "request", x.Req, "code", x.Code.ID, "step", x.Step, "peer", x.Peer, "detail", x.Detail)
	if f := e.flows[x.Req]; f != nil {
		e.endFlow(f, fault.New(x.Code, x.Step, x.Peer, x.Detail))
	}
}

// Grant returns the grant of a caller's token.
func (e *Entry) Grant(token string) (settings.Grant, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settingsUsable() {
		return settings.Grant{}, fault.New(fault.NotReady, fault.StepAuth, e.cfg.Name, "no confirmed settings yet")
	}
	g, ok := e.grants[settings.HashToken(token)]
	if !ok {
		return g, fault.New(fault.Unauthorized, fault.StepAuth, "", "unknown token")
	}
	return g, nil
}

// Models returns the models in the settings that servers of this entry can serve, sorted.
func (e *Entry) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	if e.store.Tree() == nil {
		return nil
	}
	for name := range e.store.Tree().Fleet.Models {
		if e.core.View().ServesModel(name) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
