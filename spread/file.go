package spread

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ledgepin/ledgepin/fault"
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
	return fault.Wrap(WriteSynced(f.path, data), fault.JournalFailed, fault.StepSettings, f.path)
}

// WriteSynced replaces the content of a file so that either the old or the new content
// survives a crash: it writes and syncs a temporary file, renames it and syncs the folder.
func WriteSynced(path string, data []byte) error {
	tmpPath := path + ".new"
	file, err := os.OpenFile(tmpPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if cerr := file.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(tmpPath, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return err
}
