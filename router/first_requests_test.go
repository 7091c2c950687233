package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/router"
)

// TestFirstRequestsAreNotShed checks that an entry which has just started does not refuse some of its
// first requests for the rate at which its queue is served: it has no rate yet.
func TestFirstRequestsAreNotShed(t *testing.T) {
	c := newCore(1, 1)
	for n := range 8 { // four are started, four wait
		refused := effectsOf[router.Refuse](c.Submit(start, request(fmt.Sprint("r", n)), 0))
		assert.Equal(t, len(refused), 0, "request %d", n)
	}
	for ms := time.Duration(0); ms < 200; ms += 10 {
		refused := effectsOf[router.Refuse](c.Tick(start.Add(ms * time.Millisecond)))
		assert.Equal(t, len(refused), 0, "after %d ms: %v", ms, refused)
	}
}
