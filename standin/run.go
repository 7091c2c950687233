package standin

import (
	"slices"
	"sync"
	"time"
)

// run is an engine's work on one request. It generates its events at its own pace, independently
// of the connection, so it may be ahead of what any caller has received.
type run struct {
	id, body string
	// key identifies it among the engine's runs: several may belong to one request.
	key int
	// from is the last event before the first that it generates, last the last that it generates.
	from, last int
	// wake holds a token when there are new events.
	wake chan struct{}
	// stopped is closed when a call has stopped the run, dropped when it was abandoned, and done
	// when it has ended for any reason.
	stopped, dropped, done chan struct{}

	mu        sync.Mutex
	generated int
	// ended reports that it generates no more events, copying that a copy is in progress.
	ended, copying bool
	dropOnce       sync.Once
}

func newRun(id, body string, from, last int) *run {
	return &run{
		id: id, body: body, from: from, last: last, generated: from, wake: make(chan struct{}, 1),
		stopped: make(chan struct{}), dropped: make(chan struct{}), done: make(chan struct{}),
	}
}

// work generates the events and returns when the run has ended.
func (r *run) work(pace time.Duration) {
	defer close(r.done)
	defer r.end()
	for n := r.from + 1; n <= r.last && r.generate(n); n++ {
		select {
		case <-time.After(pace):
		case <-r.stopped:
			return
		case <-r.dropped:
			return
		}
	}
}

// generate generates event n. It returns false if the run has ended.
func (r *run) generate(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.generated = n
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// lastEvent returns the last generated event.
func (r *run) lastEvent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated
}

// end ends the generation of events. It returns false if it had ended before.
func (r *run) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.ended
	r.ended = true
	return !ended
}

// stop ends the run, which fixes its last event. It returns false if the run had ended before.
func (r *run) stop() bool {
	if !r.end() {
		return false
	}
	close(r.stopped)
	return true
}

// abandon ends a run that no caller waits for, after the engine's linger time.
func (r *run) abandon(linger time.Duration) {
	if linger > 0 {
		time.AfterFunc(linger, func() { r.abandon(0) })
		return
	}
	r.dropOnce.Do(func() { close(r.dropped) })
}

// beginCopy starts a copy of the run. It returns false if another copy is in progress.
func (r *run) beginCopy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copying {
		return false
	}
	r.copying = true
	return true
}

func (r *run) endCopy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copying = false
}

// start starts a run, which can be found by its request until it has ended, and calls ended at its
// end.
func (b *Backend) start(id, body string, from int, ended func()) *run {
	b.mu.Lock()
	pace := b.event
	r := newRun(id, body, from, b.events)
	b.runCount++
	r.key = b.runCount
	b.runs = append(b.runs, r)
	if b.ended {
		r.abandon(0)
	}
	b.mu.Unlock()
	go func() {
		defer ended()
		r.work(pace)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.runs = slices.DeleteFunc(b.runs, func(other *run) bool { return other == r })
	}()
	return r
}

// endRuns ends all runs, and those that are still started afterwards.
func (b *Backend) endRuns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, r := range b.runs {
		r.abandon(0)
	}
}

// find returns an active run of a request, the newest unless the behaviour sets OldestFirst; nil
// if there is none. The caller holds b.mu.
func (b *Backend) find(id string) *run {
	var found *run
	for _, r := range b.runs {
		if r.id == id {
			found = r
			if b.behaviour.OldestFirst {
				break
			}
		}
	}
	return found
}
