package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/retry"
)

// TestRetriesStayWithinShare guards against more retries than their share of live traffic, even if
// every request fails.
func TestRetriesStayWithinShare(t *testing.T) {
	b := retry.NewBudget(10)
	allowed := 0
	for range 10000 {
		b.CountRequest()
		if b.Take() {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 1000 && allowed <= 1011, "%d retries of 10000", allowed)
	spent, denied := b.Counts()
	assert.Equal(t, spent, allowed)
	assert.Equal(t, denied, 10000-allowed)
}

func TestSavedRetriesAreBounded(t *testing.T) {
	b := retry.NewBudget(50)
	for range 100000 {
		b.CountRequest() // no failures
	}
	allowed := 0
	for b.Take() {
		allowed++
	}
	assert.Equal(t, allowed, 100)
	b.SetPercent(0)
	b.CountRequest()
	assert.Assert(t, !b.Take())
}

func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var h retry.Health
	for i, ejected := range []bool{false, false, true} {
		if i == 2 { // a success resets the count
			h.RecordSuccess()
			h.RecordFailure(now)
			h.RecordFailure(now)
		}
		assert.Equal(t, h.RecordFailure(now), ejected, "failure %d", i+1)
	}
	assert.Assert(t, !h.Usable(now))

	now = now.Add(time.Second)
	assert.Assert(t, h.Usable(now))
	h.StartProbe()
	assert.Assert(t, !h.Usable(now), "one probe at a time")
	h.RecordFailure(now)
	assert.Assert(t, !h.Usable(now.Add(1900*time.Millisecond)), "the ejection doubles")
	assert.Assert(t, h.Usable(now.Add(2*time.Second)))
	for range 20 {
		h.RecordFailure(now)
	}
	assert.Assert(t, h.Usable(now.Add(30*time.Second)), "the ejection is bounded")
	h.RecordSuccess()
	assert.Assert(t, h.Usable(now) && !h.Ejected())
}
