package entry_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// scriptedHome stands in for an agent that gets no work. It sends the requests that are
// registered to one channel, and answers each once it receives from the other.
type scriptedHome struct {
	registered chan string
	answer     chan struct{}
}

func (h *scriptedHome) serve(l *wire.Link) {
	_ = l.Run(context.Background(), func(m *wire.Message) {
		if m.Register == nil {
			return
		}
		h.registered <- m.Register.Req
		<-h.answer
		_ = l.Send(&wire.Message{Registered: &wire.Registered{Req: m.Register.Req}})
	})
}

// keyWithHome returns a key whose home agent is home rather than one of the others.
func keyWithHome(home string, agents ...string) string {
	sum := func(name, key string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name + "/c/" + key))
		return h.Sum64()
	}
	for i := 0; ; i++ {
		key := fmt.Sprint("k", i)
		highest := true
		for _, a := range agents {
			highest = highest && sum(home, key) > sum(a, key)
		}
		if highest {
			return key
		}
	}
}

// TestRequestWaitsForKeyRegistration guards against running a request before it is registered
// at the home agent of its key: a retry through another entry could be registered before it and
// count as the older of the two.
func TestRequestWaitsForKeyRegistration(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	p, d := startServer(t, "p1", "z1"), startServer(t, "d1", "z1")
	home := &scriptedHome{registered: make(chan string, 1), answer: make(chan struct{}, 1)}
	homeAddr := serve(t, wire.Handler(quiet, wire.Options{Hello: func() wire.Hello {
		return wire.Hello{Name: "home", Role: wire.RoleAgent, Zone: "z1"}
	}}, home.serve))
	apply(t, c, 0, fmt.Sprintf(fleetSettings, 10)+siteSettings("s1", "z1", map[string]string{"p1": p}, map[string]string{"d1": d, "home": homeAddr}))
	e := startEntry(t, entry.Config{Name: "e1", Zone: "z1", Upstream: []string{addr}})
	waitRevision(t, e, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := runRequest(t, e); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))

	var f *entry.Flow
	job := entry.ModelRequest{
		Grant: settings.Grant{Customer: "c", Class: "desk"}, Key: keyWithHome("home", "p1", "d1"),
		Request: engine.Request{Model: "m", Prompt: "hello"},
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		f, err = e.Submit(t.Context(), job)
		assert.NilError(t, err)
		select {
		case <-home.registered:
			return poll.Success()
		case <-time.After(100 * time.Millisecond):
			f.Cancel()
			return poll.Continue("the link to the home agent is not open")
		}
	}, poll.WithTimeout(10*time.Second))
	early, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := f.Next(early)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "the request ran before it was registered: %v", err)
	home.answer <- struct{}{}
	_, err = f.Next(t.Context())
	assert.NilError(t, err)
}
