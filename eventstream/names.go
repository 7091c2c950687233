package eventstream

import "bytes"

// Order decides on the events of one caller's answer, over all engines and tries that
// serve it.
type Order interface {
	// Resume sets the ID of the last event that the caller says it has.
	Resume(last string)
	// Again tells that another run serves from here, asked for what follows Last.
	Again()
	// Take judges the next block of the run that serves.
	Take(b Block) Verdict
	// Last returns the ID to ask the next engine with.
	Last() string
	// Resumable tells whether the stream can go on after Last at another run.
	Resumable() bool
}

// Names is the Order of events whose IDs are no more than names: none can be missed, and
// only the one that an engine begins with, though it was asked for what follows it, is known
// to come again. The zero value knows nothing.
type Names struct {
	last []byte
	// joined tells that the run has passed no event yet, nameless that the last event
	// passed had no ID.
	joined, nameless bool
}

// Resume implements Order.
func (n *Names) Resume(last string) { *n = Names{last: append(n.last[:0], last...), joined: true} }

// Again implements Order.
func (n *Names) Again() { n.joined = true }

// Take implements Order.
func (n *Names) Take(b Block) Verdict {
	v := Verdict{Kind: Pass, Came: b.ID}
	if b.Kind != Event {
		return v
	}
	if n.joined && len(b.ID) > 0 && bytes.Equal(b.ID, n.last) {
		v.Kind = Repeated
		return v
	}
	n.joined, n.nameless = false, len(b.ID) == 0
	if len(b.ID) > 0 {
		n.last = append(n.last[:0], b.ID...)
	}
	v.Kind = Unnumbered
	return v
}

// Last implements Order.
func (n *Names) Last() string { return string(n.last) }

// Resumable implements Order.
func (n *Names) Resumable() bool { return !n.nameless }
