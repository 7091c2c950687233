package strictcbor_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/strictcbor"
)

type inner struct {
	A int `cbor:"1,keyasint"`
}

type outer struct {
	In []inner `cbor:"1,keyasint"`
}

func TestUnmarshal(t *testing.T) {
	for _, c := range []struct {
		name string
		data any
		ok   bool
	}{
		{"complete", map[int]any{1: []any{map[int]any{1: 5}}}, true},
		{"a missing field", map[int]any{}, true},
		{"an unknown field", map[int]any{1: []any{}, 2: 5}, false},
		{"an unknown nested field", map[int]any{1: []any{map[int]any{1: 5, 2: 5}}}, false},
		{"an unknown named field", map[any]any{1: []any{}, "x": 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := cbor.Marshal(c.data)
			assert.NilError(t, err)
			var out outer
			assert.Equal(t, strictcbor.Unmarshal(data, &out) == nil, c.ok)
		})
	}
}
