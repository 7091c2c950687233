package eventstream

// Kind is the kind of a block.
type Kind uint8

const (
	// None means that no block is complete yet. Only Reader.Next returns it, with an
	// empty Block.
	None Kind = iota
	// Event is a block with data, which callers interpret as an event. One `data` line is
	// enough, even an empty one.
	Event
	// NoData is a block without data: comments, a single blank line, `retry`, or only an
	// ID. It is not an event, but its ID counts.
	NoData
	// LineEnd is the LF of a CR LF whose CR ended the previous block, which was returned
	// without waiting for the LF. It is not a blank line, and Raw holds nothing else.
	// After a block that was not forwarded it is harmless: the caller sees an empty
	// block.
	LineEnd
	// BOM is the byte order mark before a stream. A stream that continues an answer that
	// has begun must not send its own: there it is text, and corrupts the name of the
	// field after it.
	BOM
)

var kindNames = [...]string{None: "none", Event: "event", NoData: "quiet", LineEnd: "line end", BOM: "mark"}

// String returns the name of the kind for logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Block is a section of a stream that can be forwarded by itself. Raw and ID are valid
// until the next call of the Reader, as long as the piece is not modified.
type Block struct {
	Kind Kind
	// Raw holds the bytes as received, including line ends.
	Raw []byte
	// HasID reports whether the block has a valid `id` field (one with a NUL is not), and
	// ID is the value of the last one. An empty ID resets the caller's last ID.
	HasID bool
	ID    []byte
}
