package standin

import (
	"net/http"
	"strconv"
)

// stream runs a request and writes its events, with increasing IDs after the last one that the
// caller has, until the run ends or is stopped. It calls ended when the run has ended, which may
// be long after its stream has.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, fault Fault, kv KVCache, ended func()) {
	behaviour := b.currentBehaviour()
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(b.headers.LastEventID))
	if kv.Events > 0 {
		switch behaviour.ContinueFrom {
		case AfterGenerated:
			from = kv.Events
		case AtGenerated:
			from = kv.Events - 1
		}
	}
	body := BodyOf(r)
	if isRunCopy(r.Header.Get(b.headers.KVSource)) {
		body = kv.body // a continued run answers the request of its KV cache
	}
	run := b.start(r.Header.Get(b.headers.RequestID), body, from, ended)
	if fault == LoseAnswer {
		reset(w)
		run.abandon(behaviour.Linger)
		return
	}
	out, err := b.openStream(w, r, behaviour.Unframed)
	if err != nil {
		run.abandon(0)
		return
	}
	writer := &eventWriter{run: run, out: out, behaviour: behaviour, next: from + 1}
	if fault == CutStream {
		writer.cutAt = from + 3
	}
	complete := false
	defer func() {
		if !complete {
			run.abandon(behaviour.Linger) // even if the middleware aborts the handler by a panic
		}
	}()
	complete = writer.write()
	out.end(complete, behaviour.Reset)
}

// openStream opens the answer to a streaming request.
func (b *Backend) openStream(w http.ResponseWriter, r *http.Request, unframed bool) (streamWriter, error) {
	if unframed {
		return b.unframe(w)
	}
	return &framedStream{w: w, r: r}, nil
}

// eventWriter writes the events of a run to its stream.
type eventWriter struct {
	run       *run
	out       streamWriter
	behaviour Behaviour
	// next is the next event to write, cutAt the event in whose middle the stream breaks off; zero
	// for none.
	next, cutAt int
	// pending is what has been generated and not written.
	pending []byte
}

// write writes the events and returns true at the end of the run, or false if the run is stopped
// or its connection ends before. Pending bytes are lost then.
func (w *eventWriter) write() bool {
	for {
		ended := false
		select {
		case <-w.run.wake:
		case <-w.run.done:
			ended = true
		case <-w.run.stopped:
			return false
		case <-w.out.closed():
			return false
		}
		for last := w.run.lastEvent(); w.next <= last; w.next++ {
			event := w.behaviour.Event(w.run.body, w.next)
			if w.next == w.cutAt {
				w.pending = append(w.pending, event[:len(event)/2]...)
				w.flush(true)
				return false
			}
			w.pending = append(w.pending, event...)
		}
		select {
		case <-w.run.stopped:
			return false
		default:
		}
		if !w.flush(ended) {
			return false
		}
		if ended {
			return w.run.lastEvent() == w.run.last || w.run.from >= w.run.last
		}
	}
}

// flush writes the pending bytes in pieces of the sizes that the behaviour chooses, and all of
// them if all is set. It returns false if the connection is closed.
func (w *eventWriter) flush(all bool) bool {
	for len(w.pending) > 0 {
		n := len(w.pending)
		if w.behaviour.WriteSize != nil {
			n = min(w.behaviour.WriteSize(n), n)
		}
		if n <= 0 && !all {
			return true
		}
		n = max(n, 1)
		if !w.out.write(w.pending[:n]) {
			return false
		}
		w.pending = w.pending[n:]
	}
	return true
}

// streamWriter is the answer to a streaming request.
type streamWriter interface {
	// write returns false if the connection is closed. closed returns a channel that is closed then.
	write(p []byte) bool
	closed() <-chan struct{}
	// end ends the stream as complete, or interrupts it.
	end(complete, byReset bool)
}

// framedStream writes a stream in chunks, the last of which marks its end.
type framedStream struct {
	w http.ResponseWriter
	r *http.Request
}

func (f *framedStream) write(p []byte) bool {
	_, err := f.w.Write(p)
	return err == nil && http.NewResponseController(f.w).Flush() == nil
}

func (f *framedStream) closed() <-chan struct{} { return f.r.Context().Done() }

func (f *framedStream) end(complete, byReset bool) {
	switch {
	case complete:
	case byReset:
		reset(f.w)
	default:
		panic(http.ErrAbortHandler)
	}
}
