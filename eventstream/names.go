package eventstream

import "bytes"

// Sequencer decides on the events of one caller's answer, over all engines and tries that
// serve it.
type Sequencer interface {
	// Resume sets the ID of the last event that the caller says it has.
	Resume(last string)
	// SwitchRun tells that another run serves from here, asked for what follows Last.
	SwitchRun()
	// Check judges the next block of the run that serves.
	Check(b Block) Verdict
	// Last returns the ID to ask the next engine with.
	Last() string
	// Resumable tells whether the stream can go on after Last at another run.
	Resumable() bool
}

// OpaqueIDs is the Order of events whose IDs are no more than names: none can be missed, and
// only the one that an engine begins with, though it was asked for what follows it, is known
// to come again. The zero value knows nothing.
type OpaqueIDs struct {
	last []byte
	// joined tells that the run has passed no event yet, nameless that the last event
	// passed had no ID.
	joined, nameless bool
}

// Resume implements Order.
func (n *OpaqueIDs) Resume(last string) {
	*n = OpaqueIDs{last: append(n.last[:0], last...), joined: true}
}

// SwitchRun implements Order.
func (n *OpaqueIDs) SwitchRun() { n.joined = true }

// Check implements Order.
func (n *OpaqueIDs) Check(b Block) Verdict {
	v := Verdict{Decision: Pass, Received: b.ID}
	if b.Kind != Event {
		return v
	}
	if n.joined && len(b.ID) > 0 && bytes.Equal(b.ID, n.last) {
		v.Decision = Repeated
		return v
	}
	n.joined, n.nameless = false, len(b.ID) == 0
	if len(b.ID) > 0 {
		n.last = append(n.last[:0], b.ID...)
	}
	v.Decision = Unnumbered
	return v
}

// Last implements Order.
func (n *OpaqueIDs) Last() string { return string(n.last) }

// Resumable implements Order.
func (n *OpaqueIDs) Resumable() bool { return !n.nameless }
