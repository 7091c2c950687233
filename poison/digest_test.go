package poison

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDigestDistinguishesContents guards against contents with equal digests: each field must
// count, and so must the boundaries between fields.
func TestDigestDistinguishesContents(t *testing.T) {
	base := Content{Organisation: "o", Method: "POST", Host: "h", Target: "/a", Body: []byte("b")}
	same := base
	assert.Equal(t, base.Digest(), same.Digest())
	for name, change := range map[string]func(c *Content){
		"organisation":    func(c *Content) { c.Organisation = "p" },
		"method":          func(c *Content) { c.Method = "PUT" },
		"host":            func(c *Content) { c.Host = "i" },
		"target":          func(c *Content) { c.Target = "/a?b" },
		"body":            func(c *Content) { c.Body = []byte("c") },
		"moved by a byte": func(c *Content) { c.Target, c.Body = "/ab", nil },
		"host for method": func(c *Content) { c.Method, c.Host = "POSTh", "" },
	} {
		other := base
		change(&other)
		assert.Assert(t, base.Digest() != other.Digest(), name)
	}
}

// TestPartDigestDistinguishesServices guards against crashes of one service that count for another.
func TestPartDigestDistinguishesServices(t *testing.T) {
	assert.Equal(t, PartDigest("s", "p"), PartDigest("s", "p"))
	assert.Assert(t, PartDigest("s", "p") != PartDigest("t", "p"))
	assert.Assert(t, PartDigest("s", "p") != PartDigest("s", "q"))
	assert.Assert(t, PartDigest("s", "p") != PartDigest("sp", ""))
}
