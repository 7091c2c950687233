package wal

import (
	"os"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/diskfile"
)

// Version returns the fleet version under which the folder was written.
func (j *Journal) Version() int { return max(j.version, compat.Base) }

// Fence makes builds that don't support a fleet version refuse the folder: it rewrites the snapshot
// file, which is read before the log, with the magic number of that version. It must be called
// before the first record that needs the version is appended, since an older build would skip
// that record.
func (j *Journal) Fence(version int) error {
	if j.failure != nil || version <= j.Version() {
		return j.failure
	}
	if err := j.writeFence(version); err != nil {
		j.failure = fault.Wrap(err, fault.JournalFailed, fault.StepJournal, j.snapshotPath())
	}
	return j.failure
}

func (j *Journal) writeFence(version int) error {
	var snap consensus.Snapshot
	if _, err := os.Stat(j.snapshotPath()); err == nil {
		if snap, err = j.readSnapshot(func([]byte) error { return nil }); err != nil {
			return err
		}
	}
	data, err := encodeRecord(record{Snapshot: &snap, Version: version})
	if err != nil {
		return err
	}
	if err := diskfile.WriteFile(j.fs, j.snapshotPath(), data); err != nil {
		return err
	}
	j.version = version
	return nil
}
