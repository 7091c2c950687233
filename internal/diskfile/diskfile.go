// Package diskfile has the file operations that durable state depends on. Tests replace them to end a
// process, or to make the disk fail, at any single write.
package diskfile

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS changes files.
type FS interface {
	// OpenAppend opens a file for appending, and creates it if it does not exist.
	OpenAppend(path string) (File, error)
	// Create opens an empty file for writing, in place of what the path holds.
	Create(path string) (File, error)
	// Rename replaces the file at newPath by that at oldPath.
	Rename(oldPath, newPath string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
}

// OS is the file system of the operating system.
var OS FS = osFS{}

type osFS struct{}

func (osFS) OpenAppend(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND)
}

func (osFS) Create(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
}

func open(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File is a File that is not nil
	}
	return f, nil
}

func (osFS) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

func (osFS) SyncDir(dir string) error {
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

// WriteFile replaces the content of a file so that either the old or the new content survives a
// crash: it writes and syncs a temporary file, renames it and syncs the folder.
func WriteFile(fs FS, path string, data []byte) error {
	tmpPath := path + ".new"
	file, err := fs.Create(tmpPath)
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
	if err := fs.Rename(tmpPath, path); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(path))
}
