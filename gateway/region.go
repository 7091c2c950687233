package gateway

import (
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/route"
)

// nextServer chooses another plain server for a request that was sent before.
func (g *Gateway) nextServer(q *request) (dispatch.Server, bool) {
	if !g.narrowRegions(q) {
		return dispatch.Server{}, false
	}
	return g.fleet.choosePlain(q.work, q.tried)
}

// keepToRegions brings a request that goes to a further server in line with the newest table:
// where it may be served is what the table of its arrival and the newest one both allow. It
// returns false if that is nowhere.
func (g *Gateway) narrowRegions(q *request) bool {
	newest := g.table.Load()
	r := newest.Lookup(q.send.Host, q.path)
	if r == nil {
		return true // a route that was taken away ends with what is under way on it
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
	if ok { // else they stay: none would stand for all
		q.work.Regions = both
	}
	return ok
}
