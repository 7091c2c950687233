package router

import (
	"time"

	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
)

// Failed takes the failure of one half of an attempt. Blame tells that the
// server itself is at fault.
func (c *Core) Failed(now time.Time, server string, id lease.ID, step fault.Step, detail string, blame bool) []Effect {
	r := c.current(id)
	if r == nil {
		return c.take()
	}
	c.failed(now, r, server, step, detail, blame)
	return c.take()
}

func (c *Core) failed(now time.Time, r *request, server string, step fault.Step, detail string, blame bool) {
	s := c.view.Server(server)
	if blame && s != nil && c.view.RecordFailure(now, s) {
		c.emit(ServerEjected{Server: server})
	}
	c.note(now, r, decision.Step{Kind: decision.Failure, Server: server, Detail: string(step) + ": " + detail})
	atDecode := r.d.server != nil && r.d.server.Name == server
	switch r.phase {
	case reserving:
		c.lostReservation(now, r, server)
	case prefilling:
		c.lostPrefill(now, r, atDecode, server)
	case seeking:
		c.lostWhileSeeking(now, r, atDecode)
	case importing:
		c.lostTransfer(now, r, atDecode, server)
	case decoding:
		if atDecode {
			c.lostDecode(now, r, server)
		}
	}
}

// lostReservation handles a server that went away before any work.
func (c *Core) lostReservation(now time.Time, r *request, server string) {
	r.avoid = server
	c.freePrefill(r, true)
	c.freeDecode(r, true)
	c.clearDue(r)
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

// lostPrefill handles a failure while the prefill runs. If only the decode
// server is lost, the prefill goes on and another slot is sought at its end.
func (c *Core) lostPrefill(now time.Time, r *request, atDecode bool, server string) {
	if atDecode && r.p.server.Name != server {
		c.freeDecode(r, true)
		r.d = half{}
		r.avoid = server
		return
	}
	c.waste(r, WastePrefillFailed)
	r.avoid = server
	c.freePrefill(r, true)
	c.freeDecode(r, true)
	c.again(now, r, "the prefill failed")
}

// lostWhileSeeking handles a failure while a decode slot is sought.
func (c *Core) lostWhileSeeking(now time.Time, r *request, atDecode bool) {
	if atDecode {
		c.freeDecode(r, true)
		c.seek(now, r)
		return
	}
	delete(c.seekers, r.ID)
	c.waste(r, WasteTransferFailed)
	c.freeKV(r)
	c.freeDecode(r, true)
	c.again(now, r, "the prefill server was lost before the transfer")
}

// lostTransfer tries another decode server while the KV cache lives.
func (c *Core) lostTransfer(now time.Time, r *request, atDecode bool, server string) {
	c.freeDecode(r, true)
	if atDecode && c.view.Server(r.p.server.Name) == r.p.server && r.p.server.Connected() && c.budget.Take() {
		r.avoid = server
		c.note(now, r, decision.Step{Kind: decision.Retried, Detail: "another decode server, same prefill"})
		c.renew(r)
		c.seek(now, r)
		return
	}
	c.waste(r, WasteTransferFailed)
	c.freeKV(r)
	r.avoid = server
	c.again(now, r, "the transfer failed")
}

// renew starts a new attempt for the decode half, so that chunks of the lost
// one are dropped. The KV cache stays at the prefill server under the attempt
// that made it.
func (c *Core) renew(r *request) {
	r.attempt++
	r.d = half{}
	c.emit(SwitchAttempt{ID: r.id()})
}

// lostDecode goes on at another server with the tokens so far as prompt.
func (c *Core) lostDecode(now time.Time, r *request, server string) {
	c.waste(r, WasteDecodeFailed)
	r.avoid = server
	c.freeDecode(r, true)
	c.again(now, r, "the decode server failed")
}

// waste counts prefill work that was thrown away.
func (c *Core) waste(r *request, w WasteCause) { c.stats.WastedTokens[w] += r.work }

// again puts a request that ran back into the queue, or ends it if the budget
// or its time is used up.
func (c *Core) again(now time.Time, r *request, why string) {
	c.clearDue(r)
	if now.After(r.until(now)) || !c.budget.Take() {
		c.fail(now, r, why)
		return
	}
	c.note(now, r, decision.Step{Kind: decision.Retried, Detail: why})
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

func (c *Core) fail(now time.Time, r *request, why string) {
	c.stats.Failed++
	c.note(now, r, decision.Step{Kind: decision.Failure, Detail: "given up: " + why})
	c.emit(Fail{Req: r.ID, Code: fault.EngineLost, Step: stepOf(r.phase), Peer: r.avoid, Detail: why})
	c.forget(r)
}

func stepOf(p phase) fault.Step {
	switch p {
	case prefilling:
		return fault.StepPrefill
	case seeking, importing:
		return fault.StepTransfer
	case decoding:
		return fault.StepDecode
	}
	return fault.StepReserve
}

// ServerDown takes the loss of the link to a server's agent: everything at it
// has failed.
func (c *Core) ServerDown(now time.Time, server string) []Effect {
	c.view.SetConnected(server, false)
	for _, id := range sortedKeys(c.reqs) {
		r := c.reqs[id]
		if r != nil && r.uses(server) {
			c.failed(now, r, server, fault.StepLink, "the link to its agent is lost", false)
		}
	}
	return c.take()
}

// ServerUp takes a new link to a server's agent.
func (c *Core) ServerUp(now time.Time, server string) []Effect {
	c.view.SetConnected(server, true)
	c.scheduleAll(now)
	return c.take()
}

// uses tells whether the present attempt needs a server.
func (r *request) uses(server string) bool {
	if r.d.held && r.d.server.Name == server {
		return true
	}
	needsKV := r.phase == reserving || r.phase == prefilling || r.phase == seeking || r.phase == importing
	return needsKV && r.p.server != nil && r.p.server.Name == server
}

// Cancel takes the loss of the caller. Work of a class that keeps running
// goes on.
func (c *Core) Cancel(now time.Time, req string) []Effect {
	r := c.reqs[req]
	if r == nil || r.Keep && r.phase != queued {
		return c.take()
	}
	c.stats.Cancelled++
	c.note(now, r, decision.Step{Kind: decision.Cancelled, Detail: "the caller is gone while " + r.phase.String()})
	if r.phase == queued {
		c.dequeue(c.queue(r.Model), r)
	}
	if r.phase >= prefilling && r.firstAt.IsZero() {
		c.waste(r, WasteCallerGone)
	}
	if r.holdsKV() {
		c.freeKV(r)
	}
	c.freePrefill(r, true)
	c.freeDecode(r, true)
	c.forget(r)
	c.schedule(now, r.Model)
	c.wakeSeekers(now)
	return c.take()
}

// holdsKV tells whether the prefill server keeps a result for the request.
func (r *request) holdsKV() bool { return r.phase == seeking || r.phase == importing }

// Rejoined names an attempt that goes on over a new link to its agent.
type ResumableAttempt struct {
	ID lease.ID
	// Decode tells that chunks are expected, not the result of a prefill.
	Decode bool
	Keep   bool
}

// LinkLost takes the loss of a link that may come back soon: the server gets
// no new work, and what it runs goes on.
func (c *Core) LinkLost(server string) { c.view.SetConnected(server, false) }

// Rejoin takes a new link to an agent and lists the attempts to resume there.
// Reservations whose answer may be lost are given up.
func (c *Core) LinkRestored(now time.Time, server string) ([]ResumableAttempt, []Effect) {
	c.view.SetConnected(server, true)
	var out []ResumableAttempt
	for _, id := range sortedKeys(c.reqs) {
		r := c.reqs[id]
		if r == nil || !r.uses(server) {
			continue
		}
		atDecode := r.d.held && r.d.server.Name == server
		switch {
		case r.phase == decoding && atDecode, r.phase == importing && atDecode:
			out = append(out, ResumableAttempt{ID: r.id(), Decode: true, Keep: r.Keep})
		case r.phase == prefilling && !atDecode:
			out = append(out, ResumableAttempt{ID: r.id(), Keep: r.Keep})
		case r.phase == reserving || r.phase == seeking && atDecode:
			c.failed(now, r, server, fault.StepLink, "the link broke during the reservation", false)
		}
	}
	c.scheduleAll(now)
	return out, c.take()
}
