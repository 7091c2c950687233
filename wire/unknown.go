package wire

import (
	"errors"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
)

// A later build may say kinds of messages, and fields in them, that this one does not know.
// They are passed over, and each link tells of each kind once.
//
// The decoder finds out at no cost as long as all is known: it can fail at the first field
// that has no place, and decodes no slower for it. The frame is then decoded again by the
// mode that passes over, and that mode is used for the kind from then on, so that a later
// build costs a second decode for each kind, not for each message.

// maxKinds bounds the kinds of messages that are told apart by number.
const maxKinds = 256

// otherKind stands for kinds whose number is not told apart; no kind has it.
const otherKind = 0

// strictMode fails at a field that the message does not have.
var strictMode = must(decOptions(cbor.ExtraDecErrorUnknownField).DecMode())

// reader decodes the frames of one link. It is used by one goroutine at a time.
type reader struct {
	// lenient are the kinds in which an unknown field has been met.
	lenient [maxKinds]bool
}

// read decodes a frame from peer; it reports the kind of the frame and whether that shows
// its first unknown field.
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

// kindOf returns the number of the one field that a frame has, as every build writes it.
func kindOf(frame []byte) int {
	const oneField, oneByte = 0xa1, 0x18 // CBOR's heads of a map of one, and of a number of one byte
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

// kindName names a kind for people: by its field, or by its number.
func kindName(kind int) string {
	if name := kindNames[kind]; name != "" {
		return name
	}
	if kind == otherKind {
		return "other"
	}
	return strconv.Itoa(kind)
}

// decode reads a frame, and tells of an unknown field.
func (l *Link) decode(frame []byte, peer string) (*Message, error) {
	m, kind, firstUnknown, err := l.reader.read(frame, peer)
	if firstUnknown {
		metric.UnknownFields.WithLabelValues(kindName(kind)).Inc()
		event.UnknownFields.Log(l.log, "peer", peer, "build", l.Peer.Build, "kind", kindName(kind))
	}
	return m, err
}
