package agent_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/wire"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// peer is a link to an agent from a test that acts as an entry.
type peer struct {
	t    *testing.T
	link *wire.Link
	in   chan *wire.Message
}

func start(t *testing.T, c agent.Config) *peer {
	t.Helper()
	p, _ := startAgent(t, c)
	return p
}

func startAgent(t *testing.T, c agent.Config) (*peer, *agent.Agent) {
	t.Helper()
	c.Log = quiet
	a := agent.Start(c)
	srv := httptest.NewServer(a.Handler())
	t.Cleanup(func() { a.Close(); srv.Close() })
	l, err := wire.Dial(t.Context(), srv.Listener.Addr().String(), wire.Options{Hello: func() wire.Hello {
		return wire.Hello{Name: "entry", Role: wire.RoleEntry, Epoch: 1}
	}})
	assert.NilError(t, err)
	p := &peer{t: t, link: l, in: make(chan *wire.Message, 100)}
	go func() { _ = l.Run(context.Background(), func(m *wire.Message) { p.in <- m }) }()
	t.Cleanup(l.Close)
	return p, a
}

func (p *peer) send(m *wire.Message) { assert.NilError(p.t, p.link.Send(m)) }

// receive waits for a message for which f returns true.
func (p *peer) receive(f func(*wire.Message) bool) *wire.Message {
	p.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		select {
		case m := <-p.in:
			if f(m) {
				return m
			}
		case <-limit:
			p.t.Fatal("timeout while waiting for a message")
		}
	}
}

func (p *peer) settings(rev uint64, text string) {
	p.send(&wire.Message{Settings: &wire.Settings{Revision: rev, Sum: sha256.Sum256([]byte(text)), Whole: []byte(text), Confirmed: true}})
	p.receive(func(m *wire.Message) bool { return m.Heartbeat != nil && m.Heartbeat.Revision == rev })
}

func (p *peer) order(f order.Fence, model string) *order.Result {
	o := &order.Order{ID: model, Server: "s", Fence: f, Do: engine.Order{Action: engine.ActionLoad, Model: model}}
	p.send(&wire.Message{Order: o})
	return p.receive(func(m *wire.Message) bool { return m.Ordered != nil && m.Ordered.ID == model }).Ordered
}

// TestStaleOrdersAreRejected sends orders of leaders of several terms. It guards against an agent
// that executes an order of a deposed leader, or one before it has received a fence.
func TestStaleOrdersAreRejected(t *testing.T) {
	e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{Models: []string{"m"}, PrefillRate: 1, KVHold: time.Second})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	p := start(t, agent.Config{Name: "s", Engine: e.Addr()})
	assert.Assert(t, !p.order(order.Fence{Term: 3, Seq: 1}, "early").OK, "an order was executed before the agent had a fence")
	p.send(&wire.Message{Order: &order.Order{Floor: true, Fence: order.Fence{Term: 3}}})
	assert.Assert(t, p.order(order.Fence{Term: 3, Seq: 1}, "good").OK)
	assert.Assert(t, !p.order(order.Fence{Term: 2, Seq: 9}, "stale").OK)
	assert.Assert(t, p.order(order.Fence{Term: 4, Seq: 1}, "newer").OK)
	assert.Assert(t, !p.order(order.Fence{Term: 3, Seq: 2}, "late").OK)
	var done []string
	for _, o := range e.Orders() {
		done = append(done, o.Model)
	}
	assert.DeepEqual(t, done, []string{"good", "newer"})
}

const claimGroupSettings = `fleet:
  queue_limit: %d
  services: {svc: {once: [/x]%s}}
  sites: {a: {zone: z, pools: {p: {role: service, service: svc, servers: {
    s: {agent: "127.0.0.1:1"}, t: {agent: "127.0.0.1:2"}, u: {agent: "127.0.0.1:3"}}}}}}
`

func (p *peer) vote() *claim.Vote {
	p.send(&wire.Message{Grant: &claim.VoteRequest{Key: "k", Attempt: "1", Lifetime: time.Hour}})
	return p.receive(func(m *wire.Message) bool { return m.Granted != nil }).Granted
}

// TestOnlyVoterOfNewGroupVotesAtOnce adds a claim group while an agent is running, and starts
// another agent with settings that already have the group. It guards against a voter of a new
// group that never votes, and against one of an older group that votes before it has copied the
// grants: it could grant a key that was granted before.
func TestOnlyVoterOfNewGroupVotesAtOnce(t *testing.T) {
	withGroup := fmt.Sprintf(claimGroupSettings, 2, ", claim_group: {a: [s, t, u]}")
	runningVoter := start(t, agent.Config{Name: "s", Service: "127.0.0.1:4"})
	runningVoter.settings(1, "fleet: {services: {svc: {}}, sites: {a: {zone: z, pools: {p: {role: service, service: svc, servers: {s: {agent: \"127.0.0.1:1\"}}}}}}}")
	assert.Assert(t, runningVoter.vote().Cold)
	runningVoter.settings(2, withGroup)
	assert.Assert(t, runningVoter.vote().OK, "the voter of a new group must vote")

	newVoter := start(t, agent.Config{Name: "s", Service: "127.0.0.1:4"})
	newVoter.settings(2, withGroup)
	assert.Assert(t, newVoter.vote().Cold, "the group may have granted claims before")
}

// TestStoppingAgentAnswersCalls stops an agent, and sends it a call once it reports that it leaves.
// It guards against an agent whose link ends before it has answered: the entry can't know that the
// call didn't run.
func TestStoppingAgentAnswersCalls(t *testing.T) {
	s, err := standin.StartService("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(s.Kill)
	p, a := startAgent(t, agent.Config{Name: "s", Service: s.Addr()})
	go func() {
		a.Drain(context.Background())
		a.Close()
	}()
	p.receive(func(m *wire.Message) bool {
		return m.Heartbeat != nil && m.Heartbeat.Load != nil && m.Heartbeat.Load.Leaving
	})
	p.send(&wire.Message{Call: &wire.Call{ID: lease.ID{Req: "late", Attempt: 1}, Method: "POST", Path: "/checkout", Limit: time.Second, Once: true}})
	answer := p.receive(func(m *wire.Message) bool { return m.Answer != nil }).Answer
	assert.Assert(t, !answer.Sent && answer.Detail == "leaving", "%+v", answer)
}
