package replay

import "math/rand/v2"

// LeastLoaded is a policy that chooses the engines with the fewest requests at the moment.
func LeastLoaded(_ *rand.Rand, prefill, decode []int) (p, d int) {
	return argmin(prefill), argmin(decode)
}

// argmin returns the index of the first smallest value.
func argmin(load []int) int {
	best := 0
	for i, n := range load {
		if n < load[best] {
			best = i
		}
	}
	return best
}

// RoundRobin returns a policy that chooses the engines in turn.
func RoundRobin() Policy {
	next := 0
	return func(_ *rand.Rand, prefill, decode []int) (p, d int) {
		next++
		return next % len(prefill), next % len(decode)
	}
}
