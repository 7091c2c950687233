package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/quota"
)

var start = time.Unix(1000, 0)

func TestHolderAsksAhead(t *testing.T) {
	h := quota.NewHolder()
	assert.Equal(t, h.Limit("c", 100), 25, "before the first answer")
	assert.Equal(t, h.Limit("c", 10), quota.MinUnits)
	assert.Equal(t, h.Limit("c", 2), 2)
	assert.Assert(t, h.NeedsMore("c", 10))
	assert.Equal(t, len(h.Asks(map[string]int{"c": 1})), 0)
	assert.DeepEqual(t, h.Asks(map[string]int{"c": 10}), []quota.Ask{{Customer: "c", Want: 20}})
	h.ApplyGrant(quota.Grant{Customer: "c", Units: 20})
	assert.Equal(t, h.Limit("c", 100), 20)
	assert.Assert(t, !h.NeedsMore("c", 10) && h.NeedsMore("c", 11))
	h.ApplyGrant(quota.Grant{Customer: "c", Units: 0})
	assert.Equal(t, h.Limit("c", 100), quota.MinUnits, "other holders have all units")
	assert.DeepEqual(t, h.Asks(map[string]int{}), []quota.Ask{{Customer: "c", Want: 0}})
}

func TestSilentHolderLosesItsLease(t *testing.T) {
	b := quota.NewBroker()
	assert.Equal(t, b.Lease(start, "e1", quota.Ask{Customer: "c", Want: 8}, 10).Units, 8)
	assert.Equal(t, b.Lease(start, "e2", quota.Ask{Customer: "c", Want: 8}, 10).Units, 2)
	later := start.Add(quota.LeaseTTL + time.Second)
	assert.Equal(t, b.Lease(later, "e2", quota.Ask{Customer: "c", Want: 8}, 10).Units, 8)
}

// TestLeasesNeverExceedTotal has holders ask for any number of units at any time, and guards
// against more leased units than there are.
func TestLeasesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := quota.NewBroker()
		now := start
		total := rapid.IntRange(0, 20).Draw(t, "total")
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			holder := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "holder"))
			want := rapid.IntRange(0, 30).Draw(t, "want")
			g := b.Lease(now, holder, quota.Ask{Customer: "c", Want: want}, total)
			if want == 0 && g.Units > 0 || b.Leased(now, "c") > total {
				t.Fatalf("%d units granted for an ask of %d, %d of %d leased", g.Units, want, b.Leased(now, "c"), total)
			}
		}
	})
}
