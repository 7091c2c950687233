package entry

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/stream"
)

// onceClaim is the claim of a model request whose class allows only one run for each key.
type onceClaim struct {
	ask       claim.VoteRequest
	members   []string
	retention time.Duration
	// recorded is set once the outcome has been sent to the voters.
	recorded bool
}

const (
	// claimTTL is how long the claim of a running request is valid. If the entry
	// crashes, the key is free again after that time. A request that is still running
	// is aborted claimMargin earlier.
	claimTTL    = 60 * time.Second
	claimMargin = 5 * time.Second
	// maxRecordedBytes is the maximum size of a recorded answer.
	maxRecordedBytes = 64 << 10
)

// recordedAnswer is an answer as the voters store it.
type recordedAnswer struct {
	Text   string `json:"text"`
	Finish string `json:"finish"`
	Tokens int    `json:"tokens"`
}

// claimRequest claims the key of a request whose class allows only one run for each key. It
// returns the claim, or a flow with the recorded answer of an earlier attempt. For other classes
// it returns neither.
func (e *Entry) claimRequest(ctx context.Context, in ModelRequest, id string) (*onceClaim, *Flow, error) {
	e.mu.Lock()
	tree := e.store.Tree()
	e.mu.Unlock()
	class := tree.Fleet.Classes[in.Grant.Class]
	if !class.Once {
		return nil, nil, nil
	}
	if in.Key == "" {
		return nil, nil, fault.New(fault.KeyRequired, fault.StepClaim, "", "requests of this class require an Idempotency-Key header")
	}
	svc := tree.Fleet.Services[class.ClaimGroup]
	site, members := claimGroup(svc, tree.Fleet.Customers[in.Grant.Customer].Home)
	c := &onceClaim{members: members, retention: svc.ClaimLifetimeOrDefault(), ask: claim.VoteRequest{
		Key: in.Grant.Customer + "/model/" + in.Key, Attempt: id, Body: requestHash(in),
		Lifetime: claimTTL, Group: class.ClaimGroup + "@" + site,
	}}
	verdict, p := e.claim(ctx, c.ask, members)
	switch verdict {
	case claim.Won:
		return c, nil, nil
	case claim.Answered:
		f, err := recordedFlow(id, p.Answer(), in)
		return nil, f, err
	case claim.HeldByOther:
		e.releaseClaim(c.ask, members)
		return nil, nil, fault.New(fault.InProgress, fault.StepClaim, c.ask.Group, "another attempt with this key is running, or its entry has crashed recently")
	}
	_, err := e.claimError(verdict, p, c.ask, members)
	return nil, nil, err
}

// requestHash returns a hash by which different requests with the same key are recognised.
func requestHash(in ModelRequest) uint64 {
	h := fnv.New64a()
	_ = json.NewEncoder(h).Encode(in.Request)
	return h.Sum64()
}

// recordedFlow returns a flow that delivers a recorded answer. An answer longer than
// maxRecordedBytes was recorded without its text, so its content is unknown.
func recordedFlow(id string, a *claim.Answer, in ModelRequest) (*Flow, error) {
	var r recordedAnswer
	if err := json.Unmarshal(a.Body, &r); err != nil {
		return nil, fault.New(fault.OutcomeUnknown, fault.StepClaim, "", "the request has run, but its answer was too long to be recorded")
	}
	f := &Flow{ID: id, chunks: make(chan stream.Chunk, 2), promptTokens: EstimateTokens(in.Request.Text())}
	f.chunks <- stream.Chunk{Text: r.Text}
	f.chunks <- stream.Chunk{Index: r.Tokens, Finish: r.Finish}
	close(f.chunks)
	return f, nil
}

// recordOutcome sends the outcome of a request with a claim to the voters: its answer, or
// that there is none, which frees the key for a retry. The channel that it returns is
// closed once a majority has recorded it; it is nil without a claim. Callers hold the lock.
func (e *Entry) recordOutcome(f *Flow, err error) <-chan struct{} {
	c := f.claim
	if c == nil || c.recorded {
		return nil
	}
	c.recorded = true
	r := &claim.Record{Key: c.ask.Key, Attempt: c.ask.Attempt}
	if err == nil {
		body, _ := json.Marshal(recordedAnswer{Text: f.asm.Text(), Finish: f.finishReason, Tokens: f.asm.Next()})
		if len(body) > maxRecordedBytes {
			body = nil
		}
		r.Answer, r.Keep = &claim.Answer{Status: 200, Type: "application/json", Body: body}, c.retention
	}
	return e.sendRecordLocked(r, c.members)
}

// abortBeforeExpiry aborts a request that is still running shortly before its claim expires.
func (e *Entry) abortBeforeExpiry(f *Flow) {
	time.AfterFunc(claimTTL-claimMargin, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.flows[f.ID] == f {
			event.RequestFailed.Log(e.log, "request", f.ID, "detail", "the claim for its key is about to expire")
			e.abort(clock.VM.Now(), f, fault.EngineLost)
		}
	})
}
