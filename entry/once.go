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

// onceClaim is the claim that a model request of a once class holds.
type onceClaim struct {
	ask       claim.VoteRequest
	members   []string
	retention time.Duration
	// settled tells that the outcome has been recorded.
	recorded bool
}

const (
	// runLifetime is how long a claim holds for a request that runs. If its
	// entry dies, the key is free again after that; a request that still runs
	// then is cut off before.
	claimTTL    = 60 * time.Second
	claimMargin = 5 * time.Second
	// maxRecorded bounds a recorded answer in bytes.
	maxRecordedBytes = 64 << 10
)

// recorded is an answer as the voters keep it.
type recordedAnswer struct {
	Text   string `json:"text"`
	Finish string `json:"finish"`
	Tokens int    `json:"tokens"`
}

// claimRequest claims the key of a request of a once class. It returns the
// claim, or a flow with the recorded answer of an earlier attempt.
func (e *Entry) claimRequest(ctx context.Context, in ModelRequest, id string) (*onceClaim, *Flow, error) {
	e.mu.Lock()
	tree := e.store.Tree()
	if !e.settingsUsable() {
		e.mu.Unlock()
		return nil, nil, fault.New(fault.NotReady, fault.StepAdmit, e.cfg.Name, "no confirmed settings yet")
	}
	e.mu.Unlock()
	class := tree.Fleet.Classes[in.Grant.Class]
	if !class.Once {
		return nil, nil, nil
	}
	if in.Key == "" {
		return nil, nil, fault.New(fault.KeyRequired, fault.StepClaim, "", "send an Idempotency-Key with this class of request")
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
		return nil, nil, fault.New(fault.InProgress, fault.StepClaim, c.ask.Group, "another attempt with this key runs, or its entry has just died")
	}
	_, err := e.claimError(verdict, p, c.ask, members)
	return nil, nil, err
}

// requestHash tells requests with the same key apart.
func requestHash(in ModelRequest) uint64 {
	h := fnv.New64a()
	_ = json.NewEncoder(h).Encode(in.Request)
	return h.Sum64()
}

// replay returns a flow that gives a recorded answer.
func recordedFlow(id string, a *claim.Answer, in ModelRequest) (*Flow, error) {
	var r recordedAnswer
	if err := json.Unmarshal(a.Body, &r); err != nil {
		return nil, fault.New(fault.OutcomeUnknown, fault.StepClaim, "", "the answer was too long to be kept; it was given once")
	}
	f := &Flow{ID: id, parts: make(chan stream.Chunk, 2), promptTokens: EstimateTokens(in.Request.Text())}
	f.parts <- stream.Chunk{Text: r.Text}
	f.parts <- stream.Chunk{Index: r.Tokens, Finish: r.Finish}
	close(f.parts)
	return f, nil
}

// settle records the outcome of a request that holds a claim: its answer, or
// that it has none, which frees the key for a retry. The channel that it returns is
// closed once the voters know; it is nil without a claim. Callers hold the lock.
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

// limitOnce cuts a request off before its claim runs out.
func (e *Entry) abortBeforeExpiry(f *Flow) {
	time.AfterFunc(claimTTL-claimMargin, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.flows[f.ID] == f {
			event.RequestFailed.Log(e.log, "request", f.ID, "detail", "the claim of its key is about to run out")
			e.abort(clock.VM.Now(), f, fault.EngineLost)
		}
	})
}
