package wire

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
)

// MaxFrameBytes is the maximum size of one frame in bytes. The largest frames carry prompts and
// complete settings trees. Longer frames are neither sent nor read.
const MaxFrameBytes = 16 << 20

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(decOptions(cbor.ExtraDecErrorNone).DecMode())
)

// kindNames holds the names of the message kinds, by number.
var kindNames = func() (names [maxKinds]string) {
	t := reflect.TypeFor[Message]()
	for i := range t.NumField() {
		number, _, _ := strings.Cut(t.Field(i).Tag.Get("cbor"), ",")
		names[must(strconv.Atoi(number))] = t.Field(i).Name
	}
	return names
}()

func decOptions(extra cbor.ExtraDecErrorCond) cbor.DecOptions {
	return cbor.DecOptions{
		MaxNestedLevels:   16,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 16,
		ExtraReturnErrors: extra,
		// One text from outside the fleet must not make a whole frame unreadable.
		UTF8: cbor.UTF8DecodeInvalid,
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the frame that encodes m. Bytes of texts that are not UTF-8 are replaced with
// question marks.
func Marshal(m *Message) ([]byte, error) {
	frame, err := encMode.Marshal(m)
	if err != nil {
		return nil, err
	}
	if n := replaceInvalidText(frame); n > 0 {
		metric.ReplacedTexts.WithLabelValues(kindName(kindOf(frame))).Add(float64(n))
	}
	return frame, nil
}

// Unmarshal decodes one frame received from peer and skips unknown fields. Texts may hold bytes
// that are not UTF-8. It returns a BadPeer error if the frame is not a Message.
func Unmarshal(frame []byte, peer string) (*Message, error) {
	m := &Message{}
	if err := decMode.Unmarshal(frame, m); err != nil {
		return nil, badFrame(err, peer)
	}
	return m, nil
}

func badFrame(err error, peer string) error {
	return fault.Wrap(fmt.Errorf("bad frame: %w", err), fault.BadPeer, fault.StepLink, peer)
}
