package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/engine/enginetest"
	"github.com/ledgepin/ledgepin/standin"
)

func TestEngineMeetsContract(t *testing.T) {
	start := func() engine.Engine {
		e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
			Models: []string{"m"}, PrefillRate: 1e6, TokenTime: 2 * time.Millisecond, LinkRate: 1e10, KVPerToken: 1000,
			KVHold: 5 * time.Second, Slots: 8, Tokens: 64,
		})
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		return engine.NewClient(e.Addr())
	}
	enginetest.Contract(t, enginetest.Pair{Prefill: start(), Decode: start(), Model: "m"})
}
