package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest names the content of a request. It is cryptographic, so that nobody can make a
// request that is taken for another one.
type Digest [16]byte

// Content is what makes two requests the same one: whose they are, where they go and what
// they ask. The request ID is not, since each try of a caller has its own.
type Content struct {
	// Organisation is empty where callers have no keys.
	Organisation string
	Method, Host string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// Digest returns the name of the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	var size [8]byte
	write := func(part []byte) {
		// Each part goes in behind its length, so that no part can pass for the
		// beginning of the next.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	for _, part := range []string{c.Organisation, c.Method, c.Host, c.Target} {
		write([]byte(part))
	}
	write(c.Body)
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// shown is how many bytes of a digest a log line shows: enough to tell the contents of a
// day apart.
const logBytes = 6

// String returns the beginning of the digest, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:logBytes]) }
