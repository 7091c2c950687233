package agent

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/lease"
)

// FuzzID parses arbitrary texts as IDs of attempts at an engine, and checks that each ID from
// engineID parses to the attempt that it was built from.
func FuzzID(f *testing.F) {
	for _, seed := range []string{"a.1", "a.b.4294967295", ".", "a.-1", "a.4294967296", ""} {
		f.Add(seed, uint32(3))
	}
	f.Fuzz(func(t *testing.T, text string, attempt uint32) {
		if id, ok := parseID(text); ok {
			assert.Assert(t, strings.HasPrefix(text, id.Req+"."))
		}
		want := lease.ID{Req: text, Attempt: attempt}
		id, ok := parseID(engineID(want))
		assert.Assert(t, ok && id == want, "%+v", id)
	})
}
