package eventstream

import "math"

// MaxNumber is the highest number that an ID counts as. One more fits, so that
// the number due next always does.
const MaxNumber = math.MaxInt64

// number reads an ID as a whole number: one or more ASCII digits and nothing
// else, leading zeros allowed, at most MaxNumber.
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
