// Package stream puts the chunks of an answer in order.
//
// Chunks may arrive late, twice, out of order, or from an abandoned attempt. A
// caller must receive each token once and in order, so an Assembler returns a
// chunk only if it belongs to the newest attempt and has the next index. It
// buffers a bounded number of chunks that arrive early.
package stream

import (
	"errors"
	"strings"
)

// MaxBuffered is the maximum number of chunks that are buffered until a missing
// one arrives.
const MaxBuffered = 256

// ErrGap means that MaxBuffered chunks arrived before the next one.
var ErrGap = errors.New("stream: too many chunks arrived before the next one")

// Chunk is one token, or the end of the answer.
type Chunk struct {
	Index int
	Text  string
	// Finish is the reason why the answer ended; empty for a token.
	Finish string
}

// Assembler orders the chunks of one answer. The zero value is ready to use. It
// is not safe for concurrent use.
type Assembler struct {
	attempt  uint32
	next     int
	buffered map[int]Chunk
	text     strings.Builder
	done     bool
	dropped  int
}

// StartAttempt starts a newer attempt: chunks of older ones are dropped from now
// on. It returns the index of the first chunk that the attempt must send.
func (a *Assembler) StartAttempt(n uint32) int {
	if n > a.attempt {
		a.attempt = n
		a.buffered = nil
	}
	return a.next
}

// Accept adds a chunk and returns the chunks that are now in order. It drops
// chunks that are late, repeated or of another attempt, and returns ErrGap if a
// chunk can't be buffered.
func (a *Assembler) Accept(attempt uint32, c Chunk) ([]Chunk, error) {
	if attempt != a.attempt || a.done || c.Index < a.next {
		a.dropped++
		return nil, nil
	}
	if c.Index > a.next {
		return nil, a.buffer(c)
	}
	out := []Chunk{c}
	a.append(c)
	for !a.done {
		next, ok := a.buffered[a.next]
		if !ok {
			break
		}
		delete(a.buffered, a.next)
		a.append(next)
		out = append(out, next)
	}
	return out, nil
}

func (a *Assembler) buffer(c Chunk) error {
	if a.buffered == nil {
		a.buffered = map[int]Chunk{}
	}
	if len(a.buffered) >= MaxBuffered {
		return ErrGap
	}
	a.buffered[c.Index] = c
	return nil
}

func (a *Assembler) append(c Chunk) {
	if c.Finish != "" {
		a.done = true
		return
	}
	a.text.WriteString(c.Text)
	a.next++
}

// Next returns the index of the next chunk to deliver.
func (a *Assembler) Next() int { return a.next }

// Text returns the text of the delivered chunks.
func (a *Assembler) Text() string { return a.text.String() }

// Done reports whether the answer has ended.
func (a *Assembler) Done() bool { return a.done }

// Dropped returns the number of chunks that were late, repeated or of another
// attempt.
func (a *Assembler) Dropped() int { return a.dropped }
