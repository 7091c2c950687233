package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
)

// Reserved handles an agent's answer to a reservation: whether it is granted,
// the reason if not, and the current load of the server.
func (c *Core) Reserved(now time.Time, server string, id lease.ID, ok bool, reason string, load placement.Load) []Effect {
	c.view.Report(server, load)
	r := c.current(id)
	if r == nil {
		return c.takeEffects()
	}
	h := c.pendingReservation(r, server)
	if h == nil || h.granted || h.rejected {
		return c.takeEffects()
	}
	if !ok {
		c.reservationRefused(now, r, h, reason)
		return c.takeEffects()
	}
	h.granted = true
	c.addStep(now, r, decision.Step{Kind: decision.Reserved, Server: server})
	switch r.phase {
	case reserving:
		if r.prefill.granted && (r.decode.granted || r.decode.server == nil) {
			c.beginPrefill(now, r)
		}
	case seeking:
		c.beginTransfer(now, r)
	}
	return c.takeEffects()
}

// pendingReservation returns the reservation of the current attempt at a server,
// or nil.
func (c *Core) pendingReservation(r *request, server string) *reservation {
	switch {
	case r.prefill.held && !r.prefill.granted && r.prefill.server.Name == server:
		return &r.prefill
	case r.decode.held && r.decode.server.Name == server:
		return &r.decode
	}
	return nil
}

// reservationRefused handles a rejected reservation. A request that seeks a
// decode slot tries another server, one in prefill does so when the prefill
// ends, and one that has not started goes back to the queue.
func (c *Core) reservationRefused(now time.Time, r *request, h *reservation, reason string) {
	h.rejected = true
	r.refusals++
	c.addStep(now, r, decision.Step{Kind: decision.ReservationRefused, Server: h.server.Name, Detail: reason})
	switch r.phase {
	case seeking:
		c.releaseDecode(r, false)
		c.seekDecode(now, r)
		return
	case prefilling:
		c.releaseDecode(r, false)
		r.decode = reservation{}
		return
	case reserving:
	default:
		return
	}
	c.releasePrefill(r, !r.prefill.rejected)
	c.releaseDecode(r, !r.decode.rejected)
	c.stopTimer(r)
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

func (c *Core) beginPrefill(now time.Time, r *request) {
	r.phase = prefilling
	r.ran = true
	r.refusals = 0
	c.stats.Admitted++
	c.stats.PrefillTokens += r.prefillTokens
	c.addStep(now, r, decision.Step{Kind: decision.Prefilling, Server: r.prefill.server.Name})
	c.emit(StartPrefill{ID: r.id(), Server: r.prefill.server.Name})
	r.stalledAt = now.Add(c.prefillLimit(r))
	c.setPrefillTimer(r)
}

// setPrefillTimer sets the timer of a running prefill to the time at which its
// decode slot is reserved or, if that is done, at which it counts as stalled.
func (c *Core) setPrefillTimer(r *request) {
	if !r.reserveDecodeAt.IsZero() && r.reserveDecodeAt.Before(r.stalledAt) {
		c.setTimer(r, r.reserveDecodeAt)
		return
	}
	c.setTimer(r, r.stalledAt)
}

// reserveDecodeSlot reserves the decode slot of a long prefill that is about to
// end. If no slot is free, the search continues when the prefill has ended.
func (c *Core) reserveDecodeSlot(now time.Time, r *request) {
	r.reserveDecodeAt = time.Time{}
	if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.prefill.server); s != nil {
		c.addStep(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the prefill that is about to end"})
		c.reserveDecode(r, s, urgentPriority, reservationMargin+reserveLead)
	}
	c.setPrefillTimer(r)
}

// prefillLimit returns the time after which a prefill counts as stalled. It is
// several times the expected time, since requests with a higher priority can
// delay the prefill for long.
func (c *Core) prefillLimit(r *request) time.Duration {
	need := time.Duration(float64(r.prefillTokens) / max(r.prefill.server.Rate(), 1) * float64(time.Second))
	return 8*need + retryTTFTFactor*r.TTFT + c.opts.StallAfter
}

// Prefilled handles the result of a prefill: the KV cache, the number of prompt
// tokens found in the engine's cache, and the time that the engine worked on it.
func (c *Core) Prefilled(now time.Time, server string, id lease.ID, kv engine.KV, cached int, engineTime time.Duration) []Effect {
	r := c.current(id)
	if r == nil || r.phase != prefilling {
		return c.takeEffects()
	}
	computed := max(kv.Tokens-cached, 0)
	c.view.PrefillDone(r.prefill.server, r.Prefixes, computed, cached, engineTime)
	c.addStep(now, r, decision.Step{Kind: decision.Prefilled, Server: server,
		Detail: fmt.Sprintf("%d tokens, %d of them cached, in %s", kv.Tokens, cached, engineTime.Round(time.Millisecond))})
	r.kv, r.kvAttempt = kv, r.id()
	r.kvExpires = now.Add(kv.TTL)
	// The slot is free for another prefill, though the engine still holds the
	// KV cache.
	c.view.PrefillReleased(r.prefill.server, r.Priority, r.prefillTokens)
	r.prefill.held = false
	switch {
	case r.decode.granted:
		c.beginTransfer(now, r)
	case r.decode.held: // the agent has not answered yet
		r.phase = seeking
		c.setTimer(r, now.Add(reserveTimeout))
	default:
		c.seekDecode(now, r)
	}
	c.schedule(now, r.Model)
	return c.takeEffects()
}

// urgentPriority is the priority of a decode reservation for a KV cache that
// exists or is about to: it may use the last slot, since the KV cache would
// expire otherwise.
const urgentPriority = 0

// seekDecode reserves a decode slot for a finished prefill. If none is free, the
// request waits in awaitingDecode.
func (c *Core) seekDecode(now time.Time, r *request) {
	r.phase = seeking
	if now.Add(transferTime(r)).After(r.kvExpires) {
		c.kvExpired(now, r)
		return
	}
	if r.refusals <= maxRefusals {
		if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.prefill.server); s != nil {
			c.addStep(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the finished prefill"})
			c.reserveDecode(r, s, urgentPriority, reservationMargin)
			c.setTimer(r, now.Add(reserveTimeout))
			return
		}
	}
	r.refusals = 0
	c.awaitingDecode[r.ID] = r
	c.stopTimer(r)
}

// transferTime returns the time that the transfer takes if no other one uses
// the link of the prefill server.
func transferTime(r *request) time.Duration {
	return time.Duration(float64(r.KVBytes) / max(r.prefill.server.LinkRate, 1) * float64(time.Second))
}

// kvExpired releases a KV cache for which no decode slot was free in time.
func (c *Core) kvExpired(now time.Time, r *request) {
	delete(c.awaitingDecode, r.ID)
	c.addWaste(r, WasteKVExpired)
	c.releaseKV(r)
	c.requeue(now, r, "the prefill expired before a decode slot was free")
}

// releaseKV releases the KV cache at the prefill server.
func (c *Core) releaseKV(r *request) {
	c.emit(Release{ID: r.kvAttempt, Server: r.prefill.server.Name})
}

func (c *Core) beginTransfer(now time.Time, r *request) {
	delete(c.awaitingDecode, r.ID)
	r.phase = importing
	r.refusals = 0
	r.transferAt = now
	expected := c.view.TransferTime(r.prefill.server, r.decode.server, r.kv.Bytes)
	c.view.TransferStarted(r.prefill.server, r.decode.server)
	r.transferring = true
	c.addStep(now, r, decision.Step{Kind: decision.Transfer, Server: r.decode.server.Name,
		Detail: fmt.Sprintf("%d bytes from %s, expected in %s", r.kv.Bytes, r.prefill.server.Name, expected.Round(time.Millisecond))})
	c.emit(StartDecode{ID: r.id(), Server: r.decode.server.Name, KV: r.kv})
	c.setTimer(r, now.Add(c.stallLimit(now, r, expected)))
}

// stallFactor is the number of times the expected time that a transfer may take:
// other transfers may start on the same link.
const stallFactor = 4

// stallLimit returns the time after which a transfer counts as stalled. Where
// possible, it leaves enough time for a second transfer before the KV cache
// expires.
func (c *Core) stallLimit(now time.Time, r *request, expected time.Duration) time.Duration {
	limit := stallFactor*expected + c.opts.StallAfter
	remaining := r.kvExpires.Sub(now) - 2*expected
	return min(limit, max(remaining, 2*expected))
}

// endTransfer removes a transfer that completed or failed from the load of its
// links.
func (c *Core) endTransfer(r *request) {
	if r.transferring {
		r.transferring = false
		c.view.TransferEnded(r.prefill.server, r.decode.server)
	}
}

// Imported handles the end of the transfer: the decode engine has the KV cache,
// so the prefill engine may drop it.
func (c *Core) Imported(now time.Time, server string, id lease.ID) []Effect {
	r := c.current(id)
	if r == nil || r.phase != importing {
		return c.takeEffects()
	}
	c.endTransfer(r)
	r.phase = decoding
	r.lastTokenAt = now
	c.addStep(now, r, decision.Step{Kind: decision.Imported, Server: server, Detail: "in " + now.Sub(r.transferAt).Round(time.Millisecond).String()})
	c.releaseKV(r)
	c.setTimer(r, now.Add(decodeLimit(r)))
	return c.takeEffects()
}

// decodeLimit returns the time without a token after which a decode counts as
// stalled.
func decodeLimit(r *request) time.Duration {
	return max(20*r.TBT, 3*time.Second)
}

// Token handles a token; count is the number of tokens that the caller has now.
func (c *Core) Token(now time.Time, id lease.ID, count int) []Effect {
	r := c.current(id)
	if r == nil || r.phase != decoding {
		return nil
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		r.software = r.decode.server.Software()
		c.addStep(now, r, decision.Step{Kind: decision.FirstToken, Server: r.decode.server.Name,
			Detail: now.Sub(r.arrived).Round(time.Millisecond).String() + " after arrival"})
	}
	r.generated = count
	r.lastTokenAt = now
	return nil
}

// Done ends a request whose answer is complete. perToken is the mean time
// between its tokens.
func (c *Core) Done(now time.Time, id lease.ID, perToken time.Duration) []Effect {
	r := c.current(id)
	if r == nil || r.phase != decoding {
		return c.takeEffects()
	}
	c.stats.Done++
	c.view.DecodeDone(r.decode.server, perToken)
	c.addStep(now, r, decision.Step{Kind: decision.Done, Detail: fmt.Sprintf("%d tokens in %s", r.generated, now.Sub(r.arrived).Round(time.Millisecond))})
	c.releaseDecode(r, false)
	c.remove(r)
	c.retryDecodeSearch(now)
	c.schedule(now, r.Model)
	return c.takeEffects()
}

// retryDecodeSearch tries again to reserve a decode slot for the requests whose
// prefill is done, ordered by priority and deadline.
func (c *Core) retryDecodeSearch(now time.Time) {
	if len(c.awaitingDecode) == 0 {
		return
	}
	list := slices.SortedFunc(maps.Values(c.awaitingDecode), func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.deadline.Compare(b.deadline), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range list {
		if c.awaitingDecode[r.ID] == r {
			delete(c.awaitingDecode, r.ID)
			c.seekDecode(now, r)
		}
	}
}
