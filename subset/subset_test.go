package subset_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/subset"
)

func keys(prefix string, n int) []subset.Key {
	out := make([]subset.Key, n)
	for i := range out {
		out[i] = subset.KeyOf(fmt.Sprint(prefix, i))
	}
	return out
}

// TestSubsetSizes guards against subsets that are too small or too large, small groups that are
// divided, and servers without a gateway.
func TestSubsetSizes(t *testing.T) {
	tests := []struct {
		servers, gateways                     int
		minServers, maxServers, maxUnassigned int
	}{
		{9, 5, 9, 9, 0},
		{96, 400, 96, 96, 0},
		{400, 410, 62, 130, 0},
		{2000, 300, 62, 132, 0},
		{600, 4, 600, 600, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.servers, " servers, ", tt.gateways, " gateways"), func(t *testing.T) {
			servers := keys("i-", tt.servers)
			used := make([]int, tt.servers)
			for _, g := range keys("front-", tt.gateways) {
				n := 0
				for i, s := range servers {
					if subset.Includes(g, s, tt.servers, tt.gateways) {
						used[i]++
						n++
					}
				}
				assert.Assert(t, n >= tt.minServers && n <= tt.maxServers, "%d servers", n)
			}
			unassigned := 0
			for _, n := range used {
				if n == 0 {
					unassigned++
				}
			}
			assert.Assert(t, unassigned <= tt.maxUnassigned, "%d servers without a gateway", unassigned)
		})
	}
}

// TestSubsetIsStable guards against an added server that changes the subsets of the others.
func TestSubsetIsStable(t *testing.T) {
	g := subset.KeyOf("front-1")
	moved := 0
	for _, s := range keys("i-", 400) {
		if subset.Includes(g, s, 400, 400) != subset.Includes(g, s, 401, 400) {
			moved++
		}
	}
	assert.Assert(t, moved <= 2, "%d servers moved", moved)
}

func TestGatewaysPerServer(t *testing.T) {
	tests := []struct{ size, gateways, want int }{
		{9, 5, 5},
		{334, 100, 29},
		{2000, 300, 15},
		{0, 7, 7},
	}
	for _, tt := range tests {
		assert.Equal(t, subset.GatewaysPerServer(tt.size, tt.gateways), tt.want, "%d servers", tt.size)
	}
}
