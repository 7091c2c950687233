package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
)

// bindRegions binds the routes of the table to regions, in a new version.
func (h *harness) bindRegions(regions ...string) {
	t := *h.gateway.table.Load()
	t.Version++
	t.Routes = append([]route.Route{}, t.Routes...)
	for i := range t.Routes {
		t.Routes[i].Regions = regions
	}
	t.Index()
	h.gateway.setTable(&t)
}

// TestRoutesAreBoundToRegions binds routes to a region other than the gateway's: plain requests and
// streams are served only there, and a request that no region may serve is refused at once.
func TestRoutesAreBoundToRegions(t *testing.T) {
	h := newHarness(t)
	h.gateway.fleet.view.SetRegions(map[string]string{"z": "north", "y": "south"})
	own := []*standin.Backend{h.addInZone("z", "plain", "a", ""), h.addInZone("z", "llm", "p", registry.Prefill), h.addInZone("z", "llm", "d", registry.Decode)}
	h.addInZone("y", "plain", "b", "")
	h.addInZone("y", "llm", "q", registry.Prefill)
	h.addInZone("y", "llm", "e", registry.Decode)
	h.bindRegions("south")
	for range 5 {
		assert.Equal(t, h.send(http.MethodGet, "/rates/1", "rate", "", nil).status, http.StatusOK)
		assert.Equal(t, h.send(http.MethodPost, "/desk/2", "desk", "x", workHeaders).body, completeStream())
	}
	for _, b := range own {
		assert.Equal(t, len(b.Arrivals()), 0)
	}
	h.bindRegions("west")
	past := time.Now().Add(-time.Minute)
	h.gateway.tableReadyAt.Store(&past)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "nowhere", "", nil).status, http.StatusServiceUnavailable)
}

// TestRegionsChangeDuringRequest removes a region from a route while a server of that region fails
// a request: the next attempt goes to no server of the region.
func TestRegionsChangeDuringRequest(t *testing.T) {
	h := newHarness(t)
	h.gateway.fleet.view.SetRegions(map[string]string{"z": "north", "y": "south"})
	one, two := h.addInZone("z", "plain", "a", ""), h.addInZone("z", "plain", "c", "")
	other := h.addInZone("y", "plain", "b", "")
	fault := faultOnce(standin.LoseAnswer, func(*http.Request) bool {
		h.bindRegions("south")
		return true
	})
	one.SetFault(fault)
	two.SetFault(fault)
	assert.Equal(t, h.send(http.MethodGet, "/rates/1", "id", "", nil).status, http.StatusOK)
	assert.Equal(t, len(one.Arrivals())+len(two.Arrivals()), 1)
	assert.Equal(t, len(other.Arrivals()), 1)
}

// TestRequestWithoutCommonRegionIsForbidden checks that a request is refused for good if its route
// and its organisation have no allowed region in common.
func TestRequestWithoutCommonRegionIsForbidden(t *testing.T) {
	h := newHarness(t)
	h.addInZone("z", "plain", "a", "")
	table := *h.gateway.table.Load()
	table.Version++
	table.Keyed = true
	table.Routes = append([]route.Route{}, table.Routes...)
	for i := range table.Routes {
		table.Routes[i].Regions = []string{"north"}
	}
	table.Organisations = []route.Organisation{{Name: "o", Keys: []route.KeyDigest{route.DigestOf("k")}, Unit: route.Requests, Regions: []string{"south"}}}
	table.Index()
	h.gateway.setTable(&table)
	close(h.gateway.links.usageReceived)
	got := h.send(http.MethodGet, "/rates/1", "id", "", map[string]string{"Authorization": "Bearer k"})
	assert.Equal(t, got.status, http.StatusForbidden)
}

// TestDisjointRegionsAreNotWidened checks that a request whose regions and those of the newest
// table are disjoint may go nowhere, however often that is checked, and that its regions stay as
// they were. An empty list of regions stands for all: if the regions of a stream were emptied
// because its route has been bound to another region since it arrived, its next migration would be
// decided by the newest table alone, and could go where the table of its arrival does not allow it.
func TestDisjointRegionsAreNotWidened(t *testing.T) {
	h := newHarness(t)
	q := &request{path: "/desk/1", work: dispatch.Work{Regions: []string{"north"}}}
	q.send.Host = "h"
	h.bindRegions("south")
	for range 3 {
		assert.Assert(t, !h.gateway.narrowRegions(q))
		assert.DeepEqual(t, q.work.Regions, []string{"north"})
	}
	h.bindRegions("south", "north")
	assert.Assert(t, h.gateway.narrowRegions(q))
	assert.DeepEqual(t, q.work.Regions, []string{"north"})
}
