package gateway

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/route"
)

// place finds a prefill and a decode engine and reserves both. It waits for capacity until the
// context or the limit ends, or until it no longer expects to be placed in time.
func (f *fleet) place(ctx context.Context, w *dispatch.QueuedRequest, limit time.Duration) (dispatch.Pair, bool) {
	placed := make(chan dispatch.Pair, 1)
	f.mu.Lock()
	f.placed[w] = placed
	f.queue.Add(w)
	f.serveQueue()
	f.mu.Unlock()
	pair, ok := awaitAssignment(ctx, placed, limit, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.queue.Remove(w)
		delete(f.placed, w)
	})
	return pair, ok && pair.Decode != nil
}

// rejectLate rejects the waiting requests that no longer expect to be placed in time, by closing
// their channels. The caller holds f.mu.
func (f *fleet) rejectLate() {
	times := func(service string) dispatch.RunTimes { return f.runTimes[service] }
	f.view.RejectLate(f.clock.Now(), &f.queue, times, func(w *dispatch.QueuedRequest) {
		close(f.placed[w])
		delete(f.placed, w)
	})
}

// awaitAssignment returns what is assigned to a request until the context or the limit ends. leave
// removes the request from its queue. An assignment made before that counts too, since it is
// already reserved.
func awaitAssignment[T any](ctx context.Context, assigned <-chan T, limit time.Duration, leave func()) (T, bool) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case v := <-assigned:
		return v, true
	case <-t.C:
	case <-ctx.Done():
	}
	leave()
	select {
	case v := <-assigned:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// serveQueue assigns engines to waiting requests for which there is capacity. The caller holds
// f.mu.
func (f *fleet) serveQueue() {
	f.servePlainQueue()
	f.view.ServeQueue(f.clock.Now(), &f.queue, func(w *dispatch.QueuedRequest, p dispatch.Pair) {
		decode := *p.Decode
		out := dispatch.Pair{Decode: &decode, PrefillTime: p.PrefillTime, QueuedTokens: p.QueuedTokens, Position: p.Position}
		if p.Prefill != nil {
			prefill := *p.Prefill
			out.Prefill = &prefill
		}
		f.pending.changed = true
		metric.Placements.WithLabelValues(w.Work.Service, p.Position.Waiting()).Inc()
		f.placed[w] <- out
		delete(f.placed, w)
	})
}

// reserveDecode reserves another decode engine for a prompt that has been prefilled.
func (f *fleet) reserveDecode(w dispatch.Work, e *route.Engine, zone string, avoid dispatch.Avoid) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserve(f.view.ChooseDecode(f.clock.Now(), w, e, zone, avoid), w)
}
