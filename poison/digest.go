package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a request. It is cryptographic, so that nobody can craft a
// request with the digest of another one.
type Digest [16]byte

// Content is what two requests must have in common to count as the same: organisation, method, host,
// target and body. The request ID isn't part of it, since each attempt of a caller has its own.
type Content struct {
	// Organisation is empty if callers have no keys.
	Organisation string
	Method, Host string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	return digestOf([]byte(c.Organisation), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
}

// digestOf returns the digest of some fields. Each is prefixed with its length, so that the end of
// one field can't pass for the beginning of the next.
func digestOf(fields ...[]byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// PartDigest returns the digest of a part of a prompt. Services are distinguished, since a part may
// crash the servers of one and not those of another.
func PartDigest(service, id string) Digest {
	return digestOf([]byte("part"), []byte(service), []byte(id))
}

// logBytes is how many bytes of a digest are logged: enough to distinguish the contents of a day.
const logBytes = 6

// String returns the beginning of the digest, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:logBytes]) }
