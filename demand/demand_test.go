package demand_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/route"
)

// TestMeterFollowsLoad checks that the rates follow a burst within two seconds, don't depend on
// the moment of the reading, and end two seconds after the last arrival.
func TestMeterFollowsLoad(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	k := demand.Key{Service: "llm", Urgency: route.Urgency{Organisation: 1, Route: 2}}
	var m demand.Meter
	assert.Equal(t, len(m.List(start)), 0)
	at := start
	for _, rate := range []int{10, 40} {
		for range 4 * rate {
			m.Add(at, k, 100, 300)
			at = at.Add(time.Second / time.Duration(rate))
		}
		list := m.List(at)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Key(), k)
		for _, c := range [][2]int{{list[0].Rate, rate * 1000}, {list[0].Tokens, rate * 300}, {list[0].PromptTokens, rate * 100}} {
			assert.Assert(t, 20*c[0] > 19*c[1] && 20*c[0] < 21*c[1], "%d in place of %d", c[0], c[1])
		}
	}
	assert.Equal(t, len(m.List(at.Add(2500*time.Millisecond))), 0)
}

// TestSums checks that what is added up can be subtracted again, and which changes are reported.
func TestSums(t *testing.T) {
	a := []demand.Class{{Service: "a", Route: 1, Waiting: 2, WaitingTokens: 20, Rate: 100, Returns: []int{0, 3}}}
	b := []demand.Class{{Service: "a", Waiting: 1, Rate: 10}, {Service: "a", Route: 1, Waiting: 1, Rate: 50, Before: 4, Returns: []int{1, 0, 2}}}
	sum := demand.Add(a, b)
	assert.DeepEqual(t, sum, []demand.Class{{Service: "a", Waiting: 1, Rate: 10}, {Service: "a", Route: 1, Waiting: 3, WaitingTokens: 20, Rate: 150, Returns: []int{1, 3, 2}}})
	assert.DeepEqual(t, demand.Subtract(sum, b), a)
	assert.Equal(t, demand.Waiting(sum), 4)
	assert.Equal(t, demand.Compare(sum, sum), demand.Same)
	sum[0].Rate = 12
	assert.Equal(t, demand.Compare(demand.Add(a, b), sum), demand.Same, "less than a quarter")
	sum[0].Rate = 14
	assert.Equal(t, demand.Compare(demand.Add(a, b), sum), demand.Rates)
	sum[0].Waiting = 0
	assert.Equal(t, demand.Compare(demand.Add(a, b), sum), demand.Waits)
}

// TestAnswersAreNoDemand checks that a class counts as requested for two seconds after its last
// arrival, however long its answers take: requests wait differently while urgencies are mixed.
func TestAnswersAreNoDemand(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	k := demand.Key{Service: "llm"}
	var m demand.Meter
	m.Add(start, k, 100, 300)
	m.AddServed(start.Add(time.Second), k)
	list := m.List(start.Add(time.Second))
	assert.Assert(t, len(list) == 1 && list[0].Served == list[0].Rate, "%v", list)
	m.AddServed(start.Add(4*time.Second), k)
	assert.Equal(t, len(m.List(start.Add(4*time.Second))), 0)
}
