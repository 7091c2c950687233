package eventstream

import (
	"errors"
	"fmt"
)

// MaxBlockBytes is the maximum size of a block, and of the data that a Reader buffers. An
// event of some tokens has a few hundred bytes; the limit only keeps a stream without
// block ends from exhausting memory. It is a quarter of the longest plain answer that a
// gateway buffers.
const MaxBlockBytes = 4 << 20

// ErrTooLong matches every TooLongError.
var ErrTooLong = errors.New("eventstream: block too long")

// TooLongError reports that a block exceeded Limit bytes without an end. No part of it
// was returned, and the stream can't be read further.
type TooLongError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("eventstream: block exceeds %d bytes", e.Limit)
}

// Is reports whether target is ErrTooLong.
func (e *TooLongError) Is(target error) bool { return target == ErrTooLong }

// Reader splits the bytes of one stream into blocks. The zero value is ready for the
// start of a stream. It is not safe for concurrent use.
type Reader struct {
	// partial holds the start of a block that is not complete yet.
	partial []byte
	// returned reports that partial was returned as a block and must be cleared.
	returned bool
	splitter splitter
	err      error
}

// Reset prepares the Reader for the start of another stream and drops an incomplete
// block.
func (r *Reader) Reset() {
	*r = Reader{partial: r.partial[:0]}
}

// Incomplete returns the start of a block that is not complete yet. It must not be
// forwarded: a stream that ends here never completed the event, and the caller would take
// what follows for a part of it. The result is valid until the next call.
func (r *Reader) Incomplete() []byte {
	if r.returned {
		return nil
	}
	return r.partial
}

// MemoryBytes returns the size of the Reader's buffer in bytes.
func (r *Reader) MemoryBytes() int { return cap(r.partial) }

// Next reads the piece up to the end of the first block, and returns that block and the
// bytes not yet read. If no block ends in the piece, all of it is read and the block is
// of kind None. A block that lies completely in the piece is not copied. After an error,
// all further calls return the same error.
func (r *Reader) Next(piece []byte) (block Block, rest []byte, err error) {
	if r.err != nil {
		return Block{}, piece, r.err
	}
	if r.returned {
		r.partial, r.returned = r.partial[:0], false
	}
	if len(piece) == 0 {
		return Block{}, nil, nil
	}
	n, kind := r.splitter.next(piece, len(r.partial))
	if len(r.partial)+n > MaxBlockBytes {
		r.partial, r.err = r.partial[:0], &TooLongError{Limit: MaxBlockBytes}
		return Block{}, piece, r.err
	}
	if kind == NoData && r.splitter.consumeLF(piece[n:]) {
		n++
	}
	return r.finish(piece[:n], kind), piece[n:], nil
}

// finish returns the block that ends with the piece, or buffers the piece if kind is
// None.
func (r *Reader) finish(piece []byte, kind Kind) Block {
	raw := piece
	if len(r.partial) > 0 || kind == None {
		r.partial = append(r.partial, piece...)
		raw, r.returned = r.partial, kind != None
	}
	switch kind {
	case None:
		return Block{}
	case NoData:
		return interpret(raw)
	}
	return Block{Kind: kind, Raw: raw}
}
