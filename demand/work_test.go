package demand_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
)

// TestWorkOfClass checks the work of load A of docs/HARD-LOAD.md: 4.1 prefill engines and the KV
// caches of 3.6 s of arrivals. Cached parts of prompts must not count, and a gateway that does not
// know the prefill rate or the time of answers must report no work.
func TestWorkOfClass(t *testing.T) {
	c := demand.Class{Service: "llm", Rate: 43_000, Tokens: 43 * 6180, PromptTokens: 43 * 5200}
	var times *demand.EngineTimes
	times.AddWork(&c, 55)
	times = &demand.EngineTimes{}
	for range 10 {
		times.NotePrefill(5200, 5200)
		times.AddWork(&c, 55)
		assert.Assert(t, c.PrefillTime == 0 && c.KVTokens == 0)
	}
	times.NoteAnswer(980*3600*time.Microsecond, 980)
	times.AddWork(&c, 0)
	assert.Assert(t, c.PrefillTime == 0 && c.KVTokens == 0)
	times.AddWork(&c, 55)
	assert.Assert(t, c.PrefillTime > 4_050_000 && c.PrefillTime < 4_080_000, "%d", c.PrefillTime)
	assert.Assert(t, c.KVTokens > 960_000 && c.KVTokens < 965_000, "%d", c.KVTokens)
	for range 100 {
		times.NotePrefill(2600, 5200) // the other half is cached
	}
	times.AddWork(&c, 55)
	assert.Assert(t, c.PrefillTime > 2_000_000 && c.PrefillTime < 2_100_000, "%d", c.PrefillTime)
}
