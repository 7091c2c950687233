package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNumber checks which IDs are numbers.
func TestNumber(t *testing.T) {
	for _, c := range []struct {
		id   string
		want uint64
		ok   bool
	}{
		{"0", 0, true}, {"1", 1, true}, {"9", 9, true}, {"10", 10, true},
		{"007", 7, true}, {"00000000000000000000000000000007", 7, true},
		{"9223372036854775807", MaxNumber, true}, {"09223372036854775807", MaxNumber, true},
		{"9223372036854775808", 0, false}, {"9223372036854775810", 0, false},
		{"18446744073709551615", 0, false}, {"18446744073709551617", 0, false}, {"99999999999999999999999", 0, false},
		{"", 0, false}, {"+1", 0, false}, {"-1", 0, false}, {" 1", 0, false}, {"1 ", 0, false}, {"1\t", 0, false},
		{"1.0", 0, false}, {"1e3", 0, false}, {"0x1", 0, false}, {"1_0", 0, false}, {"1/", 0, false}, {"1:", 0, false},
		{"a", 0, false}, {"٣", 0, false}, {"\xff", 0, false},
	} {
		got, ok := number(c.id)
		assert.Equal(t, ok, c.ok, "%q", c.id)
		if ok {
			assert.Equal(t, got, c.want, "%q", c.id)
		}
		_, ok = number([]byte(c.id))
		assert.Equal(t, ok, c.ok, "%q", c.id)
	}
}
