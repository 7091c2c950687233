package operator

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fault"
)

// FuzzChange feeds arbitrary bodies to the parser of an operator's change: each is refused as
// a bad request, or has an ID and short notes.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{`{"id":"c","base":3,"text":"a: 1","who":"w","note":"n","dry":true}`, `{"id":"c","other":1}`, `{"id":""}`, `null`, `{"base":-1}`, ""} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		in, err := readChange(bytes.NewReader(body))
		if err != nil {
			assert.Assert(t, fault.Is(err, fault.BadRequest))
			assert.Equal(t, in, Change{})
			return
		}
		assert.Assert(t, in.ID != "" && len(in.ID) <= maxNoteBytes && len(in.Who)+len(in.Note) <= maxNoteBytes)
	})
}
