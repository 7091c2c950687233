package wire

import (
	"encoding/binary"
	"unicode/utf8"
)

// CBOR major types, the upper three bits of the first byte of an item.
const (
	majorBytes = 2
	majorText  = 3
)

// replaceInvalidText replaces the bytes in the texts of an encoded frame that are not UTF-8 with
// question marks, and returns the number of texts that it changed. Builds before the one that
// reads such texts close the link at a frame with one of them, and would get it again over the
// next link.
//
// The items of a frame follow each other in the order of their heads, so they are visited without
// regard to their nesting.
func replaceInvalidText(frame []byte) (replaced int) {
	for len(frame) > 0 {
		major := frame[0] >> 5
		argument, size := itemHead(frame)
		if size > len(frame) {
			return replaced
		}
		frame = frame[size:]
		if major != majorBytes && major != majorText {
			continue
		}
		length := min(argument, uint64(len(frame)))
		if major == majorText && replaceInvalid(frame[:length]) {
			replaced++
		}
		frame = frame[length:]
	}
	return replaced
}

// itemHead returns the argument and the size in bytes of the head of a CBOR item. An indefinite
// length counts as zero, since its parts follow as items of their own.
func itemHead(item []byte) (argument uint64, size int) {
	const oneByte, eightBytes = 24, 27 // values that stand for the length of the argument
	info := item[0] & 0x1f
	if info < oneByte {
		return uint64(info), 1
	}
	if info > eightBytes {
		return 0, 1
	}
	width := 1 << (info - oneByte)
	if len(item) <= width {
		return 0, width + 1
	}
	var wide [8]byte
	copy(wide[8-width:], item[1:])
	return binary.BigEndian.Uint64(wide[:]), width + 1
}

// replaceInvalid replaces the bytes that are not UTF-8, and reports whether there were any.
func replaceInvalid(text []byte) bool {
	if utf8.Valid(text) {
		return false
	}
	for len(text) > 0 {
		r, size := utf8.DecodeRune(text)
		if r == utf8.RuneError && size == 1 {
			text[0] = '?'
		}
		text = text[size:]
	}
	return true
}
