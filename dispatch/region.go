package dispatch

import "slices"

// SetRegions takes the region of each availability zone. Where it is not known, a server is in
// no region, and gets no request that is bound to some.
func (f *Fleet) SetRegions(zones map[string]string) {
	f.regions = zones
	for _, s := range f.servers {
		s.region = zones[s.Zone]
	}
}

// permits tells whether a request may be served, and its prompt kept, where a server is.
func (w Work) permits(s *Server) bool {
	return len(w.Regions) == 0 || s.region != "" && slices.Contains(w.Regions, s.region)
}
