package standin

import (
	"fmt"
	"time"
)

// Behaviour is how an engine behaves where its contract leaves that open, and where
// engines are known to break it. The zero value is an engine that writes each event at
// once, drops a run when its connection closes, and answers at once.
type Behaviour struct {
	// Event returns the whole text of an event of the answer to a request with a body, its
	// end included; nil for the plain one. Texts may hold anything, what looks like a field
	// or an end too.
	Event func(body string, n int) string
	// WriteSize returns how many of the bytes that are due are written next, none to wait for
	// the next event; nil writes all at once. Networks join and split at any byte.
	WriteSize func(due int) int
	// Unframed answers without length and chunks, so that only the connection's end
	// tells the end of a stream.
	Unframed bool
	// Reset ends a stream that does not come to its end by a reset in place of a close.
	Reset bool
	// Linger is how long a run goes on after its connection has closed. The same
	// request may come again meanwhile, and has two runs at the engine then.
	Linger time.Duration
	// OldestFirst has a copy name the oldest run of a request in place of the newest:
	// the contract names runs by request only.
	OldestFirst bool
	// ContinueFrom is where the continuation of a copy begins.
	ContinueFrom ContinueFrom
	// CopyTime is how long a copy takes.
	CopyTime time.Duration
	// CopyOutcome is what becomes of a call for a copy of a request's run; nil for an answer.
	CopyOutcome func(id string, stop bool) CopyOutcome
	// DuplicateAnswer tells whether the answer to a call for a copy comes once more, before the
	// next answer on its connection; nil for never.
	DuplicateAnswer func(id string, stop bool) bool
	// CloseAfterAnswer tells whether the answer to a call for a copy ends its connection; nil for
	// never.
	CloseAfterAnswer func(id string, stop bool) bool
}

// ContinueFrom is where an engine that continues a copy begins.
type ContinueFrom int

// Where a copy is continued. A run's own count may be ahead of what reached anybody, so
// that only the first is right.
const (
	// AfterLastID is after the event that the request names.
	AfterLastID ContinueFrom = iota
	// AfterGenerated is after the last event that the copied run had made.
	AfterGenerated
	// AtGenerated is at the last event that the copied run had made, which comes again.
	AtGenerated
)

// CopyOutcome is what becomes of a call for a copy.
type CopyOutcome int

// The fates.
const (
	// CopyAnswered is done and answered.
	CopyAnswered CopyOutcome = iota
	// CopyAnswerLost is done, and its connection is reset in place of an answer.
	CopyAnswerLost
	// CopyAnswerLate is done, and answered when nobody waits any more.
	CopyAnswerLate
	// CopyDoneLate is done when nobody waits any more.
	CopyDoneLate
	// CopyThenCrash is done and answered, and the engine ends.
	CopyThenCrash
)

// lateBy is longer than callers wait for a run to be stopped.
const lateAnswerDelay = 900 * time.Millisecond

// SetBehaviour sets how an engine behaves from now on; runs under way keep the manner that
// they began with.
func (b *Backend) SetBehaviour(m Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = m
}

func (b *Backend) currentBehaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.behaviour
	if text := b.text; m.Event == nil && text != nil {
		m.Event = func(body string, n int) string { return WriteEvent(n, text(body, n)) }
	}
	if m.Event == nil {
		m.Event = func(_ string, n int) string { return PlainEvent(n) }
	}
	return m
}

// PlainEvent returns an event of a stream as engines make it if they are told nothing
// else.
func PlainEvent(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }
