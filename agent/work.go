package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/wire"
)

// engineID returns the ID of an attempt at the engine.
func engineID(id lease.ID) string { return fmt.Sprintf("%s.%d", id.Req, id.Attempt) }

// parseID parses an ID that engineID returned.
func parseID(s string) (lease.ID, bool) {
	req, num, ok := cutLast(s, ".")
	n, err := strconv.ParseUint(num, 10, 32)
	return lease.ID{Req: req, Attempt: uint32(n)}, ok && err == nil
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// handleReserve accepts or rejects a reservation at once. Callers hold the lock.
func (a *Agent) handleReserve(now time.Time, owner string, l *wire.Link, m *wire.Reserve) {
	reason := lease.NoModel
	if slices.Contains(a.models, m.Model) {
		reason = a.work.Reserve(now, lease.Request{
			ID: m.ID, Owner: owner, Hold: m.Hold, Keep: m.Keep,
			Headroom: placement.Headroom(m.Tokens > 0, a.work.Slots(), m.Priority),
		})
	}
	if reason == lease.None {
		a.jobs[m.ID] = &job{owner: owner, priority: m.Priority, tokens: m.Tokens}
		a.addStep(m.ID, decision.Reserved, fmt.Sprintf("for %s, %d of %d slots in use", l.Peer.Name, a.work.Used(), a.work.Slots()))
	} else {
		a.addStep(m.ID, decision.ReservationRefused, string(reason))
	}
	answer := &wire.Reserved{ID: m.ID, OK: reason == lease.None, Reason: string(reason), Load: a.loadFor(owner)}
	_ = l.Send(&wire.Message{Reserved: answer})
}

// startJob starts the work of a reservation. It returns nil and reports a failure to the entry
// if there is no reservation.
func (a *Agent) startJob(l *wire.Link, id lease.ID, step fault.Step) (*job, context.Context) {
	j := a.jobs[id]
	if j == nil || !a.work.Start(id) {
		a.sendFailed(l, id, step, "no reservation", false)
		return nil, nil
	}
	ctx, cancel := context.WithCancel(a.ctx)
	j.cancel = cancel
	return j, ctx
}

func (a *Agent) sendFailed(l *wire.Link, id lease.ID, step fault.Step, detail string, serverFault bool) {
	_ = l.Send(&wire.Message{Failed: &wire.Failed{ID: id, Step: string(step), Detail: detail, Server: serverFault}})
}

// sendTo sends a message over the current link of an owner, if there is one.
func (a *Agent) sendTo(owner string, m *wire.Message) {
	a.mu.Lock()
	l := a.links[owner]
	a.mu.Unlock()
	if l != nil {
		_ = l.Send(m)
	}
}

func (a *Agent) startPrefill(owner string, l *wire.Link, m *wire.Prefill) {
	j, ctx := a.startJob(l, m.ID, fault.StepPrefill)
	if j == nil {
		return
	}
	a.addStep(m.ID, decision.Prefilling, "")
	r := m.Request
	r.ID = engineID(m.ID)
	a.wg.Go(func() { a.prefill(ctx, owner, m.ID, j, r) })
}

func (a *Agent) prefill(ctx context.Context, owner string, id lease.ID, j *job, r engine.Request) {
	start := clock.VM.Now()
	res, err := a.engine.Prefill(ctx, r)
	if err != nil {
		a.failJob(owner, id, fault.StepPrefill, err)
		return
	}
	a.finishPrefill(owner, id, j, res, start)
}

// finishPrefill frees the slot of a prefill and holds its result under a separate lease
// until the decode engine has imported it.
func (a *Agent) finishPrefill(owner string, id lease.ID, j *job, res engine.Prefilled, start time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.VM.Now()
	if state, ok := a.work.State(id); !ok || state != lease.Running {
		return // it was cancelled, which also frees the result
	}
	a.work.Finish(id)
	a.kv.Restore(now, id, owner, false)
	a.kv.SetDeadline(id, now.Add(res.KV.TTL))
	if a.lastPrefillEnd.After(start) {
		start = a.lastPrefillEnd // it was queued behind the previous prefill
	}
	a.lastPrefillEnd = now
	j.tokens = 0
	j.result = &wire.Prefilled{ID: id, KV: res.KV, Cached: res.Cached, Took: now.Sub(start), Load: a.loadFor(owner)}
	a.addStep(id, decision.Prefilled, fmt.Sprintf("%d tokens, %d cached", res.KV.Tokens, res.Cached))
	if l := a.links[owner]; l != nil {
		_ = l.Send(&wire.Message{Prefilled: j.result})
	}
}

func (a *Agent) startDecode(owner string, l *wire.Link, m *wire.Decode) {
	j, ctx := a.startJob(l, m.ID, fault.StepTransfer)
	if j == nil {
		return
	}
	a.addStep(m.ID, decision.Transfer, fmt.Sprintf("%d bytes from %s", m.KV.Bytes, m.KV.Source))
	j.next, j.importing = m.From, true
	r := m.Request
	r.ID = engineID(m.ID)
	a.wg.Go(func() { a.decode(ctx, owner, m, j, r) })
}

func (a *Agent) decode(ctx context.Context, owner string, m *wire.Decode, j *job, r engine.Request) {
	start := clock.VM.Now()
	s, err := a.engine.Decode(ctx, r, m.KV, m.From)
	if err != nil {
		a.failJob(owner, m.ID, fault.StepTransfer, err)
		return
	}
	a.mu.Lock()
	j.importing = false
	a.addStep(m.ID, decision.Imported, "")
	a.mu.Unlock()
	a.sendTo(owner, &wire.Message{Imported: &wire.Imported{ID: m.ID, Took: clock.VM.Since(start)}})
	a.forwardStream(ctx, owner, m.ID, j, s)
}

// maxStreamResumes is the maximum number of times that a broken stream is opened again at the
// engine.
const maxStreamResumes = 2

// forwardStream forwards the chunks of a stream to the entry, and opens the stream again
// if it breaks while the engine still has the request.
func (a *Agent) forwardStream(ctx context.Context, owner string, id lease.ID, j *job, s engine.Stream) {
	for try := 0; ; try++ {
		err := a.copyStream(owner, id, j, s)
		_ = s.Close()
		if errors.Is(err, io.EOF) {
			a.finishDecode(id)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if try < maxStreamResumes {
			s, err = a.engine.Resume(ctx, engineID(id), j.next)
		}
		if err != nil {
			a.failJob(owner, id, fault.StepDecode, err)
			return
		}
	}
}

func (a *Agent) copyStream(owner string, id lease.ID, j *job, s engine.Stream) error {
	for {
		c, err := s.Next()
		if err != nil {
			return err
		}
		a.sendTo(owner, &wire.Message{Chunk: &wire.Chunk{ID: id, Chunk: c}})
		j.next = c.Index + 1
	}
}

func (a *Agent) finishDecode(id lease.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.work.Finish(id)
	a.addStep(id, decision.Done, "")
	a.endJob(id)
}

// endJob cancels and removes a job. Callers hold the lock.
func (a *Agent) endJob(id lease.ID) {
	if j := a.jobs[id]; j != nil {
		if j.cancel != nil {
			j.cancel()
		}
		delete(a.jobs, id)
	}
}

// failJob ends work that failed at the engine. The slot stays in use until the engine
// has confirmed the cancellation.
func (a *Agent) failJob(owner string, id lease.ID, step fault.Step, err error) {
	a.mu.Lock()
	state, ok := a.work.State(id)
	cancelled := !ok || state == lease.Cancelling
	if !cancelled {
		a.addStep(id, decision.Failure, fault.From(err).Error())
	}
	a.cancelWork(clock.VM.Now(), id)
	a.mu.Unlock()
	if !cancelled && a.ctx.Err() == nil {
		a.sendTo(owner, &wire.Message{Failed: &wire.Failed{
			ID: id, Step: string(step), Code: fault.From(err).Code.ID, Detail: fault.From(err).Detail, Server: true,
		}})
	}
}

// cancelWork cancels the work and the stored result of an attempt. Callers hold the lock.
func (a *Agent) cancelWork(now time.Time, id lease.ID) {
	a.perform(a.work, a.work.Cancel(now, id))
	a.perform(a.kv, a.kv.Cancel(now, id))
	if _, ok := a.work.State(id); !ok {
		if _, ok := a.kv.State(id); !ok {
			a.endJob(id)
		}
	}
}

// perform carries out the cancellations that a lease table requests. Callers hold the lock.
func (a *Agent) perform(t *lease.Table, list []lease.EngineCancel) {
	for _, e := range list {
		metric.Cancels.WithLabelValues(a.cfg.Name, "sent").Inc()
		switch {
		case e.Expired:
			event.LeaseExpired.Log(a.log, "request", e.ID.Req)
			a.addStep(e.ID, decision.Expired, "")
		case e.Try == 1:
			a.addStep(e.ID, decision.Cancelled, "")
		default:
			event.CancelUnconfirmed.Log(a.log, "request", e.ID.Req, "try", e.Try)
		}
		if j := a.jobs[e.ID]; j != nil && j.cancel != nil {
			j.cancel()
		}
		a.wg.Go(func() { a.cancelAtEngine(t, e.ID) })
	}
}

const cancelTimeout = 2 * time.Second

func (a *Agent) cancelAtEngine(t *lease.Table, id lease.ID) {
	ctx, cancel := context.WithTimeout(a.ctx, cancelTimeout)
	defer cancel()
	if err := a.engine.Cancel(ctx, engineID(id)); err != nil {
		return // the lease table requests it again
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Finish(id)
	metric.Cancels.WithLabelValues(a.cfg.Name, "confirmed").Inc()
	a.addStep(id, decision.Confirmed, "")
	a.endJob(id)
}
