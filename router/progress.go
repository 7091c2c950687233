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

// Reserved takes an agent's answer to a reservation.
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

// halfAt returns the half of the present attempt at a server.
func (c *Core) pendingReservation(r *request, server string) *reservation {
	switch {
	case r.prefill.held && !r.prefill.granted && r.prefill.server.Name == server:
		return &r.prefill
	case r.decode.held && r.decode.server.Name == server:
		return &r.decode
	}
	return nil
}

// notGiven goes back to the queue, or to the search for a decode slot.
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

// watchPrefill sets the moment at which a running prefill is looked at: to
// reserve its decode slot, or to give it up as stalled.
func (c *Core) setPrefillTimer(r *request) {
	if !r.reserveDecodeAt.IsZero() && r.reserveDecodeAt.Before(r.stalledAt) {
		c.setTimer(r, r.reserveDecodeAt)
		return
	}
	c.setTimer(r, r.stalledAt)
}

// reserveLate reserves the decode slot of a long prefill that is about to end.
// If there is none now, it is sought when the prefill has ended.
func (c *Core) reserveDecodeSlot(now time.Time, r *request) {
	r.reserveDecodeAt = time.Time{}
	if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.prefill.server); s != nil {
		c.addStep(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the prefill that is about to end"})
		c.reserveDecode(r, s, urgentPriority, reservationMargin+reserveLead)
	}
	c.setPrefillTimer(r)
}

// prefillLimit is the time after which a prefill counts as stalled. Work of a
// higher priority may hold it up for long, so it is generous.
func (c *Core) prefillLimit(r *request) time.Duration {
	need := time.Duration(float64(r.prefillTokens) / max(r.prefill.server.Rate(), 1) * float64(time.Second))
	return 8*need + retryTTFTFactor*r.TTFT + c.opts.StallAfter
}

// Prefilled takes the result of a prefill. Took is the time that the engine
// worked on it.
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
	// The engine is done with the work, though it still holds the result.
	c.view.PrefillReleased(r.prefill.server, r.Priority, r.prefillTokens)
	r.prefill.held = false
	switch {
	case r.decode.granted:
		c.beginTransfer(now, r)
	case r.decode.held: // its reservation is on the way
		r.phase = seeking
		c.setTimer(r, now.Add(reserveTimeout))
	default:
		c.seekDecode(now, r)
	}
	c.schedule(now, r.Model)
	return c.takeEffects()
}

// urgent is the priority at which a slot is reserved for a KV cache that is
// there, or nearly so: it may take the last slot, because it would be lost.
const urgentPriority = 0

// seek looks for a decode slot for a KV cache that is there.
func (c *Core) seekDecode(now time.Time, r *request) {
	r.phase = seeking
	if now.Add(transferTime(r)).After(r.kvExpires) {
		c.kvExpired(now, r)
		return
	}
	if r.refusals <= maxRefusals {
		if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.prefill.server); s != nil {
			c.addStep(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the prefill at hand"})
			c.reserveDecode(r, s, urgentPriority, reservationMargin)
			c.setTimer(r, now.Add(reserveTimeout))
			return
		}
	}
	r.refusals = 0
	c.awaitingDecode[r.ID] = r
	c.stopTimer(r)
}

// transferTime estimates the transfer without a wait for the link.
func transferTime(r *request) time.Duration {
	return time.Duration(float64(r.KVBytes) / max(r.prefill.server.LinkRate, 1) * float64(time.Second))
}

// expired gives up a KV cache that no decode server could take in time.
func (c *Core) kvExpired(now time.Time, r *request) {
	delete(c.awaitingDecode, r.ID)
	c.addWaste(r, WasteKVExpired)
	c.releaseKV(r)
	c.requeue(now, r, "the prefill expired before a decode slot was free")
}

// freeKV tells the prefill server that its result is not needed any more.
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

// stallFactor is how many times the expected time a transfer may take: others
// may join it on the link.
const stallFactor = 4

// stallLimit is how long a transfer that should take a time may take. It leaves
// room for a second one while the KV cache lives, if it can.
func (c *Core) stallLimit(now time.Time, r *request, expected time.Duration) time.Duration {
	limit := stallFactor*expected + c.opts.StallAfter
	remaining := r.kvExpires.Sub(now) - 2*expected
	return min(limit, max(remaining, 2*expected))
}

// endMove notes that a transfer has ended in whatever way.
func (c *Core) endTransfer(r *request) {
	if r.transferring {
		r.transferring = false
		c.view.TransferEnded(r.prefill.server, r.decode.server)
	}
}

// Imported tells that the decode engine has the KV cache, so the prefill
// engine may drop it.
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

// decodeLimit is the silence after which a decode counts as stalled.
func decodeLimit(r *request) time.Duration {
	return max(20*r.TBT, 3*time.Second)
}

// Token tells that a token came; the caller has count tokens now.
func (c *Core) Token(now time.Time, id lease.ID, count int) []Effect {
	r := c.current(id)
	if r == nil || r.phase != decoding {
		return nil
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		c.addStep(now, r, decision.Step{Kind: decision.FirstToken, Server: r.decode.server.Name,
			Detail: now.Sub(r.arrived).Round(time.Millisecond).String() + " after arrival"})
	}
	r.generated = count
	r.lastTokenAt = now
	return nil
}

// Done ends a request whose answer is whole. PerToken is the mean time between
// its tokens.
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

// wakeSeekers lets requests with a KV cache look for a decode slot again.
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
