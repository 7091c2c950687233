package eventstream

import "bytes"

// mark is the byte order mark in UTF-8.
const mark = "\xEF\xBB\xBF"

// cutter finds where blocks end. It has seen each byte once.
type cutter struct {
	// begun tells that the stream's first bytes are no part of a mark any more,
	// and marked how many of them are like one.
	begun  bool
	marked int
	// inLine tells that the line has a byte.
	inLine bool
	// cr tells that the last byte was a CR: an LF that follows is of its line end.
	cr bool
}

// next returns how many bytes of the piece, which is not empty, go up to the end
// of a block, and the kind: Mark, LineEnd, Quiet for a block that a blank line
// ends, whatever is in it, or None if none ends here. The LF of a CR that ends
// the block is not counted. held is how many bytes of the block came before.
func (c *cutter) next(piece []byte, held int) (int, Kind) {
	if !c.begun && c.mark(piece) {
		return c.markEnd(piece, held)
	}
	at := 0
	if c.takeLF(piece) {
		if held == 0 {
			return 1, LineEnd
		}
		at = 1
	}
	for at < len(piece) {
		end := at + lineLength(piece[at:])
		c.inLine = c.inLine || end > at
		if end == len(piece) {
			break
		}
		at = end + 1
		c.cr = piece[end] == '\r'
		if !c.inLine {
			return at, NoData
		}
		c.inLine = false
		if c.takeLF(piece[at:]) {
			at++
		}
	}
	return len(piece), None
}

// takeLF tells whether the bytes begin with an LF that belongs to the CR before.
// Any other byte ends the wait for it.
func (c *cutter) takeLF(part []byte) bool {
	if !c.cr || len(part) == 0 {
		return false
	}
	c.cr = false
	return part[0] == '\n'
}

// mark compares the stream's first bytes with the mark and tells whether all of
// them, as far as they came, are like it.
func (c *cutter) mark(piece []byte) bool {
	for i := 0; i < len(piece) && c.marked < len(mark); i++ {
		if piece[i] != mark[c.marked] {
			c.begun = true
			c.inLine = c.marked > 0
			return false
		}
		c.marked++
	}
	return true
}

// markEnd is next for bytes that are like the mark.
func (c *cutter) markEnd(piece []byte, held int) (int, Kind) {
	if c.marked < len(mark) {
		return len(piece), None
	}
	c.begun = true
	return len(mark) - held, BOM
}

// window is how many bytes are searched at once: some are worth the call, and so
// many only that streams whose lines all end with a CR are not searched for an LF
// to their end at each line.
const window = 128

// lineLength returns how many bytes come before the first CR or LF, or before the
// end.
func lineLength(part []byte) int {
	for at := 0; at < len(part); at += window {
		near := part[at:min(at+window, len(part))]
		lf := bytes.IndexByte(near, '\n')
		if lf >= 0 {
			near = near[:lf]
		}
		if cr := bytes.IndexByte(near, '\r'); cr >= 0 {
			return at + cr
		}
		if lf >= 0 {
			return at + lf
		}
	}
	return len(part)
}
