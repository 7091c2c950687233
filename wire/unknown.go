package wire

import (
	"errors"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
)

// A later build may send kinds of messages, and fields in them, that this one does not
// support. They are skipped, and each link logs each kind once.
//
// While all fields are known this costs nothing: the strict mode, which fails at the first
// unknown field, decodes as fast as the other. When it fails, the frame is decoded again by
// the mode that skips unknown fields. That mode is then used for all messages of the kind, so
// that a later build costs a second decoding per kind, not per message.

// maxKinds bounds the kinds of messages that are distinguished by number.
const maxKinds = 256

// otherKind stands for all kinds with higher numbers; no kind has this number.
const otherKind = 0

// strictMode fails at a field that the message does not have.
var strictMode = must(decOptions(cbor.ExtraDecErrorUnknownField).DecMode())

// reader decodes the frames of one link. It is used by one goroutine at a time.
type reader struct {
	// lenient are the kinds in which an unknown field has been seen.
	lenient [maxKinds]bool
}

// read decodes a frame from peer; it returns the kind of the frame, and whether the frame has
// the first unknown field of its kind.
func (r *reader) read(frame []byte, peer string) (m *Message, kind int, firstUnknown bool, err error) {
	kind = kindOf(frame)
	if !r.lenient[kind] {
		m = &Message{}
		if err = strictMode.Unmarshal(frame, m); err == nil {
			return m, kind, false, nil
		}
		if unknown := new(cbor.UnknownFieldError); !errors.As(err, &unknown) {
			return nil, kind, false, badFrame(err, peer)
		}
	}
	m, err = Unmarshal(frame, peer)
	firstUnknown = err == nil && !r.lenient[kind]
	r.lenient[kind] = r.lenient[kind] || firstUnknown
	return m, kind, firstUnknown, err
}

// kindOf returns the number of the only field of a frame; every build writes one field.
func kindOf(frame []byte) int {
	const oneField, oneByte = 0xa1, 0x18 // CBOR headers: a map with one entry, a one-byte number
	switch {
	case len(frame) < 3 || frame[0] != oneField:
		return otherKind
	case frame[1] < oneByte:
		return int(frame[1])
	case frame[1] == oneByte:
		return int(frame[2])
	}
	return otherKind
}

// kindName returns the name of a kind for logs: the name of its field, or its number.
func kindName(kind int) string {
	if name := kindNames[kind]; name != "" {
		return name
	}
	if kind == otherKind {
		return "other"
	}
	return strconv.Itoa(kind)
}

// decode reads a frame, and logs and counts an unknown field.
func (l *Link) decode(frame []byte, peer string) (*Message, error) {
	m, kind, firstUnknown, err := l.reader.read(frame, peer)
	if firstUnknown {
		metric.UnknownFields.WithLabelValues(kindName(kind)).Inc()
		event.UnknownFields.Log(l.log, "peer", peer, "build", l.Peer.Build, "kind", kindName(kind))
	}
	return m, err
}
