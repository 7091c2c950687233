package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/wire"
)

// TestLostAnswersAreAddedUp guards against losses that gateways send and replicas don't pass on.
func TestLostAnswersAreAddedUp(t *testing.T) {
	sum := addLoad(wire.EngineLoad{Lost: 2}, wire.EngineLoad{Lost: 1}, 1)
	assert.Equal(t, sum.Lost, 3)
	assert.Equal(t, addLoad(sum, sum, -1), wire.EngineLoad{})
	assert.Assert(t, needsUpdate(wire.EngineLoad{Lost: 2}, sum))
}
