// Package stablehash turns names into numbers that look random and are the same in
// every process.
package stablehash

import "hash/fnv"

// Name returns the number of a name.
func Name(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return finalize(h.Sum64())
}

// Pair returns the number of two names together, from their own numbers.
func Pair(a, b uint64) uint64 { return finalize(a + 0x9e3779b97f4a7c15*b) }

// finalize lets each bit of x reach all others (the finalizer of SplitMix64:
// Steele, Lea and Flood, 2014); the last letters of a name hardly reach the high
// bits of an FNV sum.
func finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
