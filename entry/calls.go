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

// ServiceCall is a call of a plain service as a caller brings it.
type ServiceCall struct {
	Grant   settings.Grant
	Service string
	Key     string
	Method  string
	Path    string
	Type    string
	Body    []byte
}

// callWait is a call that was sent and has no answer yet.
type pendingCall struct {
	server string
	answer chan *wire.Answer
}

// callTries bounds the servers that a call is tried at.
const maxCallAttempts = 3

// Call runs a call of a plain service and returns the service's answer.
func (e *Entry) Call(ctx context.Context, c ServiceCall) (*claim.Answer, string, error) {
	id := NewID()
	e.mu.Lock()
	if !e.settingsUsable() {
		e.mu.Unlock()
		return nil, id, fault.New(fault.NotReady, fault.StepAdmit, e.cfg.Name, "no confirmed settings yet")
	}
	if e.draining {
		e.mu.Unlock()
		return nil, id, fault.New(fault.Draining, fault.StepAdmit, e.cfg.Name, "this entry is leaving")
	}
	tree := e.store.Tree()
	svc, ok := tree.Fleet.Services[c.Service]
	e.addStepLocked(id, c, decision.Step{Kind: decision.Arrived, Detail: c.Method + " " + c.Path})
	e.mu.Unlock()
	if !ok {
		return nil, id, fault.New(fault.UnknownService, fault.StepAdmit, "", "no service "+c.Service)
	}
	if !isOnce(svc, c.Path) {
		ans, err := e.callRepeatable(ctx, id, c, svc)
		return ans, id, err
	}
	ans, err := e.callAtMostOnce(ctx, id, c, svc, tree)
	return ans, id, err
}

// once tells whether a call may not be repeated.
func isOnce(svc settings.Service, path string) bool {
	for _, prefix := range svc.Once {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// tell adds a step to the record of a plain call. Callers hold the lock.
func (e *Entry) addStepLocked(id string, c ServiceCall, s decision.Step) {
	rec := e.callRecords.GetOrCreate(id)
	rec.Customer, rec.Class = c.Grant.Customer, c.Grant.Class
	s.At, s.Process = clock.WallTime(), e.cfg.Name
	rec.Add(s)
}

// repeatable tries one server after the other until one answers.
func (e *Entry) callRepeatable(ctx context.Context, id string, c ServiceCall, svc settings.Service) (*claim.Answer, error) {
	lastDetail := "no server of the service is in reach"
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

// servers lists the servers of a service that may get new work, those of this
// zone first.
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

// send gives a call to an agent and waits for the answer. It reports false if
// there is none, so that the outcome is not known.
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
		return &wire.Answer{Detail: "no link to its agent"}, true
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

// failCalls ends the wait for answers of an agent whose link broke. Callers
// hold the lock.
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

// atMostOnce claims the key of a call before it is sent.
func (e *Entry) callAtMostOnce(ctx context.Context, id string, c ServiceCall, svc settings.Service, tree *settings.Tree) (*claim.Answer, error) {
	if c.Key == "" {
		return nil, fault.New(fault.KeyRequired, fault.StepClaim, "", "send an Idempotency-Key with this call")
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

// bodyHash tells calls with the same key apart.
func bodyHash(c ServiceCall) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Method + " " + c.Path + "\n"))
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// notWon tells the caller why its attempt sent nothing.
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

// runOnce sends a call whose claim is won. Only a send that surely did not
// reach the service goes on to another server.
func (e *Entry) callClaimed(ctx context.Context, id string, c ServiceCall, svc settings.Service, ask claim.VoteRequest, members []string) (*claim.Answer, error) {
	lastDetail := "no server of the service is in reach"
	for try, name := range e.serversOf(c.Service) {
		if try >= maxCallAttempts {
			break
		}
		ans, ok := e.sendCall(ctx, lease.ID{Req: id, Attempt: uint32(try + 1)}, name, c, svc, true)
		if !ok || ans.Sent && ans.Detail != "" {
			event.ClaimUnknown.Log(e.log, "request", id, "server", name)
			e.addStep(id, c, decision.Step{Kind: decision.Failure, Server: name, Detail: "sent, and no answer"})
			return nil, fault.New(fault.OutcomeUnknown, fault.StepCall, name, "the call was sent and no answer came")
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
