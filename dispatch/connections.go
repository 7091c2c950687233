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
// zero if no other gateway's are known. Gateways that are not known are taken for average ones.
func (f *Fleet) LoadShare(own int) float64 {
	if own <= 0 || f.Others.Known <= 1 {
		return 0
	}
	others := float64(f.Others.Requests) * float64(f.Others.Gateways-1) / float64(f.Others.Known-1)
	return float64(own) / (float64(own) + others)
}
