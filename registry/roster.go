package registry

// Roster is the servers that a peer tells of over one link as ready and there. The
// peer then tells only of exceptions, so that what passes while all goes well does not
// grow with the number of servers.
type Roster struct {
	servers map[string]bool
}

// Update takes what the peer tells of servers, and of which it tells no more.
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

// Except returns the servers of the roster but for those that are named.
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
