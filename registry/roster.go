package registry

// Roster holds the servers that a peer has reported over one link as ready and present.
// From then on the peer reports only exceptions, so that the traffic without faults does
// not grow with the number of servers.
type Roster struct {
	servers map[string]bool
}

// Update applies a peer's reports of servers, and the IDs of those that it no longer
// reports.
func (r *Roster) Update(list []Server, dropped []string) {
	if r.servers == nil {
		r.servers = map[string]bool{}
	}
	for _, s := range list {
		if s.State == Ready {
			r.servers[s.ID] = true
		} else {
			delete(r.servers, s.ID)
		}
	}
	for _, id := range dropped {
		delete(r.servers, id)
	}
}

// Except returns the IDs of all servers of the roster except the silent ones.
func (r *Roster) Except(silent []string) []string {
	skip := map[string]bool{}
	for _, id := range silent {
		skip[id] = true
	}
	var out []string
	for id := range r.servers {
		if !skip[id] {
			out = append(out, id)
		}
	}
	return out
}
