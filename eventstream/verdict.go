package eventstream

import "fmt"

// Decision is what a Sequence says of a block.
type Decision uint8

const (
	// Pass: the caller gets it. It inOrder what the caller has, or is no event.
	Pass Decision = iota + 1
	// Repeated: the caller has it, and must not get it again. The stream goes on.
	Repeated
	// Missing: events before it have not come. It must not be passed on; the stream
	// has to be taken up again after the last event, or to be cut.
	Missing
	// Unnumbered: an event without a number, which can't be checked. The caller
	// gets it.
	Unnumbered
)

var decisionNames = [...]string{Pass: "pass", Repeated: "repeated", Missing: "missing", Unnumbered: "unnumbered"}

// String names the decision for logs.
func (d Decision) String() string {
	if d >= Pass && int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "unknown"
}

// Verdict is a Sequence's answer on a block.
type Verdict struct {
	Decision Decision
	// Expected is the number that was due; 0 if any would do.
	Expected uint64
	// Received is the ID that came, empty if none did. It is a part of the block.
	Received []byte
}

// Passes tells whether the caller gets the block.
func (v Verdict) Passes() bool {
	return v.Decision == Pass || v.Decision == Unnumbered
}

// String tells the verdict for logs.
func (v Verdict) String() string {
	if v.Expected == 0 {
		return fmt.Sprintf("%v: any number due, %q came", v.Decision, v.Received)
	}
	return fmt.Sprintf("%v: %d due, %q came", v.Decision, v.Expected, v.Received)
}
