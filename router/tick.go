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

// TickInterval is the interval at which Tick should be called.
const TickInterval = 5 * time.Millisecond

// shedInterval is the interval at which the queues are searched for requests
// that can't meet their deadline.
const shedInterval = 50 * time.Millisecond

// Tick handles expired timers, refuses requests that can't meet their deadline,
// and starts waiting requests.
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

// Report handles a load report of a server.
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

// resetRefusals lets the first request of each priority try again if agents
// rejected too many of its reservations.
func (c *Core) resetRefusals(model string) {
	for level := 0; level < placement.Priorities; level++ {
		if item := c.queue(model).Peek(level); item != nil {
			c.reqs[item.ID].refusals = 0
		}
	}
}

// timeout handles the expired timer of a request.
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

// reservationTimedOut blames the decode server if the prefill slot is granted,
// and the prefill server otherwise.
func (c *Core) reservationTimedOut(now time.Time, r *request) {
	slow := r.prefill.server
	if r.prefill.granted && r.decode.server != nil {
		slow = r.decode.server
	}
	c.failed(now, r, slow.Name, fault.StepReserve, "no answer to the reservation", true)
}

// checkDecodeStall fails a decode that produced no token for decodeLimit, and
// sets the timer again otherwise.
func (c *Core) checkDecodeStall(now time.Time, r *request) {
	end := r.lastTokenAt.Add(decodeLimit(r))
	if now.Before(end) {
		c.setTimer(r, end)
		return
	}
	c.failed(now, r, r.decode.server.Name, fault.StepDecode, "no token for "+decodeLimit(r).String(), true)
}

// shed refuses waiting requests that can't meet their deadline: those that would
// be late even on an idle server and, if a queue is served too slowly for all
// its requests, the largest ones.
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
	c.refuse(now, r, fault.TargetOutOfReach, "the queue can't serve all requests in time", c.retryAfter(r))
}

// RequestState is one row of the state dump.
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

// maxDump is the maximum number of rows of a state dump.
const maxDump = 1000

// Dump returns the open requests, the oldest first.
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

// rateKey identifies the requests of one priority in a model's queue.
type rateKey struct {
	model    string
	priority int
}

// serviceRate measures the prefill tokens a second that a queue starts on the
// servers. Only time in which requests wait counts: an empty queue gives no
// evidence of how fast it could be served.
type serviceRate struct {
	windowStart time.Time
	tokens      float64
	mean        float64
}

// rateWindow is the time over which the rate is measured.
const rateWindow = time.Second

func (r *serviceRate) add(tokens int) { r.tokens += float64(tokens) }

// update updates the mean at the end of a window, or resets it if no request
// waits. The first window begins with the first call.
func (r *serviceRate) update(now time.Time, waiting bool) {
	if !waiting {
		*r = serviceRate{windowStart: now}
		return
	}
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	rate := r.tokens / elapsed.Seconds()
	if r.mean == 0 {
		r.mean = rate
	}
	r.mean = (r.mean + rate) / 2
	r.tokens, r.windowStart = 0, now
}

func (c *Core) serviceRateOf(model string, priority int) *serviceRate {
	k := rateKey{model, priority}
	r := c.serviceRates[k]
	if r == nil {
		r = &serviceRate{}
		c.serviceRates[k] = r
	}
	return r
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
