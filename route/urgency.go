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

// maxServerPriority is the lowest priority that servers know.
const maxServerPriority = 9

// ServerPriority returns the priority that servers are told for the route's requests to a service.
// It returns false if all routes of the service have the same priority, which needs no statement.
func (t *Table) ServerPriority(r *Route, service string) (int, bool) {
	return min(max(r.Priority, 0), maxServerPriority), t.prioritized[service]
}

// indexPriorities finds the services whose routes have different priorities.
func (t *Table) indexPriorities() {
	t.prioritized = map[string]bool{}
	first := map[string]int{}
	for _, r := range t.Routes {
		for _, w := range r.Services {
			if p, known := first[w.Service]; known && p != r.Priority {
				t.prioritized[w.Service] = true
			} else {
				first[w.Service] = r.Priority
			}
		}
	}
}

// UrgencyFor returns the urgency of the organisation's requests on a route. An organisation
// without a priority, or a nil one, has that of the route.
func (o *Organisation) UrgencyFor(r *Route) Urgency {
	if o == nil || o.Priority == nil {
		return Urgency{Organisation: r.Priority, Route: r.Priority}
	}
	return Urgency{Organisation: *o.Priority, Route: r.Priority}
}
