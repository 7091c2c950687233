package engine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/engine"
)

// FuzzParseChunk feeds arbitrary data to ParseChunk.
func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"index":3,"text":"a"}`))
	f.Add([]byte(`{"index":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := engine.ParseChunk(data)
		if err == nil {
			assert.Assert(t, c.Index >= 0)
		}
	})
}
