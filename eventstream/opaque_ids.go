package eventstream

import "bytes"

// Sequencer decides on the events of one caller's answer, across all engines and attempts
// that serve it.
type Sequencer interface {
	// Resume sets the ID of the last event that the caller reports to have.
	Resume(last string)
	// SwitchRun starts another run, which was asked for the events after Last.
	SwitchRun()
	// Check returns the verdict on the next block of the present run.
	Check(b Block) Verdict
	// Last returns the ID to send to the next engine.
	Last() string
	// Resumable reports whether another run can continue the stream after Last.
	Resumable() bool
}

// OpaqueIDs is the Sequencer of events whose IDs have no order. It can't detect missing
// events, and detects a duplicate only if a run begins with the last event although it
// was asked for those after it. The zero value is ready for a new answer.
type OpaqueIDs struct {
	last []byte
	// atRunStart reports that the run has passed no event yet, lastWithoutID that the
	// last event passed had no ID.
	atRunStart, lastWithoutID bool
}

// Resume implements Sequencer.
func (o *OpaqueIDs) Resume(last string) {
	*o = OpaqueIDs{last: append(o.last[:0], last...), atRunStart: true}
}

// SwitchRun implements Sequencer.
func (o *OpaqueIDs) SwitchRun() { o.atRunStart = true }

// Check implements Sequencer.
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

// Last implements Sequencer.
func (o *OpaqueIDs) Last() string { return string(o.last) }

// Resumable implements Sequencer.
func (o *OpaqueIDs) Resumable() bool { return !o.lastWithoutID }
