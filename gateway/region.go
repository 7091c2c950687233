package gateway

import (
	"slices"

	"github.com/ledgepin/ledgepin/dispatch"
)

// nextServer chooses another plain server for a request that was sent before.
func (g *Gateway) nextServer(q *request) (dispatch.Server, bool) {
	if !g.keepToRegions(q) {
		return dispatch.Server{}, false
	}
	return g.fleet.plain(q.work, q.tried)
}

// keepToRegions brings a request that goes to a further server in line with the newest table:
// where it may be served is what the table of its arrival and the newest one both allow. It
// returns false if that is nowhere.
func (g *Gateway) keepToRegions(q *request) bool {
	newest := g.table.Load()
	r := newest.Lookup(q.send.Host, q.path)
	if r == nil {
		return true // a route that was taken away ends with what is under way on it
	}
	o := q.organisation
	if o != nil {
		o = newest.Organisation(o.Name)
	}
	now, ok := r.RegionsFor(o)
	if !ok {
		return false
	}
	if len(now) == 0 || slices.Equal(now, q.work.Regions) {
		return true
	}
	if len(q.work.Regions) == 0 {
		q.work.Regions = now
		return true
	}
	var both []string
	for _, region := range q.work.Regions {
		if slices.Contains(now, region) {
			both = append(both, region)
		}
	}
	q.work.Regions = both
	return len(both) > 0
}
