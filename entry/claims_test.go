package entry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// scriptedVoter stands in for the agent of a plain server. It grants every claim, answers every
// call, and confirms each outcome once it receives from the channel recorded.
type scriptedVoter struct {
	name     string
	recorded chan struct{}
}

func (v *scriptedVoter) serve(l *wire.Link) {
	_ = l.Run(context.Background(), func(m *wire.Message) {
		switch {
		case m.Grant != nil:
			_ = l.Send(&wire.Message{Granted: &claim.Vote{Key: m.Grant.Key, Attempt: m.Grant.Attempt, Voter: v.name, Incarnation: 1, OK: true}})
		case m.Call != nil:
			_ = l.Send(&wire.Message{Answer: &wire.Answer{ID: m.Call.ID, Sent: true, Status: 200}})
		case m.Record != nil:
			attempt := m.Record.Attempt
			go func() {
				<-v.recorded
				_ = l.Send(&wire.Message{Recorded: &wire.Recorded{Attempt: attempt}})
			}()
		case m.Register != nil:
			_ = l.Send(&wire.Message{Registered: &wire.Registered{Req: m.Register.Req}})
		}
	})
}

// startWithVoters starts an entry with one engine of each role and three voters of a service
// whose calls must not be repeated. Each value sent to recorded lets one voter confirm an
// outcome.
func startWithVoters(t *testing.T) (e *entry.Entry, recorded chan struct{}) {
	t.Helper()
	c, addr := startControl(t)
	p, d := startServer(t, "p1", "z1"), startServer(t, "d1", "z1")
	recorded = make(chan struct{})
	text := strings.Replace(fmt.Sprintf(fleetSettings, 10), "ttft: 5s, tbt: 1s}", "ttft: 5s, tbt: 1s, once: true, claim_group: licence}", 1)
	text = strings.Replace(text, "  sites:\n", "  services: {licence: {once: [/checkout], claim_group: {s1: [v1, v2, v3]}}}\n  sites:\n", 1)
	text += siteSettings("s1", "z1", map[string]string{"p1": p}, map[string]string{"d1": d})
	text += "        brokers:\n          role: service\n          service: licence\n          servers:\n"
	for _, name := range []string{"v1", "v2", "v3"} {
		v := &scriptedVoter{name: name, recorded: recorded}
		at := serve(t, wire.Handler(quiet, wire.Options{Hello: func() wire.Hello {
			return wire.Hello{Name: name, Role: wire.RoleAgent, Zone: "z1"}
		}}, v.serve))
		text += fmt.Sprintf("            %s: {agent: %q}\n", name, at)
	}
	apply(t, c, 0, text)
	e = startEntry(t, entry.Config{Name: "e1", Zone: "z1", Upstream: []string{addr}})
	e.SetRecordTimeout(time.Minute) // a busy machine must not end the wait for the voters
	waitRevision(t, e, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		servers := e.Dump().(entry.Dump).Servers
		for _, s := range servers {
			engine := s.Role != "service"
			if !s.Up || engine && (s.Free == 0 || len(s.Models) == 0) {
				return poll.Continue("%s: %+v", s.Name, s)
			}
		}
		if len(servers) < 5 {
			return poll.Continue("%d servers", len(servers))
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return e, recorded
}

// TestStreamEndsAfterMajorityRecordsOutcome guards against ending an answer before a majority of
// the voters has recorded the outcome: a retry that the caller then sends through another entry
// would be refused because the attempt seems to be running.
func TestStreamEndsAfterMajorityRecordsOutcome(t *testing.T) {
	t.Parallel()
	e, recorded := startWithVoters(t)
	f, err := e.Submit(t.Context(), entry.ModelRequest{
		Grant: settings.Grant{Customer: "c", Class: "desk"}, Key: "k", Request: engine.Request{Model: "m", Prompt: "hello"},
	})
	assert.NilError(t, err)
	for finished := false; !finished; {
		p, err := f.Next(t.Context())
		assert.NilError(t, err)
		finished = p.Finish != ""
	}
	recorded <- struct{}{}
	early, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = f.Next(early)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "the stream ended after one of three voters had recorded the outcome: %v", err)
	recorded <- struct{}{}
	_, err = f.Next(t.Context())
	assert.ErrorContains(t, err, "EOF")
}

// TestCallAnsweredAfterMajorityRecordsOutcome guards against the same fault for a call of a
// plain service.
func TestCallAnsweredAfterMajorityRecordsOutcome(t *testing.T) {
	t.Parallel()
	e, recorded := startWithVoters(t)
	done := make(chan error, 1)
	go func() {
		_, _, err := e.Call(t.Context(), entry.ServiceCall{
			Grant: settings.Grant{Customer: "c"}, Service: "licence", Key: "k", Method: "POST", Path: "/checkout",
		})
		done <- err
	}()
	recorded <- struct{}{}
	select {
	case err := <-done:
		t.Fatalf("the call was answered after one of three voters had recorded the outcome: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	recorded <- struct{}{}
	assert.NilError(t, <-done)
}

// TestDrainingEntryClaimsNoKey guards against a draining entry that claims the key of a request
// before it refuses it: if the entry stops before the voters have released the key, a retry through
// another entry is refused for as long as the claim is valid.
func TestDrainingEntryClaimsNoKey(t *testing.T) {
	t.Parallel()
	e, _ := startWithVoters(t)
	e.Drain(t.Context())
	_, err := e.Submit(t.Context(), entry.ModelRequest{
		Grant: settings.Grant{Customer: "c", Class: "desk"}, Key: "k", Request: engine.Request{Model: "m", Prompt: "hello"},
	})
	assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
	assert.Equal(t, e.OpenRequests(), 0, "the key was claimed, and its release is under way")
}
