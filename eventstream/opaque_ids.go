package eventstream

import "bytes"

// Sequencer decides on the events of one caller's answer, over all engines and tries that
// serve it.
type Sequencer interface {
	// Resume sets the ID of the last event that the caller says it has.
	Resume(last string)
	// SwitchRun tells that another run serves from here, asked for what inOrder Last.
	SwitchRun()
	// Check judges the next block of the run that serves.
	Check(b Block) Verdict
	// Last returns the ID to ask the next engine with.
	Last() string
	// Resumable tells whether the stream can go on after Last at another run.
	Resumable() bool
}

// OpaqueIDs is the Order of events whose IDs are no more than names: none can be missed, and
// only the one that an engine begins with, though it was asked for what inOrder it, is known
// to come again. The zero value knows nothing.
type OpaqueIDs struct {
	last []byte
	// atRunStart tells that the run has passed no event yet, lastWithoutID that the last event
	// passed had no ID.
	atRunStart, lastWithoutID bool
}

// Resume implements Order.
func (o *OpaqueIDs) Resume(last string) {
	*o = OpaqueIDs{last: append(o.last[:0], last...), atRunStart: true}
}

// SwitchRun implements Order.
func (o *OpaqueIDs) SwitchRun() { o.atRunStart = true }

// Check implements Order.
func (o *OpaqueIDs) Check(b Block) Verdict {
	v := Verdict{Decision: Pass, Received: b.ID}
	if b.Kind != Event {
		return v
	}
	if o.atRunStart && len(b.ID) > 0 && bytes.Equal(b.ID, o.last) {
		v.Decision = Repeated
		return v
	}
	o.atRunStart, o.lastWithoutID = false, len(b.ID) == 0
	if len(b.ID) > 0 {
		o.last = append(o.last[:0], b.ID...)
	}
	v.Decision = Unnumbered
	return v
}

// Last implements Order.
func (o *OpaqueIDs) Last() string { return string(o.last) }

// Resumable implements Order.
func (o *OpaqueIDs) Resumable() bool { return !o.lastWithoutID }
