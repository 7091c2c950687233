package route

import "cmp"

// Urgency is the rank of a request among those that wait for the same capacity. Lower values
// are more urgent.
type Urgency struct {
	// Organisation is the priority of the request's organisation, or that of the route if there
	// is no organisation or it sets none.
	Organisation int
	// Route is the priority of the route.
	Route int
}

// Compare compares two urgencies and returns a negative number if u is more urgent than o. The
// priority of the organisation takes precedence over that of the route.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Organisation, o.Organisation), cmp.Compare(u.Route, o.Route))
}

// UrgencyFor returns the urgency of the organisation's requests on a route. An organisation
// without a priority, or a nil one, has that of the route.
func (o *Organisation) UrgencyFor(r *Route) Urgency {
	if o == nil || o.Priority == nil {
		return Urgency{Organisation: r.Priority, Route: r.Priority}
	}
	return Urgency{Organisation: *o.Priority, Route: r.Priority}
}
