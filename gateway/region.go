package gateway

import (
	"context"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// nextServer chooses another plain server for a request that was sent before.
func (g *Gateway) nextServer(ctx context.Context, q *request) (dispatch.Server, bool) {
	g.links.awaitCurrent(ctx) // the process may have been suspended since the request arrived
	if !g.narrowRegions(q) {
		return dispatch.Server{}, false
	}
	return g.fleet.choosePlain(q.work, q.tried)
}

// narrowRegions restricts a request that goes to another server to the regions allowed both by the
// table at its arrival and by the newest one. It returns false if there is no such region.
func (g *Gateway) narrowRegions(q *request) bool {
	newest := g.table.Load()
	r := newest.Lookup(q.send.Host, q.path)
	if r == nil {
		return true // requests on a removed route run to their end
	}
	o := q.organisation
	if o != nil {
		o = newest.Organisation(o.Name)
	}
	allowed, ok := r.RegionsFor(o)
	if !ok {
		return false
	}
	both, ok := route.CommonRegions(q.work.Regions, allowed)
	if ok { // otherwise the regions stay: an empty list would allow all
		q.work.Regions = both
	}
	return ok
}
