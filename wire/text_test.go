package wire_test

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// invalidTexts maps texts that are not UTF-8 to what builds that refuse them are sent.
var invalidTexts = map[string]string{
	"\xff":                    "?",
	"\xed\xa0\x80":            "???", // a surrogate
	"a\xe2\x82":               "a??", // cut inside a character
	"ä\xffö":                  "ä?ö",
	"\xc0\x80":                "??", // an overlong NUL
	"\xf5\x80\x80\x80":        "????",
	"\xff" + long(23, "x"):    "?" + long(23, "x"),
	long(255, "x") + "\xff":   long(255, "x") + "?",
	long(70000, "x") + "\xe2": long(70000, "x") + "?",
}

func long(n int, text string) string { return strings.Repeat(text, n) }

// TestInvalidTextsAreReplaced guards against frames that a build which refuses invalid UTF-8 can't
// read: it would close the link at each of them. Byte strings stay as they are.
func TestInvalidTextsAreReplaced(t *testing.T) {
	for text, want := range invalidTexts {
		frame, err := wire.Marshal(&wire.Message{Servers: &wire.Servers{
			List:    []registry.Server{{ID: text, Name: "before " + text, Slots: 1 << 40, Sequence: 1 << 60, Version: "v1"}},
			Dropped: []string{"ok", text},
		}})
		assert.NilError(t, err)
		var old struct {
			Servers wire.Servers `cbor:"33,keyasint"`
		}
		assert.NilError(t, cbor.Unmarshal(frame, &old), "%q", text)
		assert.Equal(t, old.Servers.List[0].ID, want)
		assert.Equal(t, old.Servers.List[0].Name, "before "+want)
		assert.Equal(t, old.Servers.List[0].Version, "v1")
		assert.DeepEqual(t, old.Servers.Dropped, []string{"ok", want})

		frame, err = wire.Marshal(&wire.Message{Call: &wire.Call{Type: text, Body: []byte(text)}})
		assert.NilError(t, err)
		m, err := wire.Unmarshal(frame, "peer")
		assert.NilError(t, err)
		assert.Equal(t, m.Call.Type, want)
		assert.Equal(t, string(m.Call.Body), text)
	}
}

// TestInvalidTextsOfPeersAreRead guards against a frame of an older build that is lost as a whole
// because of one text in it.
func TestInvalidTextsOfPeersAreRead(t *testing.T) {
	for text := range invalidTexts {
		frame := later(t, map[int]any{33: map[int]any{1: []any{
			map[int]any{1: text}, map[int]any{1: "next"},
		}}})
		m, _, _, err := wire.NewReader()(frame)
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, m.Servers.List[0].ID, text)
		assert.Equal(t, m.Servers.List[1].ID, "next")
	}
}
