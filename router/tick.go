package router

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/admission"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/placement"
)

// TickEvery is how often the shell should call Tick.
const TickInterval = 5 * time.Millisecond

// shedEvery is how often the queues are looked through for requests that
// can't meet their target.
const shedInterval = 50 * time.Millisecond

// Tick does what is due: stalled work, requests without hope, waiting ones.
func (c *Core) Tick(now time.Time) []Effect {
	for c.timers.Len() > 0 && !c.timers.First().timerAt.After(now) {
		c.timeout(now, c.timers.First())
	}
	if now.Sub(c.lastShed) >= shedInterval {
		c.lastShed = now
		c.shed(now)
	}
	c.retryDecodeSearch(now)
	c.scheduleAll(now)
	return c.takeEffects()
}

// Report takes a load report of a server.
func (c *Core) Report(now time.Time, server string, load placement.Load) []Effect {
	c.view.Report(server, load)
	c.scheduleAll(now)
	return c.takeEffects()
}

func (c *Core) scheduleAll(now time.Time) {
	if c.waiting == 0 {
		return
	}
	for _, model := range sortedKeys(c.queues) {
		c.resetRefusals(model)
		c.schedule(now, model)
	}
}

// forgive lets requests that agents refused too often try again.
func (c *Core) resetRefusals(model string) {
	for level := 0; level < placement.Priorities; level++ {
		if item := c.queue(model).Peek(level); item != nil {
			c.reqs[item.ID].refusals = 0
		}
	}
}

// timeout handles a request whose present phase takes too long.
func (c *Core) timeout(now time.Time, r *request) {
	c.stopTimer(r)
	switch r.phase {
	case reserving:
		c.reservationTimedOut(now, r)
	case seeking:
		c.failed(now, r, r.decode.server.Name, fault.StepReserve, "no answer to the reservation", true)
	case prefilling:
		if !r.reserveDecodeAt.IsZero() && now.Before(r.stalledAt) {
			c.reserveDecodeSlot(now, r)
			return
		}
		c.failed(now, r, r.prefill.server.Name, fault.StepPrefill, "the prefill stalled", true)
	case importing:
		c.failed(now, r, r.decode.server.Name, fault.StepTransfer, "the transfer stalled", true)
	case decoding:
		c.checkDecodeStall(now, r)
	}
}

func (c *Core) reservationTimedOut(now time.Time, r *request) {
	slow := r.prefill.server
	if r.prefill.granted && r.decode.server != nil {
		slow = r.decode.server
	}
	c.failed(now, r, slow.Name, fault.StepReserve, "no answer to the reservation", true)
}

// quietDecode fails a decode only if no token came since the timer was set.
func (c *Core) checkDecodeStall(now time.Time, r *request) {
	end := r.lastTokenAt.Add(decodeLimit(r))
	if now.Before(end) {
		c.setTimer(r, end)
		return
	}
	c.failed(now, r, r.decode.server.Name, fault.StepDecode, "no token for "+decodeLimit(r).String(), true)
}

// shed refuses waiting requests that can't meet their target: those for which
// even an idle server is too slow now, and, where a queue is served too slowly
// for all, the largest.
func (c *Core) shed(now time.Time) {
	if !c.opts.Policy.EnforceDeadlines {
		return
	}
	for _, model := range sortedKeys(c.queues) {
		q := c.queues[model]
		for level := 0; level < placement.Priorities; level++ {
			c.shedLevel(now, model, q, level)
		}
	}
}

func (c *Core) shedLevel(now time.Time, model string, q *admission.Queue, level int) {
	next := q.Peek(level)
	waiting := next != nil && next.Priority == level
	d := c.serviceRateOf(model, level)
	d.update(now, waiting)
	if !waiting {
		return
	}
	minTime := func(item *admission.Item) time.Duration { return c.view.MinTTFT(now, c.reqs[item.ID].query()) }
	late := q.RemoveLate(level, now, minTime)
	if d.mean > 0 {
		late = append(late, q.Shed(level, now, d.mean)...)
	}
	for _, item := range late {
		c.waiting--
		c.refuseShed(now, c.reqs[item.ID])
	}
}

func (c *Core) refuseShed(now time.Time, r *request) {
	if r.ran {
		c.fail(now, r, "no server was free for the retry in time")
		return
	}
	c.refuse(now, r, fault.TargetOutOfReach, "the queue can't serve all in time", c.retryAfter(r))
}

// State is one row of the state dump.
type RequestState struct {
	ID       string        `json:"id"`
	Customer string        `json:"customer"`
	Class    string        `json:"class"`
	Phase    string        `json:"phase"`
	Attempt  uint32        `json:"attempt"`
	Prefill  string        `json:"prefill,omitempty"`
	Decode   string        `json:"decode,omitempty"`
	Age      time.Duration `json:"age_ns"`
}

// maxDump bounds the rows of a state dump.
const maxDump = 1000

// Dump lists open requests, the oldest first.
func (c *Core) Dump(now time.Time) []RequestState {
	out := make([]RequestState, 0, len(c.reqs))
	for _, r := range c.reqs {
		s := RequestState{ID: r.ID, Customer: r.Customer, Class: r.Class, Phase: r.phase.String(), Attempt: r.attempt, Age: now.Sub(r.arrived)}
		if r.prefill.server != nil {
			s.Prefill = r.prefill.server.Name
		}
		if r.decode.server != nil {
			s.Decode = r.decode.server.Name
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Age > out[j].Age || out[i].Age == out[j].Age && out[i].ID < out[j].ID
	})
	return out[:min(len(out), maxDump)]
}

// rateKey names a level of a model's queue.
type rateKey struct {
	model    string
	priority int
}

// drain measures how much work a queue gives to the servers in a second. Only
// time in which something waits counts: a queue that runs empty tells nothing
// of how fast it could be served.
type serviceRate struct {
	windowStart time.Time
	tokens      float64
	mean        float64
}

// drainWindow is the time over which the rate is measured.
const rateWindow = time.Second

func (d *serviceRate) add(tokens int) { d.tokens += float64(tokens) }

// watch closes a window that is over, or drops all if nothing waits.
func (d *serviceRate) update(now time.Time, waiting bool) {
	if !waiting {
		*d = serviceRate{windowStart: now}
		return
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	rate := d.tokens / elapsed.Seconds()
	if d.mean == 0 {
		d.mean = rate
	}
	d.mean = (d.mean + rate) / 2
	d.tokens, d.windowStart = 0, now
}

func (c *Core) serviceRateOf(model string, priority int) *serviceRate {
	k := rateKey{model, priority}
	d := c.serviceRates[k]
	if d == nil {
		d = &serviceRate{}
		c.serviceRates[k] = d
	}
	return d
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
