package settings

import (
	"crypto/sha256"
	"errors"

	"gopkg.in/yaml.v3"
)

// Marshal returns the text of a tree. Equal trees have equal texts.
func Marshal(t *Tree) ([]byte, error) { return yaml.Marshal(t) }

// Sum is the hash of the text of a tree.
type Sum [sha256.Size]byte

// Delta turns the text of one tree into the text of the next one by replacing what lies between a
// common prefix and a common suffix.
type Delta struct {
	// Base is the hash of the text to which the delta applies.
	Base Sum `cbor:"1,keyasint"`
	// Head and Tail are the lengths of the common prefix and suffix, in bytes.
	Head int `cbor:"2,keyasint"`
	Tail int `cbor:"3,keyasint"`
	// Middle is the new text between them.
	Middle []byte `cbor:"4,keyasint"`
}

// NewDelta returns the delta from one text to another.
func NewDelta(from, to []byte) Delta {
	minLen := min(len(from), len(to))
	head := 0
	for head < minLen && from[head] == to[head] {
		head++
	}
	tail := 0
	for tail < minLen-head && from[len(from)-1-tail] == to[len(to)-1-tail] {
		tail++
	}
	return Delta{Base: sha256.Sum256(from), Head: head, Tail: tail, Middle: to[head : len(to)-tail]}
}

// ErrDeltaBase reports that a delta was made for another text.
var ErrDeltaBase = errors.New("settings: delta was made for another text")

// Apply returns the new text, or ErrDeltaBase if d was not made for from.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Base != sha256.Sum256(from) || d.Head < 0 || d.Tail < 0 || d.Head > len(from)-d.Tail {
		return nil, ErrDeltaBase
	}
	out := make([]byte, 0, d.Head+len(d.Middle)+d.Tail)
	out = append(out, from[:d.Head]...)
	out = append(out, d.Middle...)
	return append(out, from[len(from)-d.Tail:]...), nil
}
