package eventstream

import "bytes"

// bom is the byte order mark in UTF-8.
const bom = "\xEF\xBB\xBF"

// splitter finds the ends of blocks. It reads each byte once.
type splitter struct {
	// started reports that the first bytes of the stream can no longer be part of a byte
	// order mark, and bomBytes counts those that match it.
	started  bool
	bomBytes int
	// inLine reports that the present line is not empty.
	inLine bool
	// cr reports that the last byte was a CR, so that an LF after it belongs to the same
	// line end.
	cr bool
}

// next returns the number of bytes of the piece, which is not empty, up to the end of a
// block, and its kind: BOM, LineEnd, NoData for any block that ends with a blank line, or
// None if no block ends here. The LF after a CR that ends the block is not counted.
// partial is the number of bytes of the block that came in earlier pieces.
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

// consumeLF reports whether the piece begins with an LF that belongs to the preceding CR.
// Any other byte also ends the wait for it.
func (sp *splitter) consumeLF(piece []byte) bool {
	if !sp.cr || len(piece) == 0 {
		return false
	}
	sp.cr = false
	return piece[0] == '\n'
}

// matchBOM compares the first bytes of the stream with the byte order mark and reports
// whether all bytes received so far match it.
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

// endBOM does what next does for bytes that match the byte order mark.
func (sp *splitter) endBOM(piece []byte, partial int) (int, Kind) {
	if sp.bomBytes < len(bom) {
		return len(piece), None
	}
	sp.started = true
	return len(bom) - partial, BOM
}

// searchWindow is the number of bytes that are searched at once. It is large enough to be
// worth the call, and small enough that streams whose lines all end with a CR are not
// searched for an LF to their end at each line.
const searchWindow = 128

// lineLength returns the number of bytes before the first CR or LF, or before the end.
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
