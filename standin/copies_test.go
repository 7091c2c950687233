package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/standin"
)

// pair is two decode engines; runs of the first are copied to the second.
type pair struct {
	t        *testing.T
	from, to *standin.Backend
}

const pairEvents = 100000

func newPair(t *testing.T, behaviour standin.Behaviour) *pair {
	t.Helper()
	g := standin.NewBackendGroup()
	start := func(id string) *standin.Backend {
		b, err := g.StartBackend("127.0.0.1:0", id, "decode", backend.DefaultHeaders)
		assert.NilError(t, err)
		t.Cleanup(b.Kill)
		b.SetPace(0, 2*time.Millisecond, pairEvents)
		b.SetBehaviour(behaviour)
		return b
	}
	return &pair{t: t, from: start("d1"), to: start("d2")}
}

// run sends a request and returns its answer once it has begun. A source names a KV cache from
// which the run continues after an event.
func (p *pair) run(ctx context.Context, b *standin.Backend, id, source string, after int) *http.Response {
	p.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Addr()+"/x", strings.NewReader("x"))
	assert.NilError(p.t, err)
	h := backend.DefaultHeaders
	r.Header.Set(h.RequestID, id)
	if source != "" {
		r.Header.Set(h.KVSource, source)
		r.Header.Set(h.LastEventID, strconv.Itoa(after))
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(p.t, err)
	p.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// first reads the first event of an answer.
func (p *pair) first(resp *http.Response) string {
	p.t.Helper()
	buf := make([]byte, 256)
	n, err := resp.Body.Read(buf)
	assert.NilError(p.t, err)
	event, _, _ := strings.Cut(string(buf[:n]), "\n\n")
	return event
}

// copyAnswer is the answer to a copy call.
type copyAnswer struct {
	Handle string
	Made   int
}

func (p *pair) copy(id string, stop bool) (int, copyAnswer) {
	p.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"target":%q,"stop":%v}`, id, p.to.Addr(), stop)
	status, answer, err := standin.Call(p.t.Context(), http.DefaultClient, http.MethodPost, "http://"+p.from.Addr()+standin.CopyPath, body)
	assert.NilError(p.t, err)
	var out copyAnswer
	if answer != "" {
		assert.NilError(p.t, json.Unmarshal([]byte(answer), &out))
	}
	return status, out
}

// TestCopyServesStoppedRunOnce guards against copies that lack events of their run, that end it
// before it is stopped, or that several requests continue. The copy can be continued once, at the
// engine that it was sent to.
func TestCopyServesStoppedRunOnce(t *testing.T) {
	p := newPair(t, standin.Behaviour{})
	status, _ := p.copy("q", false)
	assert.Equal(t, status, http.StatusNotFound, "no such run")
	resp := p.run(t.Context(), p.from, "q", "", 0)
	p.first(resp)
	status, one := p.copy("q", false)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, one.Made >= 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, two := p.copy("q", false)
		if status != http.StatusOK || two.Made == one.Made {
			return poll.Continue("the run generated no events")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	status, last := p.copy("q", true)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, last.Made > one.Made)
	buf := make([]byte, 1<<16)
	var err error
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	assert.ErrorContains(t, err, "unexpected EOF")
	status, _ = p.copy("q", true)
	assert.Equal(t, status, http.StatusNotFound, "the run has ended")

	source := p.from.Addr() + "/" + last.Handle
	resumed := p.run(t.Context(), p.to, "q", source, 1)
	assert.Equal(t, p.first(resumed), "id: 2\ndata: event 2", "after the event that the request names")
	assert.Equal(t, p.run(t.Context(), p.to, "q", source, 1).StatusCode, http.StatusServiceUnavailable, "a copy is claimed once")
}

// TestSecondConcurrentCopyIsRefused guards against two copies of a run at the same time.
func TestSecondConcurrentCopyIsRefused(t *testing.T) {
	p := newPair(t, standin.Behaviour{CopyTime: 50 * time.Millisecond})
	p.from.SetPace(0, time.Hour, pairEvents)
	p.first(p.run(t.Context(), p.from, "q", "", 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		other := make(chan int)
		go func() {
			status, _ := p.copy("q", false)
			other <- status
		}()
		status, _ := p.copy("q", false)
		if sum := status + <-other; sum != http.StatusOK+http.StatusConflict {
			return poll.Continue("the calls did not overlap")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestCopyContinuesAtConfiguredEvent checks where engines continue a copy: after the event that
// the request names, or, if they break the contract, according to their own last event.
func TestCopyContinuesAtConfiguredEvent(t *testing.T) {
	for _, tt := range []struct {
		goesOn standin.ContinueFrom
		first  func(generated int) int
	}{
		{standin.AfterLastID, func(int) int { return 2 }},
		{standin.AfterGenerated, func(generated int) int { return generated + 1 }},
		{standin.AtGenerated, func(generated int) int { return generated }},
	} {
		p := newPair(t, standin.Behaviour{ContinueFrom: tt.goesOn})
		p.first(p.run(t.Context(), p.from, "q", "", 0))
		_, last := p.copy("q", true)
		got := p.first(p.run(t.Context(), p.to, "q", p.from.Addr()+"/"+last.Handle, 1))
		assert.Equal(t, got+"\n\n", standin.PlainEvent(tt.first(last.Made)), "generated %d", last.Made)
	}
}

// TestForeignKVCacheIsRecorded guards against a run on another request's KV cache that goes
// unnoticed.
func TestForeignKVCacheIsRecorded(t *testing.T) {
	p := newPair(t, standin.Behaviour{})
	p.first(p.run(t.Context(), p.from, "q", "", 0))
	_, last := p.copy("q", true)
	p.first(p.run(t.Context(), p.to, "other", p.from.Addr()+"/"+last.Handle, 0))
	assert.Assert(t, p.to.Arrivals()[0].Mixed && p.to.Arrivals()[0].Continues)
}

// TestLingeringRunBesideItsRepetition checks that a run continues for a time after its connection
// has closed, that the same request can run beside it, and that a copy call applies to the
// configured one of the two.
func TestLingeringRunBesideItsRepetition(t *testing.T) {
	for _, oldest := range []bool{true, false} {
		p := newPair(t, standin.Behaviour{Linger: time.Minute, OldestFirst: oldest})
		ctx, cancel := context.WithCancel(t.Context())
		p.first(p.run(ctx, p.from, "q", "", 0))
		cancel()
		resp := p.run(t.Context(), p.from, "q", "", 0)
		p.first(resp)
		assert.Equal(t, p.from.Running(), 2)
		status, _ := p.copy("q", true)
		assert.Equal(t, status, http.StatusOK)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if p.from.Running() != 1 {
				return poll.Continue("both runs are still active")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
		a := p.from.Arrivals()
		assert.Equal(t, a[0].Ended.IsZero(), !oldest)
		assert.Equal(t, a[1].Ended.IsZero(), oldest)
	}
}
