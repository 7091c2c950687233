package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRegistryReturnsReplacedRequest(t *testing.T) {
	r := newKeyRegistry()
	now := time.Unix(1000, 0)
	_, replaced := r.put(now, "k", "r1", "e1")
	assert.Assert(t, !replaced)
	_, replaced = r.put(now, "k", "r1", "e1")
	assert.Assert(t, !replaced, "the same request again")
	before, replaced := r.put(now, "k", "r2", "e2")
	assert.Assert(t, replaced)
	assert.Equal(t, before.req, "r1")
	assert.Equal(t, before.owner, "e1")
	for i := range 3 * maxRegistrations {
		r.put(now.Add(time.Duration(i)*time.Second), fmt.Sprint(i), "r", "e")
		assert.Assert(t, len(r.keys) <= maxRegistrations)
	}
}
