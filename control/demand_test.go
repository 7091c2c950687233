package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// TestGatewaysTakeTurns checks that waiting requests of equal urgency get different positions at
// the gateways of two replicas, that a gateway whose request was placed goes to the end, that the
// demand of a lost replica or gateway no longer counts, and that a replica of an older build, which
// reports no demand, changes nothing.
func TestGatewaysTakeTurns(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	h.name = "b"
	waiting := func(n int) []demand.Class {
		return []demand.Class{{Service: "llm", Route: 1, Waiting: n, Rate: 100}}
	}
	var gateways []*gatewayState
	for range 3 {
		l := &wire.Link{}
		g := &gatewayState{link: l, sentLoads: newLoadSummary()}
		h.gateways[l] = g
		gateways = append(gateways, g)
	}
	h.setDemand(gateways[0], waiting(1))
	h.setDemand(gateways[1], waiting(2))
	h.setDemand(gateways[2], []demand.Class{{Service: "llm", Route: 1, Rate: 100}})
	before := func() (out []int) {
		shares := h.demandShares()
		for _, g := range gateways {
			list := shares.others(g)
			assert.Equal(t, len(list), 1)
			out = append(out, list[0].Before)
		}
		return out
	}
	assert.DeepEqual(t, before(), []int{0, 1, 3})
	h.setDemand(gateways[0], waiting(0))
	h.setDemand(gateways[0], waiting(1))
	assert.DeepEqual(t, before(), []int{2, 0, 3})

	first := &wire.Link{Peer: wire.Hello{Name: "a~1"}}
	h.setPeerLoads(first, &wire.Loads{Whole: true, Gateways: 4, Queued: 2, Demand: waiting(2)})
	// The replicas alternate, and a is the first.
	assert.DeepEqual(t, before(), []int{4, 1, 5})
	assert.Equal(t, h.demandTotals()[0].Waiting, 5)
	assert.Equal(t, h.demandTotals()[0].Rate, 400)
	older := &wire.Link{Peer: wire.Hello{Name: "c~1"}}
	h.setPeerLoads(older, &wire.Loads{Whole: true, Gateways: 4, Queued: 7})
	assert.DeepEqual(t, before(), []int{4, 1, 5})
	_, queued, _ := h.totals()
	assert.Equal(t, queued, 9)
	h.forgetPeer(first)
	h.setDemand(gateways[1], nil)
	assert.Equal(t, h.demandTotals()[0].Waiting, 1)
}
