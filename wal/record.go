package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/consensus"
)

// record is one append, or the content of the snapshot file.
type record struct {
	Hard     *consensus.Hard     `cbor:"1,keyasint,omitempty"`
	Entries  []consensus.Entry   `cbor:"2,keyasint,omitempty"`
	Snapshot *consensus.Snapshot `cbor:"3,keyasint,omitempty"`
}

const (
	magic = 0x4c504a31 // "LPJ1"
	// headSize is the magic, the length and the checksum of the payload.
	headSize  = 12
	maxRecord = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func writeRecord(r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	out := make([]byte, headSize, headSize+len(body))
	binary.LittleEndian.PutUint32(out, magic)
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// readRecord reads the record at the start of data and returns its length.
func readRecord(data []byte) (record, int, bool) {
	var r record
	if len(data) < headSize || binary.LittleEndian.Uint32(data) != magic {
		return r, 0, false
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if size > maxRecord || size > len(data)-headSize {
		return r, 0, false
	}
	body := data[headSize : headSize+size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return r, 0, false
	}
	if cbor.Unmarshal(body, &r) != nil {
		return r, 0, false
	}
	return r, headSize + size, true
}

// ErrBroken tells that a record is damaged though a whole one follows it.
var ErrBroken = errors.New("journal: a record is damaged and a whole one follows it")

// ErrGap tells that the entries do not follow each other.
var ErrGap = errors.New("journal: entries are missing")

// Replay reads all records into r and returns the length of the part that is
// whole; the rest is a torn tail.
func Replay(data []byte, r *consensus.Restored) (int, error) {
	good := 0
	for good < len(data) {
		rec, n, ok := readRecord(data[good:])
		if !ok {
			if wholeAfter(data[good+1:]) {
				return 0, ErrBroken
			}
			return good, nil
		}
		if rec.Hard != nil {
			r.Hard = *rec.Hard
		}
		for _, e := range rec.Entries {
			if err := add(r, e); err != nil {
				return 0, err
			}
		}
		good += n
	}
	return good, nil
}

// add puts an entry into the log; it replaces those from its index on.
func add(r *consensus.Restored, e consensus.Entry) error {
	if e.Index <= r.Snapshot.Index {
		return nil
	}
	at := e.Index - r.Snapshot.Index - 1
	if at > uint64(len(r.Entries)) {
		return ErrGap
	}
	r.Entries = append(r.Entries[:at], e)
	return nil
}

// wholeAfter looks for a whole record anywhere in data.
func wholeAfter(data []byte) bool {
	for i := 0; i+headSize <= len(data); i++ {
		if binary.LittleEndian.Uint32(data[i:]) != magic {
			continue
		}
		if _, _, ok := readRecord(data[i:]); ok {
			return true
		}
	}
	return false
}
