package freeport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestProcessesGetDistinctPorts checks that two processes that allocate more ports than a block
// has never get the same one. Two allocators that each open the lock files simulate them.
func TestProcessesGetDistinctPorts(t *testing.T) {
	var one, other ports
	seen := map[string]bool{}
	for range blockSize + 50 {
		for _, p := range []*ports{&one, &other} {
			addr, err := p.addr()
			assert.NilError(t, err)
			assert.Assert(t, !seen[addr], "%s was allocated twice", addr)
			seen[addr] = true
		}
	}
	for _, p := range []*ports{&one, &other} {
		for _, f := range p.locks {
			assert.NilError(t, f.Close())
		}
	}
}
