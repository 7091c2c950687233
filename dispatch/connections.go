package dispatch

// Gateways share the connections that a server accepts. Each has an equal part; one that gets more of
// the callers' requests than the others has more, so that it can serve them while the platform hands it
// most new connections.

const (
	// evenConnections is the share of a server's connections that gateways divide evenly. Servers still
	// count connections of gateways that have lost power, and accept fewer while their queue is long.
	evenConnections = 0.5
	// loadedConnections is the share that they divide by what they have beyond an even load. Runs that
	// have begun before the load moved on still have theirs.
	loadedConnections = 0.35
)

// ConnectionShare returns how many of a server's connections one of the gateways that share it may open;
// zero for no bound. load is the share of all requests that it gets.
func ConnectionShare(limit, sharing int, load float64) int {
	if limit <= 0 {
		return 0
	}
	even := 1 / float64(max(sharing, 1))
	return max(int(float64(limit)*(evenConnections*even+loadedConnections*max(load-even, 0))), 1)
}

// LoadShare returns the share of all requests that this gateway gets, given its own requests in 1,000 s;
// zero if neither another gateway's nor those of all are known. Gateways that are not known are taken for
// average ones, unless less is missing from the requests of all.
func (f *Fleet) LoadShare(own int) float64 {
	o := &f.Others
	if own <= 0 || o.Known <= 1 && o.total == 0 {
		return 0
	}
	others := float64(o.Requests)
	if o.Known > 1 {
		others *= float64(o.Gateways-1) / float64(o.Known-1)
	}
	if missing := float64(o.total - own); o.total > 0 && (o.Known <= 1 || missing < others) {
		others = max(missing, float64(o.Requests))
	}
	return float64(own) / (float64(own) + others)
}
