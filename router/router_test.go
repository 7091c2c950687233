package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

var start = time.Unix(1000, 0)

func newCore(prefill, decode int) *router.Core {
	v := placement.NewView("z", rand.New(rand.NewPCG(1, 1)))
	for i := range prefill + decode {
		name, role := fmt.Sprint("p", i), "prefill"
		if i >= prefill {
			name, role = fmt.Sprint("d", i-prefill), "decode"
		}
		v.Set(placement.ServerConfig{Name: name, Zone: "z", Role: role, Models: []string{"m"}, Slots: 4, LinkRate: 1e9})
		v.SetConnected(name, true)
	}
	return router.New(v, router.Options{
		Policy: router.DefaultPolicy(), QueueLimit: 100, RetryPercent: 50, StallAfter: time.Second, MaxRecords: 64, Name: "e",
	})
}

func request(id string) router.Request {
	return router.Request{
		ID: id, Customer: "c", Class: "desk", Model: "m", Tokens: 80, KVBytes: 1000,
		TTFT: 330 * time.Millisecond, TBT: 75 * time.Millisecond,
	}
}

var slots = placement.Load{Slots: 4, Models: []string{"m"}}

// effectsOf returns the effects of one type.
func effectsOf[T router.Effect](effects []router.Effect) []T {
	var out []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// startPrefill submits a request and grants both of its reservations.
func startPrefill(t *testing.T, c *router.Core, id string) (p, d router.Reserve) {
	t.Helper()
	rs := effectsOf[router.Reserve](c.Submit(start, request(id), 0))
	assert.Equal(t, len(rs), 2, "both slots are requested before any work")
	p, d = rs[0], rs[1]
	assert.Equal(t, len(effectsOf[router.StartPrefill](c.Reserved(start, d.Server, d.ID, true, "", slots))), 0)
	assert.Equal(t, len(effectsOf[router.StartPrefill](c.Reserved(start, p.Server, p.ID, true, "", slots))), 1)
	return p, d
}

func kv() engine.KV { return engine.KV{Tokens: 80, Bytes: 1000, TTL: 5 * time.Second} }

func TestRefusalsOnSubmit(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*router.Core)
		modify func(*router.Request)
		limit  int
		want   *fault.Code
	}{
		{name: "draining", before: func(c *router.Core) { c.SetDraining() }, want: fault.Draining},
		{name: "unknown model", modify: func(r *router.Request) { r.Model = "x" }, want: fault.NoServer},
		{name: "over the customer's limit", before: func(c *router.Core) { c.Submit(start, request("other"), 0) }, limit: 1, want: fault.OverLimit},
		{name: "already open", before: func(c *router.Core) { c.Submit(start, request("r"), 0) }, want: fault.InProgress},
		{name: "target out of reach", modify: func(r *router.Request) { r.Tokens = 1e6 }, want: fault.TargetOutOfReach},
		{name: "queue full", before: func(c *router.Core) {
			c.SetLimits(1, 10, time.Second)
			for i := range 5 {
				c.Submit(start, request(fmt.Sprint("w", i)), 0)
			}
		}, want: fault.QueueFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newCore(1, 1)
			if c.before != nil {
				c.before(core)
			}
			r := request("r")
			if c.modify != nil {
				c.modify(&r)
			}
			got := effectsOf[router.Refuse](core.Submit(start, r, c.limit))
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Code, c.want)
			assert.Assert(t, c.want.NotRun || c.want == fault.InProgress)
			assert.Assert(t, got[0].RetryAfter > 0)
		})
	}
}

func TestRequestCompletes(t *testing.T) {
	c := newCore(1, 1)
	p, d := startPrefill(t, c, "r")
	effects := c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
	assert.Equal(t, len(effectsOf[router.StartDecode](effects)), 1)
	effects = c.Imported(start, d.Server, d.ID)
	assert.DeepEqual(t, effectsOf[router.Release](effects), []router.Release{{ID: p.ID, Server: p.Server}})
	c.Token(start, d.ID, 1)
	c.Done(start, d.ID, 0)
	assert.Equal(t, c.Open(), 0)
	assert.Equal(t, c.View().Server(d.Server).OwnSlots(), 0)
	rec, ok := c.Explain("r")
	assert.Assert(t, ok && len(rec.Steps) > 6)
}

func TestRefusedReservationReleasesTheOther(t *testing.T) {
	c := newCore(1, 2)
	rs := effectsOf[router.Reserve](c.Submit(start, request("r"), 0))
	p, d := rs[0], rs[1]
	c.Reserved(start, p.Server, p.ID, true, "", slots)
	full := placement.Load{Slots: 4, Others: 4, Models: []string{"m"}}
	effects := c.Reserved(start, d.Server, d.ID, false, "full", full)
	assert.DeepEqual(t, effectsOf[router.Release](effects), []router.Release{{ID: p.ID, Server: p.Server}})
	retried := effectsOf[router.Reserve](effects)
	assert.Equal(t, len(retried), 2, "a new attempt starts at once")
	assert.Assert(t, retried[1].Server != d.Server)
	assert.Equal(t, retried[0].ID.Attempt, uint32(2))
}

// TestFailureInEachPhase fails a server of a request in each phase and checks
// how the request continues.
func TestFailureInEachPhase(t *testing.T) {
	t.Run("prefill lost", func(t *testing.T) {
		c := newCore(2, 1)
		p, d := startPrefill(t, c, "r")
		effects := c.Failed(start, p.Server, p.ID, fault.StepPrefill, "died", true)
		assert.Equal(t, len(effectsOf[router.Release](effects)), 2, "both slots are released")
		retried := effectsOf[router.Reserve](effects)
		assert.Assert(t, retried[0].Server != p.Server)
		assert.Equal(t, retried[1].Server, d.Server)
	})
	t.Run("decode lost during prefill", func(t *testing.T) {
		c := newCore(1, 2)
		p, d := startPrefill(t, c, "r")
		effects := c.Failed(start, d.Server, d.ID, fault.StepLink, "gone", false)
		assert.Equal(t, len(effectsOf[router.StartPrefill](effects)), 0, "the prefill continues")
		effects = c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
		assert.Assert(t, effectsOf[router.Reserve](effects)[0].Server != d.Server)
	})
	t.Run("transfer stalls", func(t *testing.T) {
		c := newCore(1, 2)
		p, d := startPrefill(t, c, "r")
		c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
		effects := c.Tick(start.Add(1500 * time.Millisecond))
		assert.DeepEqual(t, effectsOf[router.Release](effects), []router.Release{{ID: d.ID, Server: d.Server}})
		next := effectsOf[router.Reserve](effects)[0]
		assert.Assert(t, next.Server != d.Server)
		assert.Equal(t, next.Role, router.Decode, "the prefill is not repeated")
		effects = c.Reserved(start, next.Server, next.ID, true, "", slots)
		assert.Equal(t, len(effectsOf[router.StartDecode](effects)), 1)
		assert.Equal(t, c.Stats().WastedTokens[router.WasteTransferFailed], 0)
	})
	t.Run("a long transfer stalls", func(t *testing.T) {
		c := newCore(1, 2)
		p, d := startPrefill(t, c, "r")
		long := kv()
		long.Bytes = 1e9 // one second on the link; the KV cache expires after five
		c.Prefilled(start, p.Server, p.ID, long, 0, time.Millisecond)
		effects := c.Tick(start.Add(3100 * time.Millisecond))
		assert.DeepEqual(t, effectsOf[router.Release](effects), []router.Release{{ID: d.ID, Server: d.Server}})
		assert.Assert(t, effectsOf[router.Reserve](effects)[0].Server != d.Server, "there is time for a second transfer")
	})
	t.Run("retry budget exhausted", func(t *testing.T) {
		c := newCore(1, 1)
		c.SetLimits(100, 0, time.Second)
		p, _ := startPrefill(t, c, "r")
		effects := c.Failed(start, p.Server, p.ID, fault.StepPrefill, "died", true)
		fails := effectsOf[router.Fail](effects)
		assert.Equal(t, len(fails), 1)
		assert.Assert(t, !fails[0].Code.NotRun)
	})
	t.Run("decode lost and none free", func(t *testing.T) {
		c := newCore(1, 2)
		p, d := startPrefill(t, c, "r")
		c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
		c.Imported(start, d.Server, d.ID)
		c.Token(start, d.ID, 1)
		other := map[string]string{"d0": "d1", "d1": "d0"}[d.Server]
		c.Report(start, other, placement.Load{Slots: 4, Others: 4, Models: []string{"m"}})
		c.Report(start, d.Server, placement.Load{Slots: 4, NoModels: true})
		effects := c.Failed(start, d.Server, d.ID, fault.StepDecode, "died", true)
		later := start.Add(time.Second)
		effects = append(effects, c.Tick(later)...)
		assert.Equal(t, len(effectsOf[router.Fail](effects)), 0, "a request with generated tokens waits for a slot")
		effects = c.Report(later, other, slots)
		assert.Equal(t, effectsOf[router.Reserve](effects)[1].Server, other)
	})
	t.Run("kv expires", func(t *testing.T) {
		c := newCore(1, 1)
		p, d := startPrefill(t, c, "r")
		c.Failed(start, d.Server, d.ID, fault.StepLink, "gone", false)
		c.View().SetConnected(d.Server, false)
		c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
		c.Tick(start.Add(6 * time.Second))
		assert.Equal(t, c.Stats().WastedTokens[router.WasteKVExpired], 80)
	})
}

func TestReconnectedServerResumesAttempts(t *testing.T) {
	c := newCore(1, 1)
	p, d := startPrefill(t, c, "r")
	c.LinkLost(p.Server)
	got, _ := c.LinkRestored(start, p.Server)
	assert.DeepEqual(t, got, []router.ResumableAttempt{{ID: p.ID}})
	c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
	c.LinkLost(d.Server)
	got, _ = c.LinkRestored(start, d.Server)
	assert.DeepEqual(t, got, []router.ResumableAttempt{{ID: d.ID, Decode: true}})
}

func TestCancelReleasesAllSlots(t *testing.T) {
	c := newCore(1, 1)
	p, d := startPrefill(t, c, "r")
	effects := c.Cancel(start, "r")
	assert.DeepEqual(t, effectsOf[router.Release](effects), []router.Release{{ID: p.ID, Server: p.Server}, {ID: d.ID, Server: d.Server}})
	assert.Equal(t, c.Open(), 0)
	assert.Equal(t, len(c.Prefilled(start, p.Server, p.ID, kv(), 0, 0)), 0, "a late result has no effect")
}

// TestRandomEventsLeakNoSlot sends random events to a Core, also late and
// invalid ones. Each request must end at most once, a request that ran must not
// be refused with a code that claims it did not, each reservation must be
// released or done, and no slot may be counted as used in the end.
func TestRandomEventsLeakNoSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(2, 2)
		now := start
		type work struct {
			id     lease.ID
			server string
		}
		held := map[work]bool{}
		ran := map[string]bool{}
		ended := map[string]string{}
		var reserves []router.Reserve
		var decodes []router.StartDecode
		var prefills []router.StartPrefill
		end := func(req, how string) {
			if ended[req] != "" {
				t.Fatalf("%s ended as %s after it ended as %s", req, how, ended[req])
			}
			ended[req] = how
		}
		do := func(effects []router.Effect) {
			for _, e := range effects {
				switch x := e.(type) {
				case router.Reserve:
					held[work{x.ID, x.Server}] = true
					reserves = append(reserves, x)
				case router.StartPrefill:
					ran[x.ID.Req] = true
					prefills = append(prefills, x)
				case router.StartDecode:
					decodes = append(decodes, x)
				case router.Release:
					delete(held, work{x.ID, x.Server})
				case router.Refuse:
					if x.Code.NotRun && ran[x.Req] {
						t.Fatalf("%s ran but was refused with code %s", x.Req, x.Code.ID)
					}
					end(x.Req, "refused")
				case router.Fail:
					end(x.Req, "failed")
				}
			}
		}
		for n := range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				do(c.Submit(now, request(fmt.Sprint("r", n)), 0))
			case 2, 3:
				if len(reserves) > 0 {
					r := reserves[pick(len(reserves))]
					ok := rapid.IntRange(0, 3).Draw(t, "given") > 0
					if !ok {
						delete(held, work{r.ID, r.Server})
					}
					do(c.Reserved(now, r.Server, r.ID, ok, "full", slots))
				}
			case 4:
				if len(prefills) > 0 {
					p := prefills[pick(len(prefills))]
					do(c.Prefilled(now, p.Server, p.ID, kv(), 0, time.Millisecond))
				}
			case 5:
				if len(decodes) > 0 {
					d := decodes[pick(len(decodes))]
					do(c.Imported(now, d.Server, d.ID))
				}
			case 6:
				if len(decodes) > 0 {
					d := decodes[pick(len(decodes))]
					before := c.Stats().Done
					do(c.Done(now, d.ID, time.Millisecond))
					if c.Stats().Done > before {
						delete(held, work{d.ID, d.Server})
						end(d.ID.Req, "done")
					}
				}
			case 7:
				if len(reserves) > 0 {
					r := reserves[pick(len(reserves))]
					do(c.Failed(now, r.Server, r.ID, fault.StepPrefill, "any", rapid.Bool().Draw(t, "blame")))
				}
			case 8:
				do(c.Tick(now))
			case 9:
				req := fmt.Sprint("r", pick(n+1))
				before := c.Stats().Cancelled
				do(c.Cancel(now, req))
				if c.Stats().Cancelled > before {
					end(req, "cancelled")
				}
			}
		}
		for _, name := range []string{"p0", "p1", "d0", "d1"} {
			do(c.ServerDown(now, name))
		}
		do(c.Tick(now.Add(time.Hour)))
		do(c.Tick(now.Add(2 * time.Hour)))
		if c.Open() != 0 || c.Waiting() != 0 {
			t.Fatalf("%d requests open and %d waiting at the end", c.Open(), c.Waiting())
		}
		for _, name := range []string{"p0", "p1", "d0", "d1"} {
			if n := c.View().Server(name).OwnSlots(); n != 0 {
				t.Fatalf("%d slots of %s are still counted as used", n, name)
			}
		}
		for w := range held {
			t.Fatalf("%v was never released; its request ended as %q", w, ended[w.id.Req])
		}
	})
}
