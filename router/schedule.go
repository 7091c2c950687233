package router

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/admission"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/placement"
)

const (
	// holdSpare is added to the time for which a decode slot is reserved.
	holdSpare = 2 * time.Second
	// lateFactor bounds, in targets, how long a request that ran is tried.
	lateFactor = 4
	// minLate is the least time for which such a request is tried.
	minLate = 5 * time.Second
	// maxRefusals bounds the reservations that agents may refuse in a row
	// before the request waits for the next tick.
	maxRefusals = 8
)

// schedule starts as many waiting requests of a model as servers can take.
func (c *Core) schedule(now time.Time, model string) {
	q := c.queue(model)
	for level := 0; ; {
		it := q.Peek(level)
		if it == nil {
			return
		}
		r := c.reqs[it.ID]
		if r.refusals > maxRefusals {
			level = it.Priority + 1
			continue
		}
		if !c.start(now, q, r) {
			level = it.Priority + 1
		}
	}
}

// start tries to place a waiting request. It reports false if the request has
// to wait on.
func (c *Core) start(now time.Time, q *admission.Queue, r *request) bool {
	choice := c.opts.Policy.Choose(c.view, now, r.query())
	if choice.Prefill == nil || (choice.Decode == nil && c.opts.Policy.ReserveDecodeFirst) {
		return c.hopeless(now, q, r)
	}
	if c.late(now, r, choice.FirstTokenTime) {
		c.dequeue(q, r)
		c.refuse(now, r, fault.TargetOutOfReach,
			fmt.Sprintf("first token in %s at the soonest", choice.FirstTokenTime.Round(time.Millisecond)), c.comeBack(r))
		return true
	}
	q.Dequeue(r.ID)
	c.waiting--
	c.drainRate(r.Model, r.Priority).take(r.Tokens)
	c.reserve(now, r, choice)
	return true
}

// late tells whether a request that has not run would miss its target.
func (c *Core) late(now time.Time, r *request, need time.Duration) bool {
	return c.opts.Policy.EnforceDeadlines && !r.ran && now.Add(need).After(r.deadline)
}

// hopeless refuses a request whose target is out of reach even if a server
// were idle now; it reports whether it did.
func (c *Core) hopeless(now time.Time, q *admission.Queue, r *request) bool {
	need := c.view.MinFirstTokenTime(now, r.query())
	if !c.late(now, r, need) {
		return false
	}
	c.dequeue(q, r)
	c.refuse(now, r, fault.TargetOutOfReach, "no server is free in time", c.comeBack(r))
	return true
}

func (c *Core) dequeue(q *admission.Queue, r *request) {
	if q.Remove(r.ID) != nil {
		c.waiting--
	}
}

// comeBack estimates when the work that waits now is done.
func (c *Core) comeBack(r *request) time.Duration {
	rate := c.drainRate(r.Model, r.Priority).mean
	if rate <= 0 {
		return time.Second
	}
	wait := time.Duration(float64(c.queue(r.Model).QueuedWork(r.Priority)) / rate * float64(time.Second))
	return min(max(wait, time.Second), time.Minute)
}

// reserve asks both agents for their slots at the same time.
func (c *Core) reserve(now time.Time, r *request, choice placement.Choice) {
	r.attempt++
	r.phase = reserving
	r.work = choice.Work
	r.p = half{server: choice.Prefill, held: true}
	r.d = half{}
	c.view.PrefillReserved(r.p.server, r.Priority, r.work)
	detail := fmt.Sprintf("prefill at %s, first token expected in %s", r.p.server.Name, choice.FirstTokenTime.Round(time.Millisecond))
	c.note(now, r, decision.Step{Kind: decision.Chosen, Detail: detail, Candidates: choice.Considered})
	c.emit(SwitchAttempt{ID: r.id()})
	c.emit(Reserve{
		ID: r.id(), Server: r.p.server.Name, Role: Prefill, Model: r.Model, Priority: r.Priority,
		Tokens: r.work, Hold: choice.FirstTokenTime + holdSpare, Keep: r.Keep,
	})
	r.lead = time.Time{}
	if c.opts.Policy.ReserveDecodeFirst && choice.FirstTokenTime < longPrefill {
		c.holdDecode(r, choice.Decode, r.Priority, choice.FirstTokenTime+holdSpare)
	} else if c.opts.Policy.ReserveDecodeFirst {
		r.lead = now.Add(choice.PrefillTime - reserveLead)
	}
	c.setDue(r, now.Add(reserveTimeout))
}

const (
	// longPrefill is the time to the first token from which on the decode slot
	// is reserved only shortly before the prefill ends: a slot that is held
	// through a long prefill is lost to others.
	longPrefill = 600 * time.Millisecond
	// reserveLead is how long before the expected end it is then reserved.
	reserveLead = 300 * time.Millisecond
)

// reserveTimeout is how long an agent may take to answer a reservation.
const reserveTimeout = 500 * time.Millisecond

// holdDecode reserves a decode slot. The priority decides how many slots must
// stay free for others.
func (c *Core) holdDecode(r *request, s *placement.Server, priority int, hold time.Duration) {
	r.d = half{server: s, held: true}
	c.view.SlotReserved(s)
	c.emit(Reserve{ID: r.id(), Server: s.Name, Role: Decode, Model: r.Model, Priority: priority, Hold: hold, Keep: r.Keep})
}

// freePrefill gives up the prefill half. If tell is set, the agent is told.
func (c *Core) freePrefill(r *request, tell bool) {
	if !r.p.held {
		return
	}
	r.p.held = false
	c.view.PrefillReleased(r.p.server, r.Priority, r.work)
	if tell {
		c.emit(Release{ID: r.id(), Server: r.p.server.Name})
	}
}

// freeDecode gives up the decode half.
func (c *Core) freeDecode(r *request, tell bool) {
	if !r.d.held {
		return
	}
	c.endMove(r)
	r.d.held = false
	c.view.SlotReleased(r.d.server)
	if tell {
		c.emit(Release{ID: r.id(), Server: r.d.server.Name})
	}
}
