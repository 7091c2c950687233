package dispatch

import "slices"

// SetRegions sets the region of each availability zone. A server whose zone has no known
// region gets no request that is restricted to regions.
func (f *Fleet) SetRegions(zones map[string]string) {
	f.regions = zones
	for _, s := range f.servers {
		s.region = zones[s.Zone]
	}
}

// permits reports whether a request may be served, and its prompt cached, in a server's
// region, and whether a stream may continue at the server's version.
func (w Work) permits(s *Server) bool {
	return w.permitsRegion(s) && w.permitsVersion(s)
}

func (w Work) permitsRegion(s *Server) bool {
	return len(w.Regions) == 0 || s.region != "" && slices.Contains(w.Regions, s.region)
}
