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
	// reservationMargin is added to the expected time for which a slot waits for
	// its work.
	reservationMargin = 2 * time.Second
	// retryTTFTFactor is the number of TTFT targets after its arrival for which a
	// request that ran is retried.
	retryTTFTFactor = 4
	// minRetryTime is the minimum of that time.
	minRetryTime = 5 * time.Second
	// maxRefusals is the number of reservations of a request that agents may
	// reject in a row before the request waits for the next tick.
	maxRefusals = 8
)

// schedule starts waiting requests of a model while servers have capacity. If
// the first request of a priority can't start, it continues with the next lower
// priority.
func (c *Core) schedule(now time.Time, model string) {
	q := c.queue(model)
	for level := 0; ; {
		item := q.Peek(level)
		if item == nil {
			return
		}
		r := c.reqs[item.ID]
		if r.refusals > maxRefusals {
			level = item.Priority + 1
			continue
		}
		if !c.start(now, q, r) {
			level = item.Priority + 1
		}
	}
}

// start reserves slots for a waiting request, or refuses it if it would miss its
// deadline. It reports whether the request left the queue.
func (c *Core) start(now time.Time, q *admission.Queue, r *request) bool {
	choice := c.opts.Policy.Choose(c.view, now, r.query())
	if choice.Prefill == nil || (choice.Decode == nil && c.opts.Policy.ReserveDecodeFirst) {
		return c.refuseIfTooLate(now, q, r)
	}
	if c.missesDeadline(now, r, choice.FirstTokenTime) {
		c.removeQueued(q, r)
		c.refuse(now, r, fault.TargetOutOfReach,
			fmt.Sprintf("first token in %s at the earliest", choice.FirstTokenTime.Round(time.Millisecond)), c.retryAfter(r))
		return true
	}
	q.Dequeue(r.ID)
	c.waiting--
	c.serviceRateOf(r.Model, r.Priority).add(r.Tokens)
	c.reserve(now, r, choice)
	return true
}

// missesDeadline reports whether a request that has not run would miss its
// deadline if its first token takes that long from now.
func (c *Core) missesDeadline(now time.Time, r *request, firstToken time.Duration) bool {
	return c.opts.Policy.EnforceDeadlines && !r.ran && now.Add(firstToken).After(r.deadline)
}

// refuseIfTooLate refuses a request that would miss its deadline even on an idle
// server, and reports whether it did.
func (c *Core) refuseIfTooLate(now time.Time, q *admission.Queue, r *request) bool {
	firstToken := c.view.MinTTFT(now, r.query())
	if !c.missesDeadline(now, r, firstToken) {
		return false
	}
	c.removeQueued(q, r)
	c.refuse(now, r, fault.TargetOutOfReach, "no server is free in time", c.retryAfter(r))
	return true
}

func (c *Core) removeQueued(q *admission.Queue, r *request) {
	if q.Remove(r.ID) != nil {
		c.waiting--
	}
}

// retryAfter estimates the time until the work that waits now is done, between a
// second and a minute.
func (c *Core) retryAfter(r *request) time.Duration {
	rate := c.serviceRateOf(r.Model, r.Priority).mean
	if rate <= 0 {
		return time.Second
	}
	wait := time.Duration(float64(c.queue(r.Model).QueuedWork(r.Priority)) / rate * float64(time.Second))
	return min(max(wait, time.Second), time.Minute)
}

// reserve starts an attempt: it requests the prefill slot and, unless the
// prefill is long, the decode slot at the same time.
func (c *Core) reserve(now time.Time, r *request, choice placement.Choice) {
	r.attempt++
	r.phase = reserving
	r.prefillTokens = choice.Work
	r.prefill = reservation{server: choice.Prefill, held: true}
	r.decode = reservation{}
	c.view.PrefillReserved(r.prefill.server, r.Priority, r.prefillTokens)
	detail := fmt.Sprintf("prefill at %s, first token expected in %s", r.prefill.server.Name, choice.FirstTokenTime.Round(time.Millisecond))
	c.addStep(now, r, decision.Step{Kind: decision.Chosen, Detail: detail, Candidates: choice.Considered})
	c.emit(SwitchAttempt{ID: r.id()})
	c.emit(Reserve{
		ID: r.id(), Server: r.prefill.server.Name, Role: Prefill, Model: r.Model, Priority: r.Priority,
		Tokens: r.prefillTokens, Hold: choice.FirstTokenTime + reservationMargin, Keep: r.Keep,
	})
	r.reserveDecodeAt = time.Time{}
	if c.opts.Policy.ReserveDecodeFirst && choice.FirstTokenTime < longPrefill {
		c.reserveDecode(r, choice.Decode, r.Priority, choice.FirstTokenTime+reservationMargin)
	} else if c.opts.Policy.ReserveDecodeFirst {
		r.reserveDecodeAt = now.Add(choice.PrefillTime - reserveLead)
	}
	c.setTimer(r, now.Add(reserveTimeout))
}

const (
	// longPrefill is the expected time to the first token from which on the
	// decode slot is reserved only shortly before the prefill ends: a slot that is
	// held during a long prefill is not available to other requests.
	longPrefill = 600 * time.Millisecond
	// reserveLead is how long before the expected end of a long prefill the
	// decode slot is reserved.
	reserveLead = 300 * time.Millisecond
)

// reserveTimeout is the time within which an agent must answer a reservation.
const reserveTimeout = 500 * time.Millisecond

// reserveDecode requests a decode slot. The priority determines how many slots
// of the server must stay free.
func (c *Core) reserveDecode(r *request, s *placement.Server, priority int, hold time.Duration) {
	r.decode = reservation{server: s, held: true}
	c.view.SlotReserved(s)
	c.emit(Reserve{ID: r.id(), Server: s.Name, Role: Decode, Model: r.Model, Priority: priority, Hold: hold, Keep: r.Keep})
}

// releasePrefill releases the prefill slot, and notifies the agent if notify is
// set.
func (c *Core) releasePrefill(r *request, notify bool) {
	if !r.prefill.held {
		return
	}
	r.prefill.held = false
	c.view.PrefillReleased(r.prefill.server, r.Priority, r.prefillTokens)
	if notify {
		c.emit(Release{ID: r.id(), Server: r.prefill.server.Name})
	}
}

// releaseDecode releases the decode slot, and notifies the agent if notify is
// set.
func (c *Core) releaseDecode(r *request, notify bool) {
	if !r.decode.held {
		return
	}
	c.endTransfer(r)
	r.decode.held = false
	c.view.SlotReleased(r.decode.server)
	if notify {
		c.emit(Release{ID: r.id(), Server: r.decode.server.Name})
	}
}
