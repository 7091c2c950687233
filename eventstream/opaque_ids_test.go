package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	_ Sequencer = (*Sequence)(nil)
	_ Sequencer = (*OpaqueIDs)(nil)
)

// TestOpaqueIDs checks that all events pass, except one that a run begins with although
// the caller has it.
func TestOpaqueIDs(t *testing.T) {
	var n OpaqueIDs
	take := func(id string, want Decision) {
		t.Helper()
		assert.Equal(t, n.Check(Block{Kind: Event, HasID: id != "", ID: []byte(id)}).Decision, want, id)
	}
	take("7", Unnumbered)
	take("7", Unnumbered) // engines may repeat IDs within a run
	take("3", Unnumbered)
	n.SwitchRun()
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
	assert.Equal(t, n.Check(Block{Kind: NoData}).Decision, Pass)
	take("c", Unnumbered)
	assert.Equal(t, n.Last(), "c")
}
