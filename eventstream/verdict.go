package eventstream

import "fmt"

// Decision is what a Sequencer decides on a block.
type Decision uint8

const (
	// Pass means that the block is forwarded: it follows what the caller has, or is not
	// an event.
	Pass Decision = iota + 1
	// Repeated means that the caller has the event already and must not receive it again.
	// The stream continues.
	Repeated
	// Missing means that events before this one were not received. It must not be
	// forwarded; the stream must be resumed after the last event, or ended.
	Missing
	// Unnumbered means that the event has no number and can't be checked. It is
	// forwarded.
	Unnumbered
)

var decisionNames = [...]string{Pass: "pass", Repeated: "repeated", Missing: "missing", Unnumbered: "unnumbered"}

// String returns the name of the decision for logs.
func (d Decision) String() string {
	if d >= Pass && int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "unknown"
}

// Verdict is a Sequencer's decision on a block, with its reason.
type Verdict struct {
	Decision Decision
	// Expected is the number that was expected; 0 if any number is accepted.
	Expected uint64
	// Received is the ID that was received, empty if there was none. It refers to the
	// bytes of the block.
	Received []byte
}

// Passes reports whether the block is forwarded.
func (v Verdict) Passes() bool {
	return v.Decision == Pass || v.Decision == Unnumbered
}

// String describes the verdict for logs.
func (v Verdict) String() string {
	if v.Expected == 0 {
		return fmt.Sprintf("%v: any number expected, received %q", v.Decision, v.Received)
	}
	return fmt.Sprintf("%v: expected %d, received %q", v.Decision, v.Expected, v.Received)
}
