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

// Delta turns the text of one tree into the text of the next one by replacing
// the middle between a common start and a common end.
type Delta struct {
	// Base is the hash of the text that the delta applies to.
	Base Sum `cbor:"1,keyasint"`
	// Head and Tail are the lengths of the common start and end, in bytes.
	Head int `cbor:"2,keyasint"`
	Tail int `cbor:"3,keyasint"`
	// Middle is the new text between them.
	Middle []byte `cbor:"4,keyasint"`
}

// MakeDelta returns the delta from one text to another.
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

// ErrBase tells that a delta does not belong to the text at hand.
var ErrDeltaBase = errors.New("settings: the delta is for another text")

// Apply returns the new text, or ErrBase if d does not fit.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Base != sha256.Sum256(from) || d.Head < 0 || d.Tail < 0 || d.Head > len(from)-d.Tail {
		return nil, ErrDeltaBase
	}
	out := make([]byte, 0, d.Head+len(d.Middle)+d.Tail)
	out = append(out, from[:d.Head]...)
	out = append(out, d.Middle...)
	return append(out, from[len(from)-d.Tail:]...), nil
}
