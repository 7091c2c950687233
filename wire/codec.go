package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/fault"
)

// MaxFrame bounds one frame in bytes. The largest are prompts and whole trees.
const MaxFrame = 16 << 20

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:   16,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 16,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the frame of m.
func Marshal(m *Message) ([]byte, error) { return encMode.Marshal(m) }

// Unmarshal reads one frame from peer. A frame that is not a Message gives a
// BadPeer error.
func Unmarshal(frame []byte, peer string) (*Message, error) {
	m := &Message{}
	if err := decMode.Unmarshal(frame, m); err != nil {
		return nil, fault.Wrap(fmt.Errorf("bad frame: %w", err), fault.BadPeer, fault.StepLink, peer)
	}
	return m, nil
}
