package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// waiter is a request that waits for an engine with room.
type waiter struct {
	priority int
	work     dispatch.Work
	engine   *route.Engine
	avoid    dispatch.Avoid
	placed   chan dispatch.Pair
}

// place finds a prefill and a decode engine and books both. It waits for room
// until the context ends or the limit is over.
func (f *fleet) place(ctx context.Context, w *waiter, limit time.Duration) (dispatch.Pair, bool) {
	w.placed = make(chan dispatch.Pair, 1)
	f.mu.Lock()
	at, _ := slices.BinarySearchFunc(f.queue, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	f.queue = slices.Insert(f.queue, at, w)
	f.serve()
	f.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case p := <-w.placed:
		return p, true
	case <-t.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(o *waiter) bool { return o == w })
	select {
	case p := <-w.placed: // placed at the last moment
		return p, true
	default:
		return dispatch.Pair{}, false
	}
}

// serve places waiting requests, the first of the queue first: one that does
// not fit holds up those behind it, so that a large prompt is not passed over
// for ever. Callers hold the lock.
func (f *fleet) serve() {
	now := time.Now()
	for len(f.queue) > 0 {
		w := f.queue[0]
		p, ok := f.view.Pair(now, w.work, w.engine, w.avoid)
		if !ok {
			return
		}
		f.queue = f.queue[1:]
		f.view.Reserve(p.Decode.ID, w.work)
		decode := *p.Decode
		placed := dispatch.Pair{Decode: &decode, Wait: p.Wait, Ahead: p.Ahead}
		f.view.StartRead(p.Reader().ID, w.work)
		if p.Prefill != nil {
			prefill := *p.Prefill
			placed.Prefill = &prefill
		}
		f.dirty = true
		w.placed <- placed
	}
}

// move books another decode engine for a prompt that has been read.
func (f *fleet) move(w dispatch.Work, e *route.Engine, zone string, avoid dispatch.Avoid) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserve(f.view.Decode(time.Now(), w, e, zone, avoid), w)
}
