// Package subset chooses which servers of a large group a gateway sends requests to.
//
// The updates that a gateway must receive grow with the number of its servers, so each gateway gets
// a subset of a large group: about a hundred servers, of which any two gateways share few. Each
// pair of gateway and server is decided by itself, by a hash that is the same in every process.
// Replicas of control therefore agree without messages, and a server that joins or leaves changes
// hardly any other pair.
package subset

import (
	"math"

	"github.com/ledgepin/ledgepin/internal/stablehash"
)

const (
	// targetServers is the average number of servers of one group that a gateway sends requests to;
	// of a smaller group it gets all. With fewer, all engines of a gateway's subset can be full
	// while other engines have free slots. Updates of 96 busy servers take about 8 KB/s, within the
	// 10 KB/s allowed per node.
	targetServers = 96
	// minGatewaysPerServer is the minimum average number of gateways per server, which leaves next
	// to no server without one.
	minGatewaysPerServer = 6
)

// Key identifies a gateway or a server by a hash of its name.
type Key uint64

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(stablehash.Name(name)) }

// subsetSize returns how many servers of a group a gateway sends requests to, on average.
func subsetSize(size, gateways int) int {
	return min(max(targetServers, minGatewaysPerServer*size/max(gateways, 1)), size)
}

// Includes reports whether a gateway sends requests to a server, in a group of size servers with a
// number of gateways.
func Includes(gateway, server Key, size, gateways int) bool {
	n := subsetSize(size, gateways)
	if n >= size {
		return true
	}
	bound := float64(n) / float64(size) * math.MaxUint64
	return float64(stablehash.Pair(uint64(gateway), uint64(server))) < bound
}

// GatewaysPerServer returns how many gateways send requests to a server of a group, on average.
func GatewaysPerServer(size, gateways int) int {
	if size <= 0 {
		return gateways
	}
	return max((gateways*subsetSize(size, gateways)+size-1)/size, 1)
}
