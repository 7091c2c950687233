package eventstream

import "fmt"

// MaxBlockBytes is the most bytes that a block may have, and what a Reader holds at
// most. An event of some tokens has a few hundred bytes; the bound only keeps a
// stream that never ends an event from taking a process's memory. It is a quarter
// of the longest plain answer that a gateway holds.
const MaxBlockBytes = 4 << 20

// TooLongError tells that a block had more than Limit bytes and no end. Nothing of
// it was given back. The stream can't be read on.
type TooLongError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("eventstream: a block of more than %d bytes", e.Limit)
}

// Reader splits the bytes of one stream into blocks. The zero value is ready for
// the begin of a stream. Not for use by several goroutines at once.
type Reader struct {
	// held has the begin of a block that is not whole yet.
	partial []byte
	// given tells that held was given back and is to be emptied.
	returned bool
	splitter splitter
	err      error
}

// Reset makes the Reader ready for the begin of another stream. A rest is dropped.
func (r *Reader) Reset() {
	*r = Reader{partial: r.partial[:0]}
}

// Incomplete returns the begin of a block that is not whole yet. A stream that ends here
// never made it an event; a caller that got it would take what inOrder for a
// part of it. It is valid until the next call.
func (r *Reader) Incomplete() []byte {
	if r.returned {
		return nil
	}
	return r.partial
}

// MemoryBytes returns the bytes of memory that the Reader has.
func (r *Reader) MemoryBytes() int { return cap(r.partial) }

// Next takes bytes of the piece up to the end of the first block, and returns that
// block and the bytes not yet taken. If no block ends in the piece, all of it is
// taken and the block is of kind None. A block that lies whole in the piece is not
// copied. After an error all further calls return the same.
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

// take makes the block that ends with these bytes, or holds them.
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
