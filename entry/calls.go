package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// ServiceCall is a call of a plain service as received from a caller.
type ServiceCall struct {
	Grant   settings.Grant
	Service string
	Key     string // the Idempotency-Key; empty if none
	Method  string
	Path    string
	Type    string
	Body    []byte
}

// pendingCall is a call that was sent and has no answer yet.
type pendingCall struct {
	server string
	answer chan *wire.Answer
}

// maxCallAttempts is the maximum number of servers that a call is sent to.
const maxCallAttempts = 3

// Call sends a call to a server of its plain service and returns the answer and the ID
// of the call, which is set for errors, too.
func (e *Entry) Call(ctx context.Context, c ServiceCall) (*claim.Answer, string, error) {
	id := NewID()
	if err := e.accept(); err != nil {
		return nil, id, err
	}
	defer e.release()
	e.mu.Lock()
	tree := e.store.Tree()
	svc, ok := tree.Fleet.Services[c.Service]
	e.addStepLocked(id, c, decision.Step{Kind: decision.Arrived, Detail: c.Method + " " + c.Path})
	e.mu.Unlock()
	if !ok {
		return nil, id, fault.New(fault.UnknownService, fault.StepAdmit, "", "the settings have no service "+c.Service)
	}
	if !isOnce(svc, c.Path) {
		ans, err := e.callRepeatable(ctx, id, c, svc)
		return ans, id, err
	}
	ans, err := e.callAtMostOnce(ctx, id, c, svc, tree)
	return ans, id, err
}

// isOnce reports whether calls to a path must not be repeated.
func isOnce(svc settings.Service, path string) bool {
	for _, prefix := range svc.Once {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// addStepLocked adds a step to the record of a plain call. Callers hold the lock.
func (e *Entry) addStepLocked(id string, c ServiceCall, s decision.Step) {
	rec := e.callRecords.GetOrCreate(id)
	rec.Customer, rec.Class = c.Grant.Customer, c.Grant.Class
	s.At, s.Process = clock.WallTime(), e.cfg.Name
	rec.Add(s)
}

// callRepeatable sends a call to one server after the other until one answers.
func (e *Entry) callRepeatable(ctx context.Context, id string, c ServiceCall, svc settings.Service) (*claim.Answer, error) {
	lastDetail := "no server of the service is available"
	sent := false
	for try, name := range e.serversOf(c.Service) {
		if try >= maxCallAttempts || ctx.Err() != nil {
			break
		}
		if try > 0 && sent && !e.spendRetry() {
			break
		}
		ans, ok := e.sendCall(ctx, lease.ID{Req: id, Attempt: uint32(try + 1)}, name, c, svc, false)
		if ok && ans.Detail == "" {
			return &claim.Answer{Status: ans.Status, Type: ans.Type, Body: ans.Body}, nil
		}
		sent = sent || !ok || ans.Sent
		if ok {
			lastDetail = ans.Detail
		}
		e.addStep(id, c, decision.Step{Kind: decision.Failure, Server: name, Detail: lastDetail})
	}
	if !sent {
		return nil, fault.New(fault.NoServer, fault.StepCall, c.Service, lastDetail)
	}
	return nil, fault.New(fault.ServiceFailed, fault.StepCall, c.Service, lastDetail)
}

func (e *Entry) addStep(id string, c ServiceCall, s decision.Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addStepLocked(id, c, s)
}

func (e *Entry) spendRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.TakeRetry()
}

// serversOf returns the servers of a service that accept new work in random order,
// those of this availability zone first.
func (e *Entry) serversOf(service string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var local, remote []string
	for name, a := range e.agents {
		if a.placed.Service != service || a.link == nil || a.leaving || e.leaving[name] {
			continue
		}
		if a.placed.Zone == e.cfg.Zone {
			local = append(local, name)
		} else {
			remote = append(remote, name)
		}
	}
	sort.Strings(local)
	sort.Strings(remote)
	rng := e.core.View().Rand()
	rng.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote...)
}

// sendCall sends a call to an agent and waits for the answer. It reports false if
// there is none, so that the outcome is unknown.
func (e *Entry) sendCall(ctx context.Context, id lease.ID, server string, c ServiceCall, svc settings.Service, once bool) (*wire.Answer, bool) {
	limit := svc.TimeoutOrDefault()
	w := &pendingCall{server: server, answer: make(chan *wire.Answer, 1)}
	key := callKey(id)
	m := &wire.Call{ID: id, Method: c.Method, Path: c.Path, Type: c.Type, Body: c.Body, Limit: limit, Once: once}
	e.mu.Lock()
	e.pendingCalls[key] = w
	e.addStepLocked(id.Req, c, decision.Step{Kind: decision.Called, Server: server, Attempt: id.Attempt})
	ok := e.sendToAgent(server, &wire.Message{Call: m})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.pendingCalls, key)
		e.mu.Unlock()
	}()
	if !ok {
		return &wire.Answer{Detail: "no link to the agent"}, true
	}
	t := time.NewTimer(limit + time.Second)
	defer t.Stop()
	select {
	case ans := <-w.answer:
		return ans, ans != nil
	case <-t.C:
		return nil, false
	case <-e.ctx.Done():
		return nil, false
	}
}

func callKey(id lease.ID) string { return fmt.Sprintf("%s.%d", id.Req, id.Attempt) }

func (e *Entry) handleAnswer(m *wire.Answer) {
	if w := e.pendingCalls[callKey(m.ID)]; w != nil {
		select {
		case w.answer <- m:
		default:
		}
	}
}

// failCalls ends the pending calls at an agent whose link broke, without an answer.
// Callers hold the lock.
func (e *Entry) failCalls(server string) {
	for _, w := range e.pendingCalls {
		if w.server == server {
			select {
			case w.answer <- nil:
			default:
			}
		}
	}
}

// callAtMostOnce sends a call only after it has won the claim for the call's key.
func (e *Entry) callAtMostOnce(ctx context.Context, id string, c ServiceCall, svc settings.Service, tree *settings.Tree) (*claim.Answer, error) {
	if c.Key == "" {
		return nil, fault.New(fault.KeyRequired, fault.StepClaim, "", "this call requires an Idempotency-Key header")
	}
	site, members := claimGroup(svc, tree.Fleet.Customers[c.Grant.Customer].Home)
	ask := claim.VoteRequest{
		Key: c.Grant.Customer + "/" + c.Service + "/" + c.Key, Attempt: id, Body: bodyHash(c),
		Lifetime: svc.ClaimLifetimeOrDefault(), Group: c.Service + "@" + site,
	}
	verdict, p := e.claim(ctx, ask, members)
	e.addStep(id, c, decision.Step{Kind: decision.Claimed, Detail: fmt.Sprintf("group %s, %s", ask.Group, verdict)})
	if verdict != claim.Won {
		return e.claimError(verdict, p, ask, members)
	}
	return e.callClaimed(ctx, id, c, svc, ask, members)
}

// bodyHash returns a hash by which different calls with the same key are recognised.
func bodyHash(c ServiceCall) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Method + " " + c.Path + "\n"))
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// claimError returns the recorded answer of an earlier attempt, or an error that says why this
// attempt sent nothing. It releases the claim where this attempt may hold votes.
func (e *Entry) claimError(v claim.Verdict, p *claim.Proposer, ask claim.VoteRequest, members []string) (*claim.Answer, error) {
	if v != claim.KeyReused {
		e.releaseClaim(ask, members)
	}
	switch v {
	case claim.Answered:
		return p.Answer(), nil
	case claim.KeyReused:
		return nil, fault.New(fault.KeyReused, fault.StepClaim, ask.Group, "the key was used for another call")
	case claim.HeldByOther:
		return nil, fault.New(fault.OutcomeUnknown, fault.StepClaim, ask.Group, "another attempt with this key may have run")
	case claim.Unreachable:
		return nil, fault.New(fault.ClaimUnreached, fault.StepClaim, ask.Group, "this attempt sent nothing; an earlier one with this key may have run")
	}
	return nil, fault.New(fault.ClaimNotWon, fault.StepClaim, ask.Group, "no majority for the claim")
}

// callClaimed sends a call whose claim is won. It tries another server only if the
// call certainly did not reach the service.
func (e *Entry) callClaimed(ctx context.Context, id string, c ServiceCall, svc settings.Service, ask claim.VoteRequest, members []string) (*claim.Answer, error) {
	lastDetail := "no server of the service is available"
	for try, name := range e.serversOf(c.Service) {
		if try >= maxCallAttempts {
			break
		}
		ans, ok := e.sendCall(ctx, lease.ID{Req: id, Attempt: uint32(try + 1)}, name, c, svc, true)
		if !ok || ans.Sent && ans.Detail != "" {
			event.ClaimOutcomeUnknown.Log(e.log, "request", id, "server", name)
			e.addStep(id, c, decision.Step{Kind: decision.Failure, Server: name, Detail: "sent, but no answer was received"})
			return nil, fault.New(fault.OutcomeUnknown, fault.StepCall, name, "the call was sent, but no answer was received")
		}
		if ans.Sent {
			out := &claim.Answer{Status: ans.Status, Type: ans.Type, Body: ans.Body}
			<-e.sendRecord(&claim.Record{Key: ask.Key, Attempt: ask.Attempt, Answer: out}, members)
			e.addStep(id, c, decision.Step{Kind: decision.Done, Server: name, Detail: fmt.Sprintf("status %d", ans.Status)})
			return out, nil
		}
		lastDetail = ans.Detail
	}
	e.releaseClaim(ask, members)
	return nil, fault.New(fault.NoServer, fault.StepCall, c.Service, lastDetail)
}
