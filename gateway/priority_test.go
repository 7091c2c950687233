package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/route"
)

// TestPriorityIsSentToEngines checks that both engines of a request are told its priority, but only
// if routes of the service differ in it. A caller can't set it: TestForgedHeadersAreNotForwarded.
func TestPriorityIsSentToEngines(t *testing.T) {
	for _, c := range []struct{ review, desk int }{{3, 3}, {2, 0}, {12, 0}} {
		h := newHarness(t)
		p, d := h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
		table := &route.Table{Version: 2}
		*table = *h.gateway.table.Load()
		table.Version, table.Routes = 2, append([]route.Route{}, table.Routes...)
		table.Routes[2].Priority, table.Routes[3].Priority = c.review, c.desk
		table.Index()
		h.gateway.setTable(table)
		got := h.send("POST", "/review/1", "q1", "x", map[string]string{protocol.Headers.Priority: "7"})
		assert.Equal(t, got.status, 200, got.body)
		want := map[int]string{3: "", 2: "2", 12: "9"}[c.review]
		assert.Equal(t, p.Arrivals()[0].Header.Get(protocol.Headers.Priority), want)
		assert.Equal(t, d.Arrivals()[len(d.Arrivals())-1].Header.Get(protocol.Headers.Priority), want)
	}
}
