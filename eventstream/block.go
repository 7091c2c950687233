package eventstream

// Kind tells what a block is.
type Kind uint8

const (
	// None: no block is whole yet. Only Reader.Next gives it, for an empty Block.
	None Kind = iota
	// Event: a block with data, which a caller takes as an event. One `data` line
	// is enough, also an empty one.
	Event
	// NoData: a block without data: comments, a blank line by itself, `retry`, or
	// an ID alone. It is no event, but its ID counts.
	NoData
	// LineEnd: the LF of a CR LF whose CR ended the block before, which was
	// passed on without waiting. It is no blank line and stands alone in Raw. After
	// a block that was kept from the caller it does no harm: to the caller it is an
	// empty block.
	LineEnd
	// BOM: the byte order mark before a stream. A stream that goes on in an answer
	// that has started must not bring its own: there it is text, and spoils the name
	// of the field after it.
	BOM
)

var kindNames = [...]string{None: "none", Event: "event", NoData: "quiet", LineEnd: "line end", BOM: "mark"}

// String names the kind for logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Block is a part of a stream that can be passed on by itself. Raw and ID are
// valid until the next call of the Reader and as long as the piece is unchanged.
type Block struct {
	Kind Kind
	// Raw has the bytes as they came, with the line ends.
	Raw []byte
	// HasID tells that the block has an `id` field that counts (one with a NUL
	// does not), and ID is the value of the last one. An empty ID takes the
	// caller's last ID away.
	HasID bool
	ID    []byte
}
