package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
)

// Journal stores the state of one replica in a folder.
type Journal struct {
	dir  string
	fs   diskfile.FS
	file diskfile.File
	size int64
	// version is the fleet version of the snapshot file.
	version int
	// failure is the first error of a write or a sync. After it, the content of the disk is not
	// known, so nothing more is written.
	failure error
}

// OpenResult is what Open found in the folder.
type OpenResult struct {
	Restored consensus.Restored
	// TruncatedBytes is the length of the torn tail that was removed.
	TruncatedBytes int64
	// Recorded is set if the log holds a record. A replica appends one before it first votes, so
	// it has lost the record of its votes if there is none.
	Recorded bool
}

// Open reads the journal in a folder, which must exist.
func Open(dir string) (*Journal, OpenResult, error) { return OpenWith(dir, nil) }

// OpenWith is like Open, with another file system.
func OpenWith(dir string, files diskfile.FS) (*Journal, OpenResult, error) {
	return OpenChecked(dir, files, func([]byte) error { return nil })
}

// OpenChecked is like OpenWith, for callers that can check whether the data of the snapshot is
// readable. If readable returns an error, OpenChecked fails and leaves the folder unchanged.
//
// What it has read is durable when it returns: an earlier process may have ended between a write
// and its sync.
func OpenChecked(dir string, files diskfile.FS, readable func(data []byte) error) (*Journal, OpenResult, error) {
	if files == nil {
		files = diskfile.OS
	}
	j := &Journal{dir: dir, fs: files}
	snap, err := j.readSnapshot(readable)
	if err != nil {
		return nil, OpenResult{}, err
	}
	out := OpenResult{Restored: consensus.Restored{Snapshot: snap}}
	data, err := os.ReadFile(j.logPath())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, OpenResult{}, fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.logPath())
	}
	intact, err := Replay(data, &out.Restored)
	if err != nil {
		return nil, OpenResult{}, j.readError(err, j.logPath())
	}
	out.Recorded = intact > 0
	out.TruncatedBytes = int64(len(data) - intact)
	if err := j.openLog(int64(intact)); err != nil {
		return nil, OpenResult{}, err
	}
	if err := j.syncRead(out.TruncatedBytes > 0); err != nil {
		_ = j.file.Close()
		return nil, OpenResult{}, fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.logPath())
	}
	return j, out, nil
}

func (j *Journal) logPath() string      { return filepath.Join(j.dir, "control.log") }
func (j *Journal) snapshotPath() string { return filepath.Join(j.dir, "control.snapshot") }

// openLog opens the log for appending.
func (j *Journal) openLog(size int64) error {
	file, err := j.fs.OpenAppend(j.logPath())
	if err != nil {
		return fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.logPath())
	}
	j.file, j.size = file, size
	return nil
}

// syncRead makes the files that were read durable, after it has truncated a torn tail of the log.
// Snapshots are synced before they get their name.
func (j *Journal) syncRead(truncate bool) error {
	if truncate {
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	return j.fs.SyncDir(j.dir)
}

// readError returns the error for a file that can't be decoded.
func (j *Journal) readError(err error, path string) error {
	if isNewerBuild(err) {
		return fault.Wrap(err, fault.JournalNewer, fault.StepJournal, path)
	}
	return fault.Wrap(err, fault.JournalBroken, fault.StepJournal, path)
}

// readSnapshot returns the snapshot, or an empty one if there is no snapshot file.
func (j *Journal) readSnapshot(readable func(data []byte) error) (consensus.Snapshot, error) {
	data, err := os.ReadFile(j.snapshotPath())
	if errors.Is(err, fs.ErrNotExist) {
		return consensus.Snapshot{}, nil
	}
	if err != nil {
		return consensus.Snapshot{}, fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.snapshotPath())
	}
	rec, n, err := readRecord(data)
	switch {
	case isNewerBuild(err):
		return consensus.Snapshot{}, j.readError(err, j.snapshotPath())
	case err != nil || n != len(data) || rec.Snapshot == nil:
		return consensus.Snapshot{}, j.readError(errors.New("the snapshot is damaged"), j.snapshotPath())
	}
	if err := readable(rec.Snapshot.Data); err != nil {
		return consensus.Snapshot{}, j.readError(&NewerBuildError{Version: rec.Version, Err: err}, j.snapshotPath())
	}
	j.version = rec.Version
	return *rec.Snapshot, nil
}

// Append writes the hard state and entries and syncs them. After a failure, the journal accepts no
// more writes.
func (j *Journal) Append(hard *consensus.Hard, entries []consensus.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	data, err := encodeRecord(record{Hard: hard, Entries: entries})
	if err == nil {
		_, err = j.file.Write(data)
	}
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		j.failure = fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.logPath())
		return j.failure
	}
	j.size += int64(len(data))
	return nil
}

// SaveSnapshot writes and syncs a snapshot and drops the log up to it; hard and entries are what
// the log contains after that.
func (j *Journal) SaveSnapshot(s consensus.Snapshot, hard consensus.Hard, entries []consensus.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.replaceFiles(s, hard, entries); err != nil {
		j.failure = fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.dir)
	}
	return j.failure
}

func (j *Journal) replaceFiles(s consensus.Snapshot, hard consensus.Hard, entries []consensus.Entry) error {
	snap, err := encodeRecord(record{Snapshot: &s, Version: j.version})
	if err != nil {
		return err
	}
	logData, err := encodeRecord(record{Hard: &hard, Entries: entries})
	if err != nil {
		return err
	}
	// The snapshot is written first: a log without its snapshot would be useless, and a
	// snapshot with an older log is complete.
	if err := diskfile.WriteFile(j.fs, j.snapshotPath(), snap); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	if err := diskfile.WriteFile(j.fs, j.logPath(), logData); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return j.openLog(int64(len(logData)))
}

// Size returns the length of the log in bytes.
func (j *Journal) Size() int64 { return j.size }

// Close closes the log.
func (j *Journal) Close() error { return j.file.Close() }
