package spread_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/spread"
)

// TestGoldenSettings reads the file of settings that an entry of build 55b4ff8 wrote.
func TestGoldenSettings(t *testing.T) {
	revision, got, err := spread.NewFile("testdata/55b4ff8").Read()
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(7))
	assert.Equal(t, string(got), string(settingsText(7)))
}
