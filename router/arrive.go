package router

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/admission"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
)

// Submit adds a new request. At most openLimit requests of its customer may be
// open at this entry; zero means no limit.
func (c *Core) Submit(now time.Time, req Request, openLimit int) []Effect {
	r := &request{Request: req, arrived: now, deadline: now.Add(req.TTFT), timerIndex: -1}
	r.record = c.records.GetOrCreate(req.ID)
	r.record.Customer, r.record.Class, r.record.Model = req.Customer, req.Class, req.Model
	c.addStep(now, r, decision.Step{Kind: decision.Arrived,
		Detail: fmt.Sprintf("%d prompt tokens, priority %d, first token due in %s", req.Tokens, req.Priority, req.TTFT)})
	if code, detail := c.checkLimits(req, openLimit); code != nil {
		c.refuse(now, r, code, detail, time.Second)
		return c.takeEffects()
	}
	c.budget.CountRequest()
	c.reqs[req.ID] = r
	c.openByCustomer[req.Customer]++
	c.enqueue(now, r)
	c.schedule(now, req.Model)
	if r.phase == queued && c.reqs[r.ID] != nil {
		c.addStep(now, r, decision.Step{Kind: decision.Deferred, Detail: fmt.Sprintf("%d requests are waiting", c.waiting)})
	}
	return c.takeEffects()
}

// checkLimits returns why a new request is refused before it is queued, or nil.
func (c *Core) checkLimits(req Request, openLimit int) (*fault.Code, string) {
	switch {
	case c.draining:
		return fault.Draining, "this entry is leaving"
	case c.reqs[req.ID] != nil:
		return fault.InProgress, "a request with this ID is open"
	case openLimit > 0 && c.openByCustomer[req.Customer] >= openLimit:
		return fault.OverLimit, fmt.Sprintf("customer %s has %d open requests, its limit at this entry", req.Customer, openLimit)
	case c.waiting >= c.opts.QueueLimit:
		return fault.QueueFull, fmt.Sprintf("%d requests are waiting", c.waiting)
	case !c.view.ServesModel(req.Model):
		return fault.NoServer, "model " + req.Model + " has no pair of connected servers"
	}
	return nil, ""
}

func (c *Core) enqueue(now time.Time, r *request) {
	r.phase = queued
	c.queue(r.Model).Add(&admission.Item{
		ID: r.ID, Customer: r.Customer, Share: r.Share, Priority: r.Priority,
		Work: r.Tokens + r.generated, Deadline: r.queueDeadline(), Expires: r.queueExpiry(now),
	})
	c.waiting++
}

// queueDeadline returns the deadline by which the queue orders the request. A
// retry counts as due at its arrival, so it goes to the front.
func (r *request) queueDeadline() time.Time {
	if r.ran {
		return r.arrived
	}
	return r.deadline
}

// queueExpiry returns when the request is dropped from the queue. A retry may
// wait longer than a new request: it has cost a prefill already, and if its
// caller has received tokens, dropping it would cut off the answer.
func (r *request) queueExpiry(now time.Time) time.Time {
	switch {
	case !r.ran:
		return r.deadline
	case r.generated > 0:
		return now.Add(minRetryTime)
	}
	return r.arrived.Add(max(retryTTFTFactor*r.TTFT, minRetryTime))
}

// refuse ends a request that did not run; after is the time after which the
// caller should retry.
func (c *Core) refuse(now time.Time, r *request, code *fault.Code, detail string, after time.Duration) {
	c.stats.Refused++
	c.addStep(now, r, decision.Step{Kind: decision.Refused, Detail: code.ID + ": " + detail})
	c.emit(Refuse{Req: r.ID, Code: code, Detail: detail, RetryAfter: after})
	c.remove(r)
}

// remove deletes a request that has ended.
func (c *Core) remove(r *request) {
	if c.reqs[r.ID] != r {
		return
	}
	r.phase = ended
	c.stopTimer(r)
	delete(c.reqs, r.ID)
	delete(c.awaitingDecode, r.ID)
	if c.openByCustomer[r.Customer]--; c.openByCustomer[r.Customer] <= 0 {
		delete(c.openByCustomer, r.Customer)
	}
}
