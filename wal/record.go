package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/internal/strictcbor"
)

// record is the content of one append or of the snapshot file.
type record struct {
	Hard     *consensus.Hard     `cbor:"1,keyasint,omitempty"`
	Entries  []consensus.Entry   `cbor:"2,keyasint,omitempty"`
	Snapshot *consensus.Snapshot `cbor:"3,keyasint,omitempty"`
	// Version is the fleet version under which the snapshot was written, or the one to which an
	// entry after it raises the fleet; zero for the base version.
	Version int `cbor:"4,keyasint,omitempty"`
}

const (
	magic = 0x4c504a31 // "LPJ1"
	// fencedMagic is the magic number of the snapshot file from the version after the base
	// version on. Builds of the base version treat it as damage and leave the whole folder
	// unchanged. Records of the log keep magic: with another one, those builds would truncate
	// the log as torn.
	fencedMagic = 0x4c504a32 // "LPJ2"
	// magicFamily is the part of the magic number that all builds share.
	magicFamily = magic &^ 0xff
	// headerSize is the size of the magic number, the length and the checksum of the content.
	headerSize = 12
	maxRecord  = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// headMagic returns the magic number of a record.
func (r *record) headMagic() uint32 {
	if r.Version > compat.Base {
		return fencedMagic
	}
	return magic
}

func encodeRecord(r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, r.headMagic())
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// errTorn reports that the data doesn't start with an intact record.
var errTorn = errors.New("journal: no intact record")

// readRecord reads the record at the start of data and returns its length. The error is errTorn,
// or a NewerBuildError for an intact record that this build can't decode.
func readRecord(data []byte) (record, int, error) {
	head, body, err := splitRecord(data)
	if err != nil {
		return record{}, 0, err
	}
	r, err := decodeRecord(head, body)
	return r, headerSize + len(body), err
}

// splitRecord returns the magic number and the content of the intact record at the start of data.
func splitRecord(data []byte) (head uint32, body []byte, err error) {
	if len(data) < headerSize {
		return 0, nil, errTorn
	}
	head = binary.LittleEndian.Uint32(data)
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if head&^0xff != magicFamily || size > maxRecord || size > len(data)-headerSize {
		return 0, nil, errTorn
	}
	body = data[headerSize : headerSize+size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return 0, nil, errTorn
	}
	return head, body, nil
}

// decodeRecord decodes the content of a record. It fails if any part of it is unknown.
func decodeRecord(head uint32, body []byte) (record, error) {
	var r record
	if head != magic && head != fencedMagic {
		return r, newerBuildError(body, fmt.Errorf("unknown magic number %08x", head))
	}
	if err := strictcbor.Unmarshal(body, &r); err != nil {
		return record{}, newerBuildError(body, err)
	}
	if head != r.headMagic() || r.Version > compat.Newest {
		return record{}, newerBuildError(body, fmt.Errorf("the magic number %08x does not belong to version %d", head, r.Version))
	}
	for i := range r.Entries {
		if err := r.Entries[i].DecodeErr; err != nil {
			return record{}, newerBuildError(body, err)
		}
	}
	if r.Snapshot != nil && r.Snapshot.DecodeErr != nil {
		return record{}, newerBuildError(body, r.Snapshot.DecodeErr)
	}
	return r, nil
}

// ErrCorrupt reports a damaged record that is followed by an intact one.
var ErrCorrupt = errors.New("journal: a damaged record is followed by an intact one")

// ErrGap reports that the indexes of the entries are not consecutive.
var ErrGap = errors.New("journal: entries are missing")

// Replay reads all records into r and returns the length of the intact part; the rest is a torn
// tail. An intact record that can't be decoded gives a NewerBuildError.
func Replay(data []byte, r *consensus.Restored) (int, error) {
	offset := 0
	for offset < len(data) {
		rec, n, err := readRecord(data[offset:])
		switch {
		case err == nil:
		case isNewerBuild(err):
			return 0, err
		case containsRecord(data[offset+1:]):
			return 0, ErrCorrupt
		default:
			return offset, nil
		}
		if rec.Hard != nil {
			r.Hard = *rec.Hard
		}
		for _, e := range rec.Entries {
			if err := appendEntry(r, e); err != nil {
				return 0, err
			}
		}
		offset += n
	}
	return offset, nil
}

// appendEntry adds an entry to the log. It replaces the entries from its index on.
func appendEntry(r *consensus.Restored, e consensus.Entry) error {
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

// containsRecord reports whether an intact record starts anywhere in data.
func containsRecord(data []byte) bool {
	for i := 0; i+headerSize <= len(data); i++ {
		if _, _, err := splitRecord(data[i:]); err == nil {
			return true
		}
	}
	return false
}
