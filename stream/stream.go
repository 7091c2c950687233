// Package stream puts the chunks of an answer in order.
//
// Chunks may come late, twice, out of order, or from an attempt that was
// given up. A caller must get each token once and in order, so an Assembler
// passes on a chunk only if it belongs to the newest attempt and its index is
// the next one; it keeps a bounded number of chunks that came too early.
package stream

import (
	"errors"
	"strings"
)

// MaxEarly bounds the chunks that wait for an earlier one.
const MaxBuffered = 256

// ErrGap tells that too many chunks came before the next one.
var ErrGap = errors.New("stream: too many chunks wait for a missing one")

// Part is one token, or the end of the answer.
type Chunk struct {
	Index int
	Text  string
	// Finish is why the answer ended; empty while it goes on.
	Finish string
}

// Assembler orders the chunks of one answer. The zero value is ready.
type Assembler struct {
	attempt  uint32
	next     int
	buffered map[int]Chunk
	text     strings.Builder
	done     bool
	dropped  int
}

// Attempt starts a newer attempt: chunks of older ones are dropped from now
// on. It returns the index at which the attempt has to go on.
func (a *Assembler) StartAttempt(n uint32) int {
	if n > a.attempt {
		a.attempt = n
		a.buffered = nil
	}
	return a.next
}

// Accept takes a chunk and returns the parts that the caller gets now.
func (a *Assembler) Accept(attempt uint32, p Chunk) ([]Chunk, error) {
	if attempt != a.attempt || a.done || p.Index < a.next {
		a.dropped++
		return nil, nil
	}
	if p.Index > a.next {
		return nil, a.buffer(p)
	}
	out := []Chunk{p}
	a.append(p)
	for !a.done {
		q, ok := a.buffered[a.next]
		if !ok {
			break
		}
		delete(a.buffered, a.next)
		a.append(q)
		out = append(out, q)
	}
	return out, nil
}

func (a *Assembler) buffer(p Chunk) error {
	if a.buffered == nil {
		a.buffered = map[int]Chunk{}
	}
	if len(a.buffered) >= MaxBuffered {
		return ErrGap
	}
	a.buffered[p.Index] = p
	return nil
}

func (a *Assembler) append(p Chunk) {
	if p.Finish != "" {
		a.done = true
		return
	}
	a.text.WriteString(p.Text)
	a.next++
}

// Next returns the index of the next token.
func (a *Assembler) Next() int { return a.next }

// Text returns the answer so far.
func (a *Assembler) Text() string { return a.text.String() }

// Done tells whether the answer has ended.
func (a *Assembler) Done() bool { return a.done }

// Dropped counts the chunks that were late, repeated or of an older attempt.
func (a *Assembler) Dropped() int { return a.dropped }
