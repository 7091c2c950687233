package freeport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestProcessesShareNoPort has two processes draw more ports than a block has: none may
// be given to both. Two that open the lock files for themselves stand for them.
func TestProcessesShareNoPort(t *testing.T) {
	var one, other ports
	given := map[string]bool{}
	for range block + 50 {
		for _, p := range []*ports{&one, &other} {
			addr, err := p.addr()
			assert.NilError(t, err)
			assert.Assert(t, !given[addr], "%s is given twice", addr)
			given[addr] = true
		}
	}
	for _, p := range []*ports{&one, &other} {
		for _, f := range p.locks {
			assert.NilError(t, f.Close())
		}
	}
}
