package spread

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
)

// File stores the newest settings of a process in its data folder: 8 bytes of revision and 4
// of CRC-32 checksum, little-endian, and the text.
type File struct {
	path string
}

// NewFile returns the file in the given folder, which must exist when it is written.
func NewFile(dir string) *File { return &File{path: filepath.Join(dir, "settings.kept")} }

const headerSize = 12 // bytes of revision and checksum

// Read returns the revision and text that were written last, or revision zero if there is no
// file. A file that is too short or has a wrong checksum is an error.
func (f *File) Read() (revision uint64, text []byte, err error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, fault.Wrap(err, fault.JournalFailed, fault.StepSettings, f.path)
	}
	if len(data) < headerSize || binary.LittleEndian.Uint32(data[8:]) != checksum(data) {
		return 0, nil, fault.New(fault.JournalBroken, fault.StepSettings, f.path, "the stored settings are damaged: wrong checksum or too short")
	}
	return binary.LittleEndian.Uint64(data), data[headerSize:], nil
}

func checksum(data []byte) uint32 {
	sum := crc32.ChecksumIEEE(data[:8])
	return crc32.Update(sum, crc32.IEEETable, data[headerSize:])
}

// Write stores a revision and its text durably.
func (f *File) Write(revision uint64, text []byte) error {
	data := make([]byte, headerSize, headerSize+len(text))
	binary.LittleEndian.PutUint64(data, revision)
	data = append(data, text...)
	binary.LittleEndian.PutUint32(data[8:], checksum(data))
	return fault.Wrap(diskfile.WriteFile(diskfile.OS, f.path, data), fault.JournalFailed, fault.StepSettings, f.path)
}
