package replay

import "math/rand/v2"

// LeastLoaded takes the engines with the fewest requests, as they are at the moment.
func LeastLoaded(_ *rand.Rand, prefill, decode []int) (p, d int) {
	return argmin(prefill), argmin(decode)
}

func argmin(load []int) int {
	best := 0
	for i, n := range load {
		if n < load[best] {
			best = i
		}
	}
	return best
}

// RoundRobin returns a policy that takes one engine after the other.
func RoundRobin() Policy {
	next := 0
	return func(_ *rand.Rand, prefill, decode []int) (p, d int) {
		next++
		return next % len(prefill), next % len(decode)
	}
}
