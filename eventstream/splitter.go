package eventstream

import "bytes"

// mark is the byte order mark in UTF-8.
const bom = "\xEF\xBB\xBF"

// splitter finds where blocks end. It has seen each byte once.
type splitter struct {
	// started tells that the stream's first bytes are no part of a mark any more,
	// and marked how many of them are like one.
	started  bool
	bomBytes int
	// inLine tells that the line has a byte.
	inLine bool
	// cr tells that the last byte was a CR: an LF that inOrder is of its line end.
	cr bool
}

// next returns how many bytes of the piece, which is not empty, go up to the end
// of a block, and the kind: Mark, LineEnd, Quiet for a block that a blank line
// ends, whatever is in it, or None if none ends here. The LF of a CR that ends
// the block is not counted. held is how many bytes of the block came before.
func (sp *splitter) next(piece []byte, partial int) (int, Kind) {
	if !sp.started && sp.matchBOM(piece) {
		return sp.endBOM(piece, partial)
	}
	at := 0
	if sp.consumeLF(piece) {
		if partial == 0 {
			return 1, LineEnd
		}
		at = 1
	}
	for at < len(piece) {
		end := at + lineLength(piece[at:])
		sp.inLine = sp.inLine || end > at
		if end == len(piece) {
			break
		}
		at = end + 1
		sp.cr = piece[end] == '\r'
		if !sp.inLine {
			return at, NoData
		}
		sp.inLine = false
		if sp.consumeLF(piece[at:]) {
			at++
		}
	}
	return len(piece), None
}

// consumeLF tells whether the bytes begin with an LF that belongs to the CR before.
// Any other byte ends the wait for it.
func (sp *splitter) consumeLF(piece []byte) bool {
	if !sp.cr || len(piece) == 0 {
		return false
	}
	sp.cr = false
	return piece[0] == '\n'
}

// mark compares the stream's first bytes with the mark and tells whether all of
// them, as far as they came, are like it.
func (sp *splitter) matchBOM(piece []byte) bool {
	for i := 0; i < len(piece) && sp.bomBytes < len(bom); i++ {
		if piece[i] != bom[sp.bomBytes] {
			sp.started = true
			sp.inLine = sp.bomBytes > 0
			return false
		}
		sp.bomBytes++
	}
	return true
}

// endBOM is next for bytes that are like the mark.
func (sp *splitter) endBOM(piece []byte, partial int) (int, Kind) {
	if sp.bomBytes < len(bom) {
		return len(piece), None
	}
	sp.started = true
	return len(bom) - partial, BOM
}

// searchWindow is how many bytes are searched at once: some are worth the call, and so
// many only that streams whose lines all end with a CR are not searched for an LF
// to their end at each line.
const searchWindow = 128

// lineLength returns how many bytes come before the first CR or LF, or before the
// end.
func lineLength(text []byte) int {
	for at := 0; at < len(text); at += searchWindow {
		chunk := text[at:min(at+searchWindow, len(text))]
		lf := bytes.IndexByte(chunk, '\n')
		if lf >= 0 {
			chunk = chunk[:lf]
		}
		if cr := bytes.IndexByte(chunk, '\r'); cr >= 0 {
			return at + cr
		}
		if lf >= 0 {
			return at + lf
		}
	}
	return len(text)
}
