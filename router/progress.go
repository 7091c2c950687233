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
		return c.take()
	}
	h := c.halfAt(r, server)
	if h == nil || h.given || h.refused {
		return c.take()
	}
	if !ok {
		c.notGiven(now, r, h, reason)
		return c.take()
	}
	h.given = true
	c.note(now, r, decision.Step{Kind: decision.Reserved, Server: server})
	switch r.phase {
	case reserving:
		if r.p.given && (r.d.given || r.d.server == nil) {
			c.beginPrefill(now, r)
		}
	case seeking:
		c.beginTransfer(now, r)
	}
	return c.take()
}

// halfAt returns the half of the present attempt at a server.
func (c *Core) halfAt(r *request, server string) *half {
	switch {
	case r.p.held && !r.p.given && r.p.server.Name == server:
		return &r.p
	case r.d.held && r.d.server.Name == server:
		return &r.d
	}
	return nil
}

// notGiven goes back to the queue, or to the search for a decode slot.
func (c *Core) notGiven(now time.Time, r *request, h *half, reason string) {
	h.refused = true
	r.refusals++
	c.note(now, r, decision.Step{Kind: decision.ReservationRefused, Server: h.server.Name, Detail: reason})
	switch r.phase {
	case seeking:
		c.freeDecode(r, false)
		c.seek(now, r)
		return
	case prefilling:
		c.freeDecode(r, false)
		r.d = half{}
		return
	case reserving:
	default:
		return
	}
	c.freePrefill(r, !r.p.refused)
	c.freeDecode(r, !r.d.refused)
	c.clearDue(r)
	c.enqueue(now, r)
	c.schedule(now, r.Model)
}

func (c *Core) beginPrefill(now time.Time, r *request) {
	r.phase = prefilling
	r.ran = true
	r.refusals = 0
	c.stats.Admitted++
	c.stats.PrefillTokens += r.work
	c.note(now, r, decision.Step{Kind: decision.Prefilling, Server: r.p.server.Name})
	c.emit(StartPrefill{ID: r.id(), Server: r.p.server.Name})
	r.limit = now.Add(c.prefillLimit(r))
	c.watchPrefill(r)
}

// watchPrefill sets the moment at which a running prefill is looked at: to
// reserve its decode slot, or to give it up as stalled.
func (c *Core) watchPrefill(r *request) {
	if !r.lead.IsZero() && r.lead.Before(r.limit) {
		c.setDue(r, r.lead)
		return
	}
	c.setDue(r, r.limit)
}

// reserveLate reserves the decode slot of a long prefill that is about to end.
// If there is none now, it is sought when the prefill has ended.
func (c *Core) reserveLate(now time.Time, r *request) {
	r.lead = time.Time{}
	if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.p.server); s != nil {
		c.note(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the prefill that is about to end"})
		c.holdDecode(r, s, urgent, holdSpare+reserveLead)
	}
	c.watchPrefill(r)
}

// prefillLimit is the time after which a prefill counts as stalled. Work of a
// higher priority may hold it up for long, so it is generous.
func (c *Core) prefillLimit(r *request) time.Duration {
	need := time.Duration(float64(r.work) / max(r.p.server.Rate(), 1) * float64(time.Second))
	return 8*need + lateFactor*r.TTFT + c.opts.StallAfter
}

// Prefilled takes the result of a prefill. Took is the time that the engine
// worked on it.
func (c *Core) Prefilled(now time.Time, server string, id lease.ID, kv engine.KV, cached int, took time.Duration) []Effect {
	r := c.current(id)
	if r == nil || r.phase != prefilling {
		return c.take()
	}
	computed := max(kv.Tokens-cached, 0)
	c.view.PrefillDone(r.p.server, r.Prefixes, computed, cached, took)
	c.note(now, r, decision.Step{Kind: decision.Prefilled, Server: server,
		Detail: fmt.Sprintf("%d tokens, %d of them cached, in %s", kv.Tokens, cached, took.Round(time.Millisecond))})
	r.kv, r.kvID = kv, r.id()
	r.kvUntil = now.Add(kv.TTL)
	// The engine is done with the work, though it still holds the result.
	c.view.PrefillReleased(r.p.server, r.Priority, r.work)
	r.p.held = false
	switch {
	case r.d.given:
		c.beginTransfer(now, r)
	case r.d.held: // its reservation is on the way
		r.phase = seeking
		c.setDue(r, now.Add(reserveTimeout))
	default:
		c.seek(now, r)
	}
	c.schedule(now, r.Model)
	return c.take()
}

// urgent is the priority at which a slot is reserved for a KV cache that is
// there, or nearly so: it may take the last slot, because it would be lost.
const urgent = 0

// seek looks for a decode slot for a KV cache that is there.
func (c *Core) seek(now time.Time, r *request) {
	r.phase = seeking
	if now.Add(transferTime(r)).After(r.kvUntil) {
		c.expired(now, r)
		return
	}
	if r.refusals <= maxRefusals {
		if s := c.opts.Policy.ChooseDecode(c.view, now, r.query(), r.p.server); s != nil {
			c.note(now, r, decision.Step{Kind: decision.Chosen, Server: s.Name, Detail: "decode slot for the prefill at hand"})
			c.holdDecode(r, s, urgent, holdSpare)
			c.setDue(r, now.Add(reserveTimeout))
			return
		}
	}
	r.refusals = 0
	c.seekers[r.ID] = r
	c.clearDue(r)
}

// transferTime estimates the transfer without a wait for the link.
func transferTime(r *request) time.Duration {
	return time.Duration(float64(r.KVBytes) / max(r.p.server.LinkRate, 1) * float64(time.Second))
}

// expired gives up a KV cache that no decode server could take in time.
func (c *Core) expired(now time.Time, r *request) {
	delete(c.seekers, r.ID)
	c.waste(r, WasteKVExpired)
	c.freeKV(r)
	c.again(now, r, "the prefill expired before a decode slot was free")
}

// freeKV tells the prefill server that its result is not needed any more.
func (c *Core) freeKV(r *request) {
	c.emit(Release{ID: r.kvID, Server: r.p.server.Name})
}

func (c *Core) beginTransfer(now time.Time, r *request) {
	delete(c.seekers, r.ID)
	r.phase = importing
	r.refusals = 0
	r.transferAt = now
	took := c.view.TransferTime(r.p.server, r.d.server, r.kv.Bytes)
	c.view.TransferStarted(r.p.server, r.d.server)
	r.moving = true
	c.note(now, r, decision.Step{Kind: decision.Transfer, Server: r.d.server.Name,
		Detail: fmt.Sprintf("%d bytes from %s, expected in %s", r.kv.Bytes, r.p.server.Name, took.Round(time.Millisecond))})
	c.emit(StartDecode{ID: r.id(), Server: r.d.server.Name, KV: r.kv})
	c.setDue(r, now.Add(c.stallLimit(now, r, took)))
}

// stallFactor is how many times the expected time a transfer may take: others
// may join it on the link.
const stallFactor = 4

// stallLimit is how long a transfer that should take a time may take. It leaves
// room for a second one while the KV cache lives, if it can.
func (c *Core) stallLimit(now time.Time, r *request, took time.Duration) time.Duration {
	limit := stallFactor*took + c.opts.StallAfter
	room := r.kvUntil.Sub(now) - 2*took
	return min(limit, max(room, 2*took))
}

// endMove notes that a transfer has ended in whatever way.
func (c *Core) endMove(r *request) {
	if r.moving {
		r.moving = false
		c.view.TransferEnded(r.p.server, r.d.server)
	}
}

// Imported tells that the decode engine has the KV cache, so the prefill
// engine may drop it.
func (c *Core) Imported(now time.Time, server string, id lease.ID) []Effect {
	r := c.current(id)
	if r == nil || r.phase != importing {
		return c.take()
	}
	c.endMove(r)
	r.phase = decoding
	r.lastChunk = now
	c.note(now, r, decision.Step{Kind: decision.Imported, Server: server, Detail: "in " + now.Sub(r.transferAt).Round(time.Millisecond).String()})
	c.freeKV(r)
	c.setDue(r, now.Add(decodeLimit(r)))
	return c.take()
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
	if r.firstAt.IsZero() {
		r.firstAt = now
		c.note(now, r, decision.Step{Kind: decision.FirstToken, Server: r.d.server.Name,
			Detail: now.Sub(r.arrived).Round(time.Millisecond).String() + " after arrival"})
	}
	r.sofar = count
	r.lastChunk = now
	return nil
}

// Done ends a request whose answer is whole. PerToken is the mean time between
// its tokens.
func (c *Core) Done(now time.Time, id lease.ID, perToken time.Duration) []Effect {
	r := c.current(id)
	if r == nil || r.phase != decoding {
		return c.take()
	}
	c.stats.Done++
	c.view.DecodeDone(r.d.server, perToken)
	c.note(now, r, decision.Step{Kind: decision.Done, Detail: fmt.Sprintf("%d tokens in %s", r.sofar, now.Sub(r.arrived).Round(time.Millisecond))})
	c.freeDecode(r, false)
	c.forget(r)
	c.wakeSeekers(now)
	c.schedule(now, r.Model)
	return c.take()
}

// wakeSeekers lets requests with a KV cache look for a decode slot again.
func (c *Core) wakeSeekers(now time.Time) {
	if len(c.seekers) == 0 {
		return
	}
	list := slices.SortedFunc(maps.Values(c.seekers), func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.deadline.Compare(b.deadline), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range list {
		if c.seekers[r.ID] == r {
			delete(c.seekers, r.ID)
			c.seek(now, r)
		}
	}
}
