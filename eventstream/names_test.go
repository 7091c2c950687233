package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	_ Order = (*Sequence)(nil)
	_ Order = (*Names)(nil)
)

// TestNames wants events with names passed, but for the one that a run begins with though
// the caller has it.
func TestNames(t *testing.T) {
	var n Names
	take := func(id string, want Decision) {
		t.Helper()
		assert.Equal(t, n.Take(Block{Kind: Event, HasID: id != "", ID: []byte(id)}).Kind, want, id)
	}
	take("7", Unnumbered)
	take("7", Unnumbered) // the engine's own way to name them
	take("3", Unnumbered)
	n.Again()
	take("3", Repeated)
	take("3", Repeated)
	take("9", Unnumbered)
	take("3", Unnumbered)
	assert.Equal(t, n.Last(), "3")
	assert.Assert(t, n.Resumable())
	take("", Unnumbered)
	assert.Assert(t, !n.Resumable(), "it would come again")
	n.Resume("b")
	take("b", Repeated)
	assert.Equal(t, n.Take(Block{Kind: Quiet}).Kind, Pass)
	take("c", Unnumbered)
	assert.Equal(t, n.Last(), "c")
}
