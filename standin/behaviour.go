package standin

import (
	"fmt"
	"time"
)

// Behaviour is how an engine behaves where its contract allows several behaviours, and where
// engines are known to break the contract. The zero value writes each event at once, drops a run
// when its connection closes, and answers copy calls without delay.
type Behaviour struct {
	// Event returns the complete text of an event of the answer to a request body, including its end;
	// nil for PlainEvent. Texts may contain anything, even what looks like a field or the end of
	// an event.
	Event func(body string, n int) string
	// WriteSize returns how many of the pending bytes are written next, zero to wait for the next
	// event; nil writes all at once. Networks join and split a stream at any byte.
	WriteSize func(due int) int
	// Unframed sends answers without length or chunks, so that only the end of the connection
	// marks the end of a stream.
	Unframed bool
	// Reset makes an interrupted stream end by a reset instead of a close.
	Reset bool
	// Linger is how long a run continues after its connection has closed. If the request is sent
	// again meanwhile, it has two runs at the engine.
	Linger time.Duration
	// OldestFirst makes a copy call apply to the oldest run of a request instead of the newest:
	// the contract names runs by request only.
	OldestFirst bool
	// ContinueFrom is where the continuation of a copy begins.
	ContinueFrom ContinueFrom
	// CopyTime is how long a copy takes.
	CopyTime time.Duration
	// CopyOutcome chooses the outcome of a call for a copy of a request's run; nil for
	// CopyAnswered.
	CopyOutcome func(id string, stop bool) CopyOutcome
	// DuplicateAnswer reports whether the answer to a copy call is sent once more, before the next
	// answer on its connection; nil for never.
	DuplicateAnswer func(id string, stop bool) bool
	// CloseAfterAnswer reports whether the answer to a copy call closes its connection; nil for
	// never.
	CloseAfterAnswer func(id string, stop bool) bool
}

// ContinueFrom is where an engine begins that continues a copy.
type ContinueFrom int

const (
	// AfterLastID continues after the event that the request names. Only this is correct: a run
	// may have generated more events than its caller has received.
	AfterLastID ContinueFrom = iota
	// AfterGenerated continues after the last event that the copied run generated.
	AfterGenerated
	// AtGenerated continues at the last event that the copied run generated, which is sent again.
	AtGenerated
)

// CopyOutcome is the outcome of a copy call.
type CopyOutcome int

const (
	// CopyAnswered copies and answers.
	CopyAnswered CopyOutcome = iota
	// CopyAnswerLost copies, and resets the connection instead of answering.
	CopyAnswerLost
	// CopyAnswerLate copies, and answers after the caller's timeout.
	CopyAnswerLate
	// CopyDoneLate copies after the caller's timeout.
	CopyDoneLate
	// CopyThenCrash copies and answers, and then the engine crashes.
	CopyThenCrash
)

// lateAnswerDelay is longer than the time for which callers wait for a run to stop.
const lateAnswerDelay = 900 * time.Millisecond

// SetBehaviour sets the engine's behaviour. Active runs keep the behaviour that they started with.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

func (b *Backend) currentBehaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	behaviour := b.behaviour
	if text := b.text; behaviour.Event == nil && text != nil {
		behaviour.Event = func(body string, n int) string { return WriteEvent(n, text(body, n)) }
	}
	if behaviour.Event == nil {
		behaviour.Event = func(_ string, n int) string { return PlainEvent(n) }
	}
	return behaviour
}

// PlainEvent returns an event as engines generate it without other settings.
func PlainEvent(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }
