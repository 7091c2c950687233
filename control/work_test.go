package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// TestServiceWorkOfAllGateways checks that the work of a service is that of the gateways of all
// replicas, with the shortest objective of its routes, and that gateways which report only rates
// don't distort the ratio of the roles.
func TestServiceWorkOfAllGateways(t *testing.T) {
	h := newHub(clock.VM, "", quota.Bounds{})
	table := &route.Table{
		Services: []route.Service{{Name: "llm", Engine: &route.Engine{Slots: 64, KVTokens: 50_000}}},
		Routes: []route.Route{
			{Name: "slow", Target: 2 * time.Second, Services: []route.Weight{{Service: "llm", Weight: 1}}},
			{Name: "fast", Target: 800 * time.Millisecond, Services: []route.Weight{{Service: "llm", Weight: 1}}},
		},
	}
	table.Index()
	h.setTable(table, true)
	assert.Equal(t, len(h.serviceWork()), 0)
	known := demand.Class{Service: "llm", Rate: 20_000, Tokens: 120_000, PromptTokens: 100_000, PrefillTime: 2_000_000, KVTokens: 480_000}
	unknown := demand.Class{Service: "llm", Route: 1, Rate: 10_000, Tokens: 60_000, PromptTokens: 50_000}
	gateways := connectGateways(t, h, 1)
	assert.NilError(t, gateways[0].link.Send(&wire.Message{Loads: &wire.Loads{Demand: []demand.Class{known}}}))
	h.setPeerLoads(&wire.Link{}, &wire.Loads{Gateways: 2, Demand: []demand.Class{known, unknown}})
	gateways[0].wait(t, "the work of both", func() bool { return h.serviceWork()["llm"].Prefill > 3 })
	w := h.serviceWork()["llm"]
	assert.Assert(t, w.Prefill == 4 && w.Decode == 16, "%+v", w)
	assert.Equal(t, w.Objective, 800*time.Millisecond)
	assert.Equal(t, w.PrefillTime, 80*time.Millisecond)
}
