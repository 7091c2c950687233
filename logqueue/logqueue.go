// Package logqueue writes log lines without ever blocking the code that logs.
//
// Lines wait in a bounded queue for one writer. When the queue fills, ordinary lines are
// dropped before warnings and errors, and they are dropped by request: the lines of a request
// are all kept or all dropped, so that no request is logged incompletely. Dropped lines are
// counted and reported in a line of their own.
package logqueue

import (
	"bytes"
	"hash/maphash"
	"io"
	"sync"
	"time"
)

// Limits of the queue.
const (
	// DefaultBytes is the default size of the queue in bytes of lines.
	DefaultBytes = 256 << 10
	// thinShare is the used share of the queue above which the ordinary lines of most
	// requests are dropped, fullShare the one above which all ordinary lines are.
	thinShare = 0.5
	fullShare = 0.8
	// One in keepOneIn requests is kept between thinShare and fullShare.
	keepOneIn = 4
)

// Queue is an io.Writer that expects one line per call of Write.
type Queue struct {
	out      io.Writer
	maxBytes int
	seed     maphash.Seed
	// onDropped is called with the number of dropped lines; it may log.
	onDropped func(lines int)

	mu           sync.Mutex
	lines        [][]byte
	queuedBytes  int
	droppedLines int
	wake         chan struct{}
	closing      bool
	done         chan struct{}
}

// New returns a queue of at most size bytes that writes to out. If onDropped is not nil, it is
// called with the number of lines that were dropped.
func New(out io.Writer, size int, onDropped func(lines int)) *Queue {
	q := &Queue{out: out, maxBytes: size, seed: maphash.MakeSeed(), onDropped: onDropped, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if q.closing || !q.keep(line) {
		q.droppedLines++
		q.mu.Unlock()
		return len(line), nil
	}
	q.lines = append(q.lines, bytes.Clone(line))
	q.queuedBytes += len(line)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// keep reports whether a line is queued rather than dropped. The caller holds q.mu.
func (q *Queue) keep(line []byte) bool {
	share := float64(q.queuedBytes+len(line)) / float64(q.maxBytes)
	switch {
	case share > 1:
		return false
	case isWarningOrError(line) || share <= thinShare:
		return true
	case share > fullShare:
		return false
	}
	id := requestID(line)
	return id != nil && maphash.Bytes(q.seed, id)%keepOneIn == 0
}

func isWarningOrError(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"WARN"`)) || bytes.Contains(line, []byte(`"level":"ERROR"`))
}

// requestID returns the ID of the request that a line is about, or nil.
func requestID(line []byte) []byte {
	_, rest, ok := bytes.Cut(line, []byte(`"id":"`))
	if !ok {
		return nil
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return id
}

// run writes queued lines until the queue is closed and empty.
func (q *Queue) run() {
	defer close(q.done)
	for range q.wake {
		for q.flush() {
		}
		q.mu.Lock()
		finished := q.closing && len(q.lines) == 0
		q.mu.Unlock()
		if finished {
			return
		}
	}
}

// flush writes the queued lines and then reports dropped ones. It reports whether any line was
// queued.
func (q *Queue) flush() bool {
	q.mu.Lock()
	lines, droppedLines := q.lines, q.droppedLines
	q.lines, q.droppedLines = nil, 0
	q.mu.Unlock()
	if len(lines) > 0 {
		_, _ = q.out.Write(bytes.Join(lines, nil))
		q.mu.Lock()
		for _, l := range lines {
			q.queuedBytes -= len(l)
		}
		q.mu.Unlock()
	}
	if droppedLines > 0 && q.onDropped != nil {
		q.onDropped(droppedLines)
	}
	return len(lines) > 0
}

// Close drops further lines and waits until the queued ones are written, for at most timeout.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closing = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
