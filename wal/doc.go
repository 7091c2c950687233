// Package wal stores the hard state, the log and the snapshot of a control replica on disk.
//
// Each append is one record with a checksum, synced before Append returns. Since only one append is
// unsynced at any time, a crash can damage only the last record: such a torn tail is truncated. A
// damaged record followed by an intact one means that the disk lost synced data, and the journal
// refuses to open. Snapshots are written to a temporary file, synced and renamed.
package wal
