// Package subset chooses which servers of a large group a gateway works with.
//
// What a gateway must be told grows with the servers that it works with, so each
// one gets a part of a large group: a hundred servers, of which any two
// gateways share few. Membership is decided for each pair by itself, by a number
// that is the same in every process, so that replicas of control agree without
// a report, and a server that comes or goes moves hardly any other.
package subset

import (
	"math"

	"github.com/ledgepin/ledgepin/internal/mix"
)

const (
	// servers is the number of servers of one group that a gateway works with,
	// on average; all of a smaller group. With 32 of 64 engines a gateway's part was
	// full while others had room, and 0.04 of all worth was lost by it; what it is told
	// of 96 busy ones takes some 8 KB/s (worked out), within the 10 that a node may spend.
	targetServers = 96
	// gatewaysEach is the least number of gateways that a server should have, on
	// average, so that next to none is left without.
	minGatewaysPerServer = 6
)

// Key is the number of a gateway or a server.
type Key uint64

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(mix.Name(name)) }

// wanted returns how many servers of a group a gateway works with, on average.
func subsetSize(size, gateways int) int {
	return min(max(targetServers, minGatewaysPerServer*size/max(gateways, 1)), size)
}

// Includes tells whether a gateway works with a server of a group of a size, one
// of a number of gateways.
func Includes(gateway, server Key, size, gateways int) bool {
	n := subsetSize(size, gateways)
	if n >= size {
		return true
	}
	bound := float64(n) / float64(size) * math.MaxUint64
	return float64(mix.Pair(uint64(gateway), uint64(server))) < bound
}

// GatewaysPerServer returns how many gateways work with a server of a group, on average.
func GatewaysPerServer(size, gateways int) int {
	if size <= 0 {
		return gateways
	}
	return max((gateways*subsetSize(size, gateways)+size-1)/size, 1)
}
