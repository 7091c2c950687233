package eventstream

import "math"

// MaxNumber is the highest number that is accepted in an ID. The number after it still
// fits into a uint64, so the next expected number never overflows.
const MaxNumber = math.MaxInt64

// number parses an ID as a decimal number: one or more ASCII digits and nothing else,
// leading zeros allowed, at most MaxNumber.
func number[T []byte | string](id T) (n uint64, ok bool) {
	for i := range len(id) {
		digit := uint64(id[i] - '0')
		if digit > 9 || n > (MaxNumber-digit)/10 {
			return 0, false
		}
		n = n*10 + digit
	}
	return n, len(id) > 0
}
