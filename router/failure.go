package router

import (
	"time"

	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
)

// Failed handles a failure of an attempt at one of its servers. If blame is
// set, the server caused it and the failure counts towards its ejection.
func (c *Core) Failed(now time.Time, server string, id lease.ID, step fault.Step, detail string, blame bool) []Effect {
	r := c.current(id)
	if r == nil {
		return c.takeEffects()
	}
	c.failed(now, r, server, step, detail, blame)
	return c.takeEffects()
}

func (c *Core) failed(now time.Time, r *request, server string, step fault.Step, detail string, blame bool) {
	s := c.view.Server(server)
	if blame && s != nil && c.view.RecordFailure(now, s) {
		c.emit(ServerEjected{Server: server})
	}
	c.addStep(now, r, decision.Step{Kind: decision.Failure, Server: server, Detail: string(step) + ": " + detail})
	atDecode := r.decode.server != nil && r.decode.server.Name == server
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

// lostReservation handles a failure before any work started.
func (c *Core) lostReservation(now time.Time, r *request, server string) {
	r.avoid = server
	c.releasePrefill(r, true)
	c.releaseDecode(r, true)
	c.stopTimer(r)
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

// lostPrefill handles a failure while the prefill runs. If only the decode
// server failed, the prefill continues and another decode slot is reserved when
// it ends.
func (c *Core) lostPrefill(now time.Time, r *request, atDecode bool, server string) {
	if atDecode && r.prefill.server.Name != server {
		c.releaseDecode(r, true)
		r.decode = reservation{}
		r.avoid = server
		return
	}
	c.addWaste(r, WastePrefillFailed)
	r.avoid = server
	c.releasePrefill(r, true)
	c.releaseDecode(r, true)
	c.requeue(now, r, "the prefill failed")
}

// lostWhileSeeking handles a failure during the search for a decode slot.
func (c *Core) lostWhileSeeking(now time.Time, r *request, atDecode bool) {
	if atDecode {
		c.releaseDecode(r, true)
		c.seekDecode(now, r)
		return
	}
	delete(c.awaitingDecode, r.ID)
	c.addWaste(r, WasteTransferFailed)
	c.releaseKV(r)
	c.releaseDecode(r, true)
	c.requeue(now, r, "the prefill server was lost before the transfer")
}

// lostTransfer handles a failure of the transfer. It retries at another decode
// server if the prefill server still has the KV cache.
func (c *Core) lostTransfer(now time.Time, r *request, atDecode bool, server string) {
	c.releaseDecode(r, true)
	if atDecode && c.view.Server(r.prefill.server.Name) == r.prefill.server && r.prefill.server.Connected() && c.budget.Take() {
		r.avoid = server
		c.addStep(now, r, decision.Step{Kind: decision.Retried, Detail: "another decode server, same prefill"})
		c.startDecodeAttempt(r)
		c.seekDecode(now, r)
		return
	}
	c.addWaste(r, WasteTransferFailed)
	c.releaseKV(r)
	r.avoid = server
	c.requeue(now, r, "the transfer failed")
}

// startDecodeAttempt starts a new attempt for the decode, so that late chunks
// of the failed one are dropped. The prefill server keeps the KV cache under the
// attempt that produced it.
func (c *Core) startDecodeAttempt(r *request) {
	r.attempt++
	r.decode = reservation{}
	c.emit(SwitchAttempt{ID: r.id()})
}

// lostDecode handles a failure of the decode. The retry has the tokens generated
// so far in its prompt.
func (c *Core) lostDecode(now time.Time, r *request, server string) {
	c.addWaste(r, WasteDecodeFailed)
	r.avoid = server
	c.releaseDecode(r, true)
	c.requeue(now, r, "the decode server failed")
}

// addWaste counts the prefill work of the current attempt as wasted.
func (c *Core) addWaste(r *request, cause WasteCause) { c.stats.WastedTokens[cause] += r.prefillTokens }

// requeue puts a request that ran back into the queue, or fails it if the retry
// budget or its time is exhausted.
func (c *Core) requeue(now time.Time, r *request, detail string) {
	c.stopTimer(r)
	if r.generated > 0 && !c.view.ServesSoftware(r.Model, r.software) {
		c.fail(now, r, detail+"; no server of the version that began the stream is left")
		return
	}
	if now.After(r.queueExpiry(now)) || !c.budget.Take() {
		c.fail(now, r, detail)
		return
	}
	c.addStep(now, r, decision.Step{Kind: decision.Retried, Detail: detail})
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

func (c *Core) fail(now time.Time, r *request, detail string) {
	c.stats.Failed++
	c.addStep(now, r, decision.Step{Kind: decision.Failure, Detail: "given up: " + detail})
	c.emit(Fail{Req: r.ID, Code: fault.EngineLost, Step: stepOf(r.phase), Peer: r.avoid, Detail: detail})
	c.remove(r)
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

// ServerDown handles the permanent loss of the link to a server's agent: all
// attempts at the server have failed.
func (c *Core) ServerDown(now time.Time, server string) []Effect {
	c.view.SetConnected(server, false)
	for _, id := range sortedKeys(c.reqs) {
		r := c.reqs[id]
		if r != nil && r.uses(server) {
			c.failed(now, r, server, fault.StepLink, "the link to its agent was lost", false)
		}
	}
	return c.takeEffects()
}

// SetSoftware handles a report of the version of a server's software.
func (c *Core) SetSoftware(server, software string) { c.view.SetSoftware(server, software) }

// ServerUp handles a new link to a server's agent.
func (c *Core) ServerUp(now time.Time, server string) []Effect {
	c.view.SetConnected(server, true)
	c.scheduleAll(now)
	return c.takeEffects()
}

// uses reports whether the current attempt needs a server.
func (r *request) uses(server string) bool {
	if r.decode.held && r.decode.server.Name == server {
		return true
	}
	needsKV := r.phase == reserving || r.phase == prefilling || r.phase == seeking || r.phase == importing
	return needsKV && r.prefill.server != nil && r.prefill.server.Name == server
}

// Cancel ends a request whose caller disconnected. A request with Keep continues
// once it has left the queue.
func (c *Core) Cancel(now time.Time, req string) []Effect {
	r := c.reqs[req]
	if r == nil || r.Keep && r.phase != queued {
		return c.takeEffects()
	}
	c.stats.Cancelled++
	c.addStep(now, r, decision.Step{Kind: decision.Cancelled, Detail: "the caller disconnected while " + r.phase.String()})
	if r.phase == queued {
		c.removeQueued(c.queue(r.Model), r)
	}
	if r.phase >= prefilling && r.firstTokenAt.IsZero() {
		c.addWaste(r, WasteCallerGone)
	}
	if r.holdsKV() {
		c.releaseKV(r)
	}
	c.releasePrefill(r, true)
	c.releaseDecode(r, true)
	c.remove(r)
	c.schedule(now, r.Model)
	c.retryDecodeSearch(now)
	return c.takeEffects()
}

// holdsKV reports whether the prefill server holds a KV cache for the request.
func (r *request) holdsKV() bool { return r.phase == seeking || r.phase == importing }

// ResumableAttempt identifies an attempt that continues over a new link to the
// agent.
type ResumableAttempt struct {
	ID lease.ID
	// Decode reports whether the attempt waits for chunks of a decode rather than
	// for the result of a prefill.
	Decode bool
	Keep   bool
}

// LinkLost handles the loss of a link that may be restored soon: the server gets
// no new work, and the attempts there continue.
func (c *Core) LinkLost(server string) { c.view.SetConnected(server, false) }

// LinkRestored handles a new link to an agent after LinkLost and returns the
// attempts to resume there. Reservations fail, since the agent's answer may have
// been lost with the old link.
func (c *Core) LinkRestored(now time.Time, server string) ([]ResumableAttempt, []Effect) {
	c.view.SetConnected(server, true)
	var out []ResumableAttempt
	for _, id := range sortedKeys(c.reqs) {
		r := c.reqs[id]
		if r == nil || !r.uses(server) {
			continue
		}
		atDecode := r.decode.held && r.decode.server.Name == server
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
	return out, c.takeEffects()
}
