// Package logqueue writes log lines without ever holding up who logs.
//
// Lines wait in a bounded queue for one writer. When the queue fills, ordinary
// lines give way before warnings and errors, and they give way by request: the
// lines of a request are all kept or all left out, so that no story is half
// told. What was left out is counted, and a line of its own says how much.
package logqueue

import (
	"bytes"
	"hash/maphash"
	"io"
	"sync"
	"time"
)

// Bounds of the queue in bytes of lines.
const (
	// DefaultBytes bounds the queue.
	DefaultBytes = 256 << 10
	// thinShare is the share of the queue from which on ordinary lines of most
	// requests are left out, and fullShare that from which on all of them are.
	thinShare = 0.5
	fullShare = 0.8
	// keepOneIn in so many requests is kept while the queue is thinned.
	keepOneIn = 4
)

// Queue is an io.Writer that takes one line in each call.
type Queue struct {
	out      io.Writer
	maxBytes int
	seed     maphash.Seed
	// dropped is called with the number of lines that were left out; it may log.
	onDropped func(lines int)

	mu           sync.Mutex
	lines        [][]byte
	queuedBytes  int
	droppedLines int
	wake         chan struct{}
	closing      bool
	done         chan struct{}
}

// New returns a queue before a writer. Dropped, if it is not nil, is told of
// lines that were left out.
func New(out io.Writer, size int, onDropped func(lines int)) *Queue {
	q := &Queue{out: out, maxBytes: size, seed: maphash.MakeSeed(), onDropped: onDropped, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line. It never waits and never fails.
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

// keep decides whether a line is kept. Callers hold the lock.
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

// requestID returns the request that a line is about, or nil.
func requestID(line []byte) []byte {
	_, rest, ok := bytes.Cut(line, []byte(`"id":"`))
	if !ok {
		return nil
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return id
}

// run writes the lines.
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

// flush writes what waits and then tells what was left out; it returns false if
// there was nothing to do.
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

// Close writes what waits, for a time at most.
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
