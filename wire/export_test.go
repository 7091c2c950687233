package wire

// NewReader returns the decoder of one link, which also reports the name of the message's
// kind and whether the frame has the first unknown field of that kind.
func NewReader() func(frame []byte) (m *Message, kind string, firstUnknown bool, err error) {
	r := &reader{}
	return func(frame []byte) (*Message, string, bool, error) {
		m, kind, firstUnknown, err := r.read(frame, "peer")
		return m, kindName(kind), firstUnknown, err
	}
}

// Open exchanges hellos over an open connection, as Dial does.
var Open = open
