package router

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/admission"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
)

// Arrive takes a new request. OpenLimit bounds the open requests of its
// customer at this entry.
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
		c.addStep(now, r, decision.Step{Kind: decision.Deferred, Detail: fmt.Sprintf("%d wait", c.waiting)})
	}
	return c.takeEffects()
}

// gate refuses what can't be taken whatever the load is.
func (c *Core) checkLimits(req Request, openLimit int) (*fault.Code, string) {
	switch {
	case c.draining:
		return fault.Draining, "this entry is leaving"
	case c.reqs[req.ID] != nil:
		return fault.InProgress, "a request with this ID is open"
	case openLimit > 0 && c.openByCustomer[req.Customer] >= openLimit:
		return fault.OverLimit, fmt.Sprintf("customer %s has %d open requests, its share here", req.Customer, openLimit)
	case c.waiting >= c.opts.QueueLimit:
		return fault.QueueFull, fmt.Sprintf("%d requests wait", c.waiting)
	case !c.view.ServesModel(req.Model):
		return fault.NoServer, "no server of model " + req.Model + " is in reach"
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

// due0 is the deadline that orders the queue. A request that ran before keeps
// its place at the front.
func (r *request) queueDeadline() time.Time {
	if r.ran {
		return r.arrived
	}
	return r.deadline
}

// until is when a waiting request is given up. One that ran has cost a prefill
// already, and one whose caller has tokens would be cut, so they wait on.
func (r *request) queueExpiry(now time.Time) time.Time {
	switch {
	case !r.ran:
		return r.deadline
	case r.generated > 0:
		return now.Add(minRetryTime)
	}
	return r.arrived.Add(max(retryTTFTFactor*r.TTFT, minRetryTime))
}

// refuse ends a request that did not run.
func (c *Core) refuse(now time.Time, r *request, code *fault.Code, detail string, after time.Duration) {
	c.stats.Refused++
	c.addStep(now, r, decision.Step{Kind: decision.Refused, Detail: code.ID + ": " + detail})
	c.emit(Refuse{Req: r.ID, Code: code, Detail: detail, RetryAfter: after})
	c.remove(r)
}

// forget drops a request that has ended.
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
