// Package stablehash hashes names to evenly distributed numbers that are the same in every
// process.
package stablehash

import "hash/fnv"

// Name returns the hash of a name.
func Name(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return finalize(h.Sum64())
}

// Pair combines the hashes of two names; the order of a and b matters.
func Pair(a, b uint64) uint64 { return finalize(a + 0x9e3779b97f4a7c15*b) }

// finalize is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014): each bit of x affects
// all bits of the result. In a plain FNV sum, the last characters of a name hardly affect the
// high bits.
func finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
